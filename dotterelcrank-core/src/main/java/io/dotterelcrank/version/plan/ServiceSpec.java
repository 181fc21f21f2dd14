package io.dotterelcrank.version.plan;

import java.util.Optional;

/**
 * A service and the limits of its targets. Immutable.
 *
 * @param name name of the service
 * @param maxConnections connections that one target accepts from all callers together
 * @param coldRequestsPerSecond requests a second that a cold target bears; 0 if targets
 * are never cold
 * @param engine traits of its model engines, or nothing for a plain service
 */
public record ServiceSpec(String name, int maxConnections, double coldRequestsPerSecond, Optional<EngineSpec> engine) {

	/**
	 * Traits of a service's model engines. Immutable.
	 *
	 * @param slots requests that run at once
	 * @param memoryTokens memory for running requests and cached prompts, in tokens
	 * @param supportsKvCopies whether engines copy a running request to another engine on
	 * demand
	 * @param supportsKvBackups whether engines keep a copy of a running request at
	 * another engine
	 */
	public record EngineSpec(int slots, long memoryTokens, boolean supportsKvCopies, boolean supportsKvBackups) {
	}

}
