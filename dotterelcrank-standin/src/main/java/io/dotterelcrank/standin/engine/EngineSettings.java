package io.dotterelcrank.standin.engine;

/**
 * Capacity and timing of a stand-in engine. Immutable.
 *
 * @param memoryTokens size of the KV cache memory, in tokens
 * @param baseStepMicros duration of an empty step, in microseconds
 * @param stepMicrosPerGeneration additional step duration per running generation, in
 * microseconds
 * @param maxPrefillTokensPerStep maximum number of prompt tokens prefilled in one step
 * @param prefillMicrosPerToken additional step duration per prompt token prefilled, in
 * microseconds
 * @param prefixCacheTokens capacity of the prefix cache, in prompt tokens
 * @param coldRequestLimit concurrent generations above which the cold engine crashes;
 * rises as the engine warms up
 * @param warmUpTokens output tokens after which the engine is warm; 0 to start warm
 * @param reportLagMillis delay of load reports and cache events, in milliseconds
 * @param checksFences whether orders with stale fencing tokens are refused
 */
public record EngineSettings(long memoryTokens, long baseStepMicros, long stepMicrosPerGeneration,
		int maxPrefillTokensPerStep, long prefillMicrosPerToken, long prefixCacheTokens, int coldRequestLimit,
		int warmUpTokens, long reportLagMillis, boolean checksFences) {

	/**
	 * Returns the settings of a medium-sized engine that starts cold.
	 * @return memory for about 60 generations, with steps of 30 ms when they run
	 */
	public static EngineSettings defaults() {
		return new EngineSettings(30_000, 12_000, 300, 512, 20, 4_000, 4, 4_000, 500, true);
	}

	/**
	 * Returns a copy with another memory size.
	 * @param tokens size of the KV cache memory, in tokens
	 * @return the changed copy
	 */
	public EngineSettings withMemory(long tokens) {
		return new EngineSettings(tokens, this.baseStepMicros, this.stepMicrosPerGeneration,
				this.maxPrefillTokensPerStep, this.prefillMicrosPerToken, this.prefixCacheTokens, this.coldRequestLimit,
				this.warmUpTokens, this.reportLagMillis, this.checksFences);
	}

	/**
	 * Returns a copy with other step durations.
	 * @param baseMicros duration of an empty step, in microseconds
	 * @param requestMicros additional duration per running generation, in microseconds
	 * @return the changed copy
	 */
	public EngineSettings withStepTimes(long baseMicros, long requestMicros) {
		return new EngineSettings(this.memoryTokens, baseMicros, requestMicros, this.maxPrefillTokensPerStep,
				this.prefillMicrosPerToken, this.prefixCacheTokens, this.coldRequestLimit, this.warmUpTokens,
				this.reportLagMillis, this.checksFences);
	}

	/**
	 * Returns a copy that starts warm.
	 * @return the changed copy
	 */
	public EngineSettings startingWarm() {
		return new EngineSettings(this.memoryTokens, this.baseStepMicros, this.stepMicrosPerGeneration,
				this.maxPrefillTokensPerStep, this.prefillMicrosPerToken, this.prefixCacheTokens, this.coldRequestLimit,
				0, this.reportLagMillis, this.checksFences);
	}

	/**
	 * Returns a copy that accepts orders with stale fencing tokens.
	 * @return the changed copy
	 */
	public EngineSettings ignoringFences() {
		return new EngineSettings(this.memoryTokens, this.baseStepMicros, this.stepMicrosPerGeneration,
				this.maxPrefillTokensPerStep, this.prefillMicrosPerToken, this.prefixCacheTokens, this.coldRequestLimit,
				this.warmUpTokens, this.reportLagMillis, false);
	}

}
