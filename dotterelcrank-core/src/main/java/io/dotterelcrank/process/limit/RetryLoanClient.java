package io.dotterelcrank.process.limit;

/**
 * Asks other entry hosts for unused permits of their retry budgets. Confined to the
 * traffic thread.
 */
public interface RetryLoanClient {

	/**
	 * Asks for a permit, which may be granted later.
	 * @param service name of the service whose requests are to be retried
	 */
	void requestLoan(String service);

	/**
	 * Asks nobody, so that each host keeps to its own fraction of the budget.
	 */
	enum Disabled implements RetryLoanClient {

		/** Stateless; shared by all processes. */
		INSTANCE;

		@Override
		public void requestLoan(String service) {
			// No other host can be asked.
		}

	}

}
