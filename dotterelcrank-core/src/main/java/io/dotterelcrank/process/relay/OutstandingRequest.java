package io.dotterelcrank.process.relay;

/**
 * A request that this process has sent to a target, or that awaits admission there.
 * Confined to the traffic thread.
 */
final class OutstandingRequest {

	/** 0 if the request is no generation. */
	private final long promptTokens;

	/** Prompt and output; 0 if the request is no generation. */
	private final long expectedTotalTokens;

	/** By the clock of the process. */
	private final long sentMillis;

	/** Whether it has produced its first event, so that its prompt is prefilled. */
	private boolean prefillDone;

	OutstandingRequest(long promptTokens, long expectedTotalTokens, long sentMillis) {
		this.promptTokens = promptTokens;
		this.expectedTotalTokens = expectedTotalTokens;
		this.sentMillis = sentMillis;
	}

	void recordPrefillDone() {
		this.prefillDone = true;
	}

	long promptTokens() {
		return this.promptTokens;
	}

	long expectedTotalTokens() {
		return this.expectedTotalTokens;
	}

	long sentMillis() {
		return this.sentMillis;
	}

	boolean prefillDone() {
		return this.prefillDone;
	}

}
