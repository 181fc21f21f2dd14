package io.dotterelcrank.process.platform;

import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.request.ServiceResponse;

/**
 * A plain service. Implementations send each call at most once, follow no redirects, and
 * are thread-safe.
 */
public interface ServiceClient {

	/**
	 * Sends a call. Returns at once; the listener hears one result.
	 * @param call the call
	 * @param listener hears the result
	 */
	void invoke(ServiceCall call, Listener listener);

	/**
	 * Hears the result of a call.
	 */
	interface Listener {

		/**
		 * The service answered.
		 * @param reply the answer
		 */
		void answered(ServiceResponse reply);

		/**
		 * There is no answer.
		 * @param reached whether any byte of the call may have reached the service
		 * @param message what happened, for people
		 */
		void failed(boolean reached, String message);

	}

}
