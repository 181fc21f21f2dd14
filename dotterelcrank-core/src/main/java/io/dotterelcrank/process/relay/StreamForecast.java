package io.dotterelcrank.process.relay;

import io.dotterelcrank.request.GenerationTraits;

/**
 * Forecasts how long a generation streams at most, by the speed of others of its service.
 * Callers' hints and the speed of the engines are uncertain, so that both have a margin;
 * a stream may still take longer. Immutable; the statistics are those at the time of a
 * call.
 *
 * @param statistics statistics of the service
 * @param tokensPerEvent output tokens of an event
 */
record StreamForecast(GenerationStatistics statistics, int tokensPerEvent) {

	/** Factor of a hint that few outputs exceed; the maximum is a limit anyway. */
	static final double HINT_MARGIN = 2;

	/** Factor of the typical time of prefill and events that few streams exceed. */
	static final double TIME_MARGIN = 1.5;

	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * Returns the time from the start of prefill to the last event.
	 * @param traits size of the generation
	 * @param resumed whether the caller has a part of the output, which may be longer
	 * than its hint
	 * @return time in milliseconds, not exceeded as a rule
	 */
	long maxMillis(GenerationTraits traits, boolean resumed) {
		double outputTokens = resumed ? traits.maxTokens()
				: Math.min(traits.maxTokens(), HINT_MARGIN * traits.expectedOutputTokens());
		double prefillMillis = MILLIS_PER_SECOND * traits.promptTokens() / this.statistics.prefillTokensPerSecond();
		double eventMillis = this.statistics.eventMillis() * outputTokens / this.tokensPerEvent;
		return Math.round(TIME_MARGIN * (prefillMillis + eventMillis));
	}

}
