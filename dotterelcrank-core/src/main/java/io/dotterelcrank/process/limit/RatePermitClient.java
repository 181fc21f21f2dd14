package io.dotterelcrank.process.limit;

import io.dotterelcrank.connection.Message;

/**
 * Asks the entry host that issues the permits of a target. Confined to the traffic
 * thread.
 */
public interface RatePermitClient {

	/**
	 * Sends a request. The response, if any, arrives after this call has returned.
	 * @param request the request
	 */
	void send(Message.RatePermitRequest request);

	/**
	 * Asks nobody, so that a target with a limit gets no requests beyond this host's
	 * share.
	 */
	enum Disabled implements RatePermitClient {

		/** Stateless; shared by all processes. */
		INSTANCE;

		@Override
		public void send(Message.RatePermitRequest request) {
			// No other host can be asked.
		}

	}

}
