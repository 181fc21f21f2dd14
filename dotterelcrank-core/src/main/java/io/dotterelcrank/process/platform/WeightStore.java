package io.dotterelcrank.process.platform;

/**
 * The platform's rate-limited store of model weights. Implementations are thread-safe.
 */
public interface WeightStore {

	/**
	 * Asks for permission to load weights now.
	 * @param model model to load
	 * @return 0 if the load may start now, else how long to wait before asking again, in
	 * milliseconds
	 * @throws PlatformException if the store cannot be reached
	 */
	long requestPermit(String model) throws PlatformException;

}
