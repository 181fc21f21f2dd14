package io.dotterelcrank.process.relay;

/**
 * What a load report means for the requests of this process, the least first.
 */
enum LoadChange {

	/** No request that the engine had no capacity for fits now. */
	NO_GAIN,

	/** The engine may have the capacity for a request that waits. */
	CAPACITY_GAINED,

	/** The engine begins to drain, or no longer does. */
	LEAVING_CHANGED

}
