package io.dotterelcrank.process.overload;

/**
 * What the engines of a service have left, and how fast more becomes free: KV cache
 * memory, and the prefill of prompts. Immutable.
 *
 * @param freeTokens memory that no request has and none is expected to need, in tokens
 * @param freedTokensPerSecond memory that running generations free per second, in tokens;
 * 0 if not known
 * @param pendingPrefillTokens prompt tokens that wait for prefill
 * @param prefillTokensPerSecond prompt tokens that the engines prefill per second
 * @param reportedEngines number of engines that the figures come from
 */
public record EngineCapacity(long freeTokens, double freedTokensPerSecond, long pendingPrefillTokens,
		double prefillTokensPerSecond, int reportedEngines) {

	/** No engine has reported its load. */
	public static final EngineCapacity UNKNOWN = new EngineCapacity(0, 0, 0, 0, 0);

	/**
	 * Adds another capacity.
	 * @param other capacity of other engines
	 * @return the sum
	 */
	public EngineCapacity plus(EngineCapacity other) {
		return new EngineCapacity(this.freeTokens + other.freeTokens,
				this.freedTokensPerSecond + other.freedTokensPerSecond,
				this.pendingPrefillTokens + other.pendingPrefillTokens,
				this.prefillTokensPerSecond + other.prefillTokensPerSecond,
				this.reportedEngines + other.reportedEngines);
	}

	/**
	 * Returns the share of one of several hosts that see the same engines.
	 * @param entryHosts number of hosts
	 * @return the capacity divided by their number
	 */
	public EngineCapacity share(int entryHosts) {
		int hosts = Math.max(1, entryHosts);
		return new EngineCapacity(this.freeTokens / hosts, this.freedTokensPerSecond / hosts,
				this.pendingPrefillTokens / hosts, this.prefillTokensPerSecond / hosts, this.reportedEngines);
	}

	/**
	 * Returns whether the figures can be used.
	 * @return {@code false} if no engine has reported its load
	 */
	public boolean known() {
		return this.reportedEngines > 0;
	}

}
