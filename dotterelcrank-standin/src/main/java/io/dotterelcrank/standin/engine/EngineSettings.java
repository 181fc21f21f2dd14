package io.dotterelcrank.standin.engine;

/**
 * Size and speed of a stand-in engine. Immutable.
 *
 * @param memoryTokens size of the memory, in tokens
 * @param baseStepMicros duration of a step without generations, in microseconds
 * @param stepMicrosPerGeneration additional duration for each running generation, in
 * microseconds
 * @param maxPrefillTokensPerStep most prompt tokens processed in one step
 * @param prefillMicrosPerToken additional duration for each prompt token processed, in
 * microseconds
 * @param prefixCacheTokens size of the prefix cache, in prompt tokens
 * @param coldRequestLimit requests that the engine bears when it starts
 * @param warmUpTokens output tokens after which the engine is warm; 0 to start warm
 * @param reportLagMillis age of load reports and cache events, in milliseconds
 * @param checksFences whether orders with old fencing numbers are refused
 */
public record EngineSettings(long memoryTokens, long baseStepMicros, long stepMicrosPerGeneration,
		int maxPrefillTokensPerStep, long prefillMicrosPerToken, long prefixCacheTokens, int coldRequestLimit,
		int warmUpTokens, long reportLagMillis, boolean checksFences) {

	/**
	 * Returns the settings of an engine of usual size.
	 * @return memory for some 60 generations, and 30 ms a step when they run
	 */
	public static EngineSettings defaults() {
		return new EngineSettings(30_000, 12_000, 300, 512, 20, 4_000, 4, 4_000, 500, true);
	}

	/**
	 * Returns a copy with another memory.
	 * @param tokens size in tokens
	 * @return the changed copy
	 */
	public EngineSettings withMemory(long tokens) {
		return new EngineSettings(tokens, this.baseStepMicros, this.stepMicrosPerGeneration,
				this.maxPrefillTokensPerStep, this.prefillMicrosPerToken, this.prefixCacheTokens, this.coldRequestLimit,
				this.warmUpTokens, this.reportLagMillis, this.checksFences);
	}

	/**
	 * Returns a copy with other step times.
	 * @param baseMicros duration of a step without generations, in microseconds
	 * @param requestMicros additional duration for each generation, in microseconds
	 * @return the changed copy
	 */
	public EngineSettings withStepTimes(long baseMicros, long requestMicros) {
		return new EngineSettings(this.memoryTokens, baseMicros, requestMicros, this.maxPrefillTokensPerStep,
				this.prefillMicrosPerToken, this.prefixCacheTokens, this.coldRequestLimit, this.warmUpTokens,
				this.reportLagMillis, this.checksFences);
	}

	/**
	 * Returns a copy of an engine that needs no warming.
	 * @return the changed copy
	 */
	public EngineSettings startingWarm() {
		return new EngineSettings(this.memoryTokens, this.baseStepMicros, this.stepMicrosPerGeneration,
				this.maxPrefillTokensPerStep, this.prefillMicrosPerToken, this.prefixCacheTokens, this.coldRequestLimit,
				0, this.reportLagMillis, this.checksFences);
	}

	/**
	 * Returns a copy of an engine that takes any order.
	 * @return the changed copy
	 */
	public EngineSettings ignoringFences() {
		return new EngineSettings(this.memoryTokens, this.baseStepMicros, this.stepMicrosPerGeneration,
				this.maxPrefillTokensPerStep, this.prefillMicrosPerToken, this.prefixCacheTokens, this.coldRequestLimit,
				this.warmUpTokens, this.reportLagMillis, false);
	}

}
