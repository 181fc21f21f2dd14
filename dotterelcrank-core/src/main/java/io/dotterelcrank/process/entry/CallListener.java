package io.dotterelcrank.process.entry;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.ServiceResponse;

/**
 * Receives the result of a call to a plain service. Called once, on the control thread;
 * must not block.
 */
public interface CallListener {

	/**
	 * Called when the service has responded.
	 * @param response the response
	 */
	void responseReceived(ServiceResponse response);

	/**
	 * Called when the request has failed.
	 * @param failure the failure
	 */
	void failed(Failure failure);

}
