package io.dotterelcrank.process.overload;

/**
 * KV cache memory of the engines of a service, and how fast their running generations
 * free it. Immutable.
 *
 * @param freeTokens memory that no request has and none is expected to need, in tokens
 * @param freedTokensPerSecond memory that running generations free per second, in tokens;
 * 0 if not known
 * @param reportedEngines number of engines that the figures come from
 */
public record EngineCapacity(long freeTokens, double freedTokensPerSecond, int reportedEngines) {

	/** No engine has reported its load. */
	public static final EngineCapacity UNKNOWN = new EngineCapacity(0, 0, 0);

	/**
	 * Adds another capacity.
	 * @param other capacity of other engines
	 * @return the sum
	 */
	public EngineCapacity plus(EngineCapacity other) {
		return new EngineCapacity(this.freeTokens + other.freeTokens,
				this.freedTokensPerSecond + other.freedTokensPerSecond, this.reportedEngines + other.reportedEngines);
	}

	/**
	 * Returns the share of one of several hosts that see the same engines.
	 * @param entryHosts number of hosts
	 * @return the capacity divided by their number
	 */
	public EngineCapacity share(int entryHosts) {
		int hosts = Math.max(1, entryHosts);
		return new EngineCapacity(this.freeTokens / hosts, this.freedTokensPerSecond / hosts, this.reportedEngines);
	}

	/**
	 * Returns whether the figures can be used.
	 * @return {@code false} if no engine has reported its load
	 */
	public boolean known() {
		return this.reportedEngines > 0;
	}

}
