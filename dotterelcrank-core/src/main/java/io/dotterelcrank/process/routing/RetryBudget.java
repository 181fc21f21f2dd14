package io.dotterelcrank.process.routing;

/**
 * Token bucket that limits retries to a percentage of the requests, so that retries
 * cannot amplify an overload. Invariant: over any sequence of requests, the retries
 * granted are at most that percentage of them plus {@link #MAX_BALANCE}. Not thread-safe.
 */
public final class RetryBudget {

	/** Maximum and initial balance, in retries. */
	static final double MAX_BALANCE = 10;

	private static final double HUNDRED_PERCENT = 100;

	/** Retries available; fractions accumulate. */
	private double balance = MAX_BALANCE;

	private RetryBudget() {
	}

	/**
	 * Creates a budget with the maximum balance.
	 * @return a full budget
	 */
	public static RetryBudget full() {
		return new RetryBudget();
	}

	/**
	 * Records a request, which adds to the balance.
	 * @param retryPercent retries earned per 100 requests
	 */
	public void recordRequest(long retryPercent) {
		this.balance = Math.min(MAX_BALANCE, this.balance + retryPercent / HUNDRED_PERCENT);
	}

	/**
	 * Takes one retry from the balance if there is one.
	 * @return whether the retry is granted
	 */
	public boolean tryAcquire() {
		if (this.balance < 1) {
			return false;
		}
		this.balance--;
		return true;
	}

}
