package io.dotterelcrank.process.relay;

/**
 * Asks other entry hosts for unused permits of their retry budgets. Confined to the
 * traffic thread.
 */
public interface RetryLoanClient {

	/**
	 * Asks for a permit. Each permit that is granted is passed to
	 * {@link RelayService#addRetryLoan}.
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
