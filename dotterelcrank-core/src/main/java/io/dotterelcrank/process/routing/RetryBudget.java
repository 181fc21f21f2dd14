package io.dotterelcrank.process.routing;

/**
 * Bounds retries to a share of the requests, so that retries cannot multiply an overload.
 * Invariant: over any run of requests, retries granted are at most the share of those
 * requests plus the reserve. Not thread-safe.
 */
public final class RetryBudget {

	/** Retries that can be saved up. */
	static final double RESERVE = 10;

	/** Whole, in percent. */
	private static final double WHOLE_PERCENT = 100;

	/** Retries saved up. */
	private double saved = RESERVE;

	private RetryBudget() {
	}

	/**
	 * Creates a budget with a full reserve.
	 * @return a new budget
	 */
	public static RetryBudget full() {
		return new RetryBudget();
	}

	/**
	 * Takes in a request.
	 * @param percent retries for each 100 requests
	 */
	public void recordRequest(long percent) {
		this.saved = Math.min(RESERVE, this.saved + percent / WHOLE_PERCENT);
	}

	/**
	 * Asks for a retry.
	 * @return whether it is granted
	 */
	public boolean tryAcquire() {
		if (this.saved < 1) {
			return false;
		}
		this.saved--;
		return true;
	}

}
