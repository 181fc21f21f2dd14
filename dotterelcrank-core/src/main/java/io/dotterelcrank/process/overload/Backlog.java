package io.dotterelcrank.process.overload;

import io.dotterelcrank.common.Clock;

/**
 * Generations of one service that arrive at this host, and when a further one could
 * start. Addresses two load patterns: a short burst, whose backlog drains within the
 * latency goal; and demand above capacity for seconds, when newer generations that can
 * still be on time overtake late ones, so that a late one waits until the demand falls.
 * Not thread-safe.
 */
public final class Backlog {

	/** No start can be foreseen. */
	public static final long NEVER = Long.MAX_VALUE;

	/** Time over which arrivals are averaged, in milliseconds. */
	static final double ARRIVAL_WINDOW_MILLIS = 2_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Clock clock;

	/** Moving average of the tokens of prompt and output that arrive per second. */
	private double arrivingTokensPerSecond;

	/** When the average was last updated. */
	private long updatedMillis;

	private Backlog(Clock clock) {
		this.clock = clock;
		this.updatedMillis = clock.millis();
	}

	/**
	 * Creates a backlog without arrivals.
	 * @param clock clock of the process
	 * @return a new backlog
	 */
	public static Backlog of(Clock clock) {
		return new Backlog(clock);
	}

	/**
	 * Records an arriving generation.
	 * @param tokens expected tokens of prompt and output
	 */
	public void recordArrival(long tokens) {
		decay();
		this.arrivingTokensPerSecond += tokens * MILLIS_PER_SECOND / ARRIVAL_WINDOW_MILLIS;
	}

	private void decay() {
		long nowMillis = this.clock.millis();
		this.arrivingTokensPerSecond *= Math.exp((this.updatedMillis - nowMillis) / ARRIVAL_WINDOW_MILLIS);
		this.updatedMillis = nowMillis;
	}

	/**
	 * Estimates when a generation that can still be on time could start, behind others of
	 * its kind.
	 * @param share this host's share of the capacity
	 * @param tokensAhead expected tokens of the waiting generations that go first
	 * @param tokens expected tokens of the generation itself
	 * @return time until its start, in milliseconds; {@link #NEVER} if no memory is freed
	 */
	public long millisUntilStart(EngineCapacity share, long tokensAhead, long tokens) {
		return drainMillis(tokensAhead + tokens - share.freeTokens(), share.freedTokensPerSecond());
	}

	/**
	 * Estimates when a late generation could start, which every arriving one overtakes.
	 * @param share this host's share of the capacity
	 * @param tokensAhead expected tokens of the waiting generations that go first
	 * @param tokens expected tokens of the generation itself
	 * @return time until its start, in milliseconds; {@link #NEVER} while arrivals take
	 * all memory that is freed
	 */
	public long millisUntilLateStart(EngineCapacity share, long tokensAhead, long tokens) {
		decay();
		return drainMillis(tokensAhead + tokens - share.freeTokens(),
				share.freedTokensPerSecond() - this.arrivingTokensPerSecond);
	}

	private static long drainMillis(long missingTokens, double tokensPerSecond) {
		if (missingTokens <= 0) {
			return 0;
		}
		return (tokensPerSecond > 0) ? Math.round(MILLIS_PER_SECOND * missingTokens / tokensPerSecond) : NEVER;
	}

}
