package io.dotterelcrank.process.relay;

/**
 * Moving averages over the generations of one service that this host has served: how long
 * they are, and how fast engines prefill and decode. Stands in for figures that differ
 * between deployments. Not thread-safe.
 */
final class GenerationStatistics {

	/** Weight of a new observation. */
	private static final double EWMA_WEIGHT = 0.05;

	/** Prompt tokens prefilled per second, assumed before the first observation. */
	private static final double INITIAL_PREFILL_TOKENS_PER_SECOND = 7_000;

	/** Tokens of prompt and output, assumed before the first observation. */
	private static final double INITIAL_TOTAL_TOKENS = 4_000;

	/** Tokens of an output, assumed before the first observation. */
	private static final double INITIAL_OUTPUT_TOKENS = 500;

	/**
	 * Min prompt tokens ahead of the first event for an observed prefill rate; with
	 * fewer, the round trip takes most of the time.
	 */
	private static final long MIN_OBSERVED_PREFILL_TOKENS = 500;

	private static final double MILLIS_PER_SECOND = 1_000;

	/** Time between two events, assumed before the first observation, in milliseconds. */
	private static final double INITIAL_EVENT_MILLIS = 32;

	/**
	 * Time for which memory is held, assumed before the first observation, in
	 * milliseconds.
	 */
	private static final double INITIAL_MEMORY_MILLIS = 5_000;

	private double eventMillis = INITIAL_EVENT_MILLIS;

	private double prefillTokensPerSecond = INITIAL_PREFILL_TOKENS_PER_SECOND;

	private double totalTokens = INITIAL_TOTAL_TOKENS;

	private double outputTokens = INITIAL_OUTPUT_TOKENS;

	/** Moving average of the tokens of complete generations; 0 before the first. */
	private double heldTokens;

	/** Moving average of their tokens multiplied by their durations. */
	private double heldTokenMillis;

	/**
	 * Records the expected size of an arriving generation.
	 * @param promptTokens tokens of its prompt
	 * @param expectedTotalTokens expected tokens of prompt and output
	 */
	void recordArrival(long promptTokens, long expectedTotalTokens) {
		this.totalTokens += EWMA_WEIGHT * (expectedTotalTokens - this.totalTokens);
		this.outputTokens += EWMA_WEIGHT * (expectedTotalTokens - promptTokens - this.outputTokens);
	}

	/**
	 * Records the time to a first event.
	 * @param tokens prompt tokens that were prefilled before it: its own and those queued
	 * @param millis time since the generation was sent, in milliseconds
	 */
	void recordFirstEvent(long tokens, long millis) {
		if (tokens >= MIN_OBSERVED_PREFILL_TOKENS && millis > 0) {
			double observed = tokens * MILLIS_PER_SECOND / millis;
			this.prefillTokensPerSecond += EWMA_WEIGHT * (observed - this.prefillTokensPerSecond);
		}
	}

	/**
	 * Records a complete stream.
	 * @param events number of its events
	 * @param millis time from its first to its last event, in milliseconds
	 */
	void recordStream(long events, long millis) {
		if (events > 1 && millis > 0) {
			this.eventMillis += EWMA_WEIGHT * ((double) millis / (events - 1) - this.eventMillis);
		}
	}

	/**
	 * Records how long a complete generation held its memory.
	 * @param tokens tokens of prompt and output
	 * @param millis time from its sending to its end, in milliseconds
	 */
	void recordMemory(long tokens, long millis) {
		double weight = (this.heldTokens == 0) ? 1 : EWMA_WEIGHT;
		this.heldTokens += weight * (tokens - this.heldTokens);
		this.heldTokenMillis += weight * ((double) tokens * millis - this.heldTokenMillis);
	}

	/**
	 * Returns how long a token of memory is held, on average.
	 * @return time in milliseconds, with each generation weighted by its size
	 */
	double memoryMillis() {
		return (this.heldTokens > 0) ? this.heldTokenMillis / this.heldTokens : INITIAL_MEMORY_MILLIS;
	}

	/**
	 * Returns the mean time between two events of a stream.
	 * @return time in milliseconds
	 */
	double eventMillis() {
		return this.eventMillis;
	}

	double prefillTokensPerSecond() {
		return this.prefillTokensPerSecond;
	}

	/**
	 * Returns the size of a typical generation.
	 * @return tokens of prompt and output
	 */
	long typicalTotalTokens() {
		return Math.round(this.totalTokens);
	}

	/**
	 * Returns the tokens that a running generation still produces, on average.
	 * @return half of a typical output
	 */
	long typicalRemainingTokens() {
		return Math.round(this.outputTokens / 2);
	}

}
