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
	private double totalTokensPerSecond;

	/** Moving average of the prompt tokens that arrive per second. */
	private double promptTokensPerSecond;

	/** When the averages were last updated. */
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
	 * @param demand its size
	 */
	public void recordArrival(Demand demand) {
		decay();
		this.totalTokensPerSecond += demand.totalTokens() * MILLIS_PER_SECOND / ARRIVAL_WINDOW_MILLIS;
		this.promptTokensPerSecond += demand.promptTokens() * MILLIS_PER_SECOND / ARRIVAL_WINDOW_MILLIS;
	}

	private void decay() {
		long nowMillis = this.clock.millis();
		double factor = Math.exp((this.updatedMillis - nowMillis) / ARRIVAL_WINDOW_MILLIS);
		this.totalTokensPerSecond *= factor;
		this.promptTokensPerSecond *= factor;
		this.updatedMillis = nowMillis;
	}

	/**
	 * Estimates when a generation that can still be on time could start, behind others of
	 * its kind.
	 * @param share this host's share of the capacity
	 * @param ahead sizes of the waiting generations that go first, in sum
	 * @param own size of the generation itself
	 * @return time until its first token, in milliseconds; {@link #NEVER} if nothing
	 * becomes free
	 */
	public long millisUntilStart(EngineCapacity share, Demand ahead, Demand own) {
		return millisUntilStart(share, ahead.plus(own), 0, 0);
	}

	/**
	 * Estimates when a late generation could start, which every arriving one overtakes.
	 * @param share this host's share of the capacity
	 * @param ahead sizes of the waiting generations that go first, in sum
	 * @param own size of the generation itself
	 * @return time until its first token, in milliseconds; {@link #NEVER} while arrivals
	 * take all that becomes free
	 */
	public long millisUntilLateStart(EngineCapacity share, Demand ahead, Demand own) {
		decay();
		return millisUntilStart(share, ahead.plus(own), this.totalTokensPerSecond, this.promptTokensPerSecond);
	}

	private static long millisUntilStart(EngineCapacity share, Demand demand, double overtakingTotalTokens,
			double overtakingPromptTokens) {
		long memoryMillis = drainMillis(demand.totalTokens() - share.freeTokens(),
				share.freedTokensPerSecond() - overtakingTotalTokens);
		long prefillMillis = drainMillis(share.pendingPrefillTokens() + demand.promptTokens(),
				share.prefillTokensPerSecond() - overtakingPromptTokens);
		return Math.max(memoryMillis, prefillMillis);
	}

	private static long drainMillis(long missingTokens, double tokensPerSecond) {
		if (missingTokens <= 0) {
			return 0;
		}
		return (tokensPerSecond > 0) ? Math.round(MILLIS_PER_SECOND * missingTokens / tokensPerSecond) : NEVER;
	}

	/**
	 * Size of one or several generations. Immutable.
	 *
	 * @param totalTokens expected tokens of prompt and output
	 * @param promptTokens tokens of the prompt
	 */
	public record Demand(long totalTokens, long promptTokens) {

		/** No generation. */
		public static final Demand NONE = new Demand(0, 0);

		/**
		 * Adds another size.
		 * @param other size of other generations
		 * @return the sum
		 */
		public Demand plus(Demand other) {
			return new Demand(this.totalTokens + other.totalTokens, this.promptTokens + other.promptTokens);
		}

	}

}
