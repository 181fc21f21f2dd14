package io.dotterelcrank.process.platform;

import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.request.ServiceResponse;

/**
 * Client of a plain service. Implementations send each call at most once, do not follow
 * redirects, and are thread-safe.
 */
public interface ServiceClient {

	/**
	 * Sends a call. Returns at once; the listener receives exactly one result.
	 * @param call the call
	 * @param listener receives the result
	 */
	void invoke(ServiceCall call, Listener listener);

	/**
	 * Receives the result of a call.
	 */
	interface Listener {

		/**
		 * The service responded, with whatever status.
		 * @param response the response
		 */
		void responseReceived(ServiceResponse response);

		/**
		 * There is no response.
		 * @param reached whether any byte of the call may have reached the service
		 * @param message human-readable description
		 */
		void failed(boolean reached, String message);

	}

}
