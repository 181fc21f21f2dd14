package io.dotterelcrank.process.overload;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Order in which waiting requests are placed. Addresses the load pattern of demand above
 * capacity for seconds: served by age alone, every caller would be late. First come those
 * that can still be on time, by priority; among late ones those that were refused before
 * and have returned; then the older. A caller that repeats at once overtakes nobody who
 * can be on time. Stateless.
 */
public final class WaitingOrder {

	/** The order; the first is placed next. */
	public static final Comparator<Candidate> COMPARATOR = Comparator.comparing(Candidate::late)
		.thenComparingInt(Candidate::priority)
		.thenComparing((candidate) -> !(candidate.late() && candidate.returned()))
		.thenComparingLong(Candidate::arrivedAtMillis);

	private WaitingOrder() {
	}

	/**
	 * Sorts waiting requests. Each is asked once, since it may become late meanwhile.
	 * @param <T> type of the requests
	 * @param candidates waiting requests
	 * @return the requests, the one to be placed next first
	 */
	public static <T extends Candidate> List<T> sorted(Collection<T> candidates) {
		return candidates.stream()
			.map((candidate) -> new Rank<>(candidate, candidate.late(), candidate.priority(), candidate.returned(),
					candidate.arrivedAtMillis()))
			.sorted(COMPARATOR)
			.map(Rank::candidate)
			.toList();
	}

	/**
	 * A waiting request.
	 */
	public interface Candidate {

		/**
		 * Returns whether the request can no longer meet its latency goal.
		 * @return {@code true} if its response will be late
		 */
		boolean late();

		/**
		 * Returns the rank of the request.
		 * @return priority; 0 is the most urgent
		 */
		int priority();

		/**
		 * Returns whether the caller was refused before.
		 * @return {@code true} if the request is a repeated one
		 */
		boolean returned();

		/**
		 * Returns when the request arrived.
		 * @return time in milliseconds
		 */
		long arrivedAtMillis();

	}

	/**
	 * A waiting request as it was when the sort began. Immutable.
	 *
	 * @param <T> type of the request
	 * @param candidate the request
	 * @param late whether it could no longer meet its latency goal
	 * @param priority its rank
	 * @param returned whether its caller was refused before
	 * @param arrivedAtMillis when it arrived
	 */
	private record Rank<T>(T candidate, boolean late, int priority, boolean returned,
			long arrivedAtMillis) implements Candidate {
	}

}
