package io.dotterelcrank.process.entry;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.ServiceResponse;

/**
 * The caller of a plain service. Called once, on the control thread; must not block.
 */
public interface CallListener {

	/**
	 * The service answered.
	 * @param reply the answer
	 */
	void answered(ServiceResponse reply);

	/**
	 * The request failed.
	 * @param failure how it failed
	 */
	void failed(Failure failure);

}
