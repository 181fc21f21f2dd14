package io.dotterelcrank.process.overload;

import java.util.Comparator;

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

}
