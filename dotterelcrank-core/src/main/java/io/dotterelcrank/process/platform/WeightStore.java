package io.dotterelcrank.process.platform;

import io.dotterelcrank.common.PlatformException;

/**
 * Client of the platform's rate-limited store of model weights. Implementations are
 * thread-safe.
 */
public interface WeightStore {

	/**
	 * Requests a permit to load weights now.
	 * @param model model to load
	 * @return 0 if the permit is granted; otherwise the delay before the next request, in
	 * milliseconds
	 * @throws PlatformException if the store cannot be reached
	 */
	long requestPermit(String model) throws PlatformException;

}
