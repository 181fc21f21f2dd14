package io.dotterelcrank.version.plan;

import java.util.Optional;

/**
 * Service and the limits of each of its targets. Immutable.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one target accepts from all
 * callers together
 * @param coldRequestsPerSecond maximum rate of requests to a cold target; 0 if targets
 * need no slow start
 * @param engine properties of its model engines; empty for a plain service
 */
public record ServiceSpec(String name, int maxConnections, double coldRequestsPerSecond, Optional<EngineSpec> engine) {

	/**
	 * Properties of the model engines of a service. Immutable.
	 *
	 * @param slots maximum number of concurrently running requests
	 * @param memoryTokens KV cache memory for running requests and cached prompts, in
	 * tokens
	 * @param supportsKvCopies whether engines copy a running request to another engine on
	 * demand
	 * @param supportsKvBackups whether engines keep a copy of a running request at
	 * another engine
	 * @param copySecondsPerToken time to copy a token of the KV cache to another engine
	 * of the data centre, in seconds; twice as long to another data centre
	 * @param tokensPerEvent output tokens in an event of a stream
	 */
	public record EngineSpec(int slots, long memoryTokens, boolean supportsKvCopies, boolean supportsKvBackups,
			double copySecondsPerToken, int tokensPerEvent) {
	}

}
