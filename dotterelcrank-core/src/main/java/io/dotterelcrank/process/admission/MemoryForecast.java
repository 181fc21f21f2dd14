package io.dotterelcrank.process.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Forecasts the KV cache memory that generations will hold. At a horizon of some steps, a
 * generation that is still running holds its prompt, its output so far and one token per
 * step; the forecast is the mean of the sum over all generations plus a multiple of its
 * standard deviation. Stateless.
 */
final class MemoryForecast {

	/** Standard deviations above the mean while the engine does not preempt. */
	static final double BASE_DEVIATIONS = 1.25;

	/** First horizon in steps, after 0. */
	private static final double FIRST_HORIZON_STEPS = 8;

	/** Ratio of consecutive horizons. */
	private static final double HORIZON_FACTOR = 1.6;

	/** Upper bound of the horizon, in steps. */
	private static final double MAX_HORIZON_STEPS = 40_000;

	private MemoryForecast() {
	}

	/**
	 * Returns the maximum forecast over all horizons.
	 * @param admitted the running generations
	 * @param extraDeviations standard deviations added after preemptions
	 * @return memory in tokens
	 */
	static double peakTokens(Collection<AdmittedRequest> admitted, double extraDeviations) {
		double peak = forecastTokens(admitted, 0, extraDeviations);
		for (double horizonSteps = FIRST_HORIZON_STEPS; horizonSteps < MAX_HORIZON_STEPS; horizonSteps *= HORIZON_FACTOR) {
			peak = Math.max(peak, forecastTokens(admitted, horizonSteps, extraDeviations));
		}
		return peak;
	}

	/**
	 * Returns the maximum forecast over all horizons with one more generation.
	 * @param admitted the running generations
	 * @param additional the generation to add
	 * @param extraDeviations standard deviations added after preemptions
	 * @return memory in tokens
	 */
	static double peakTokens(Collection<AdmittedRequest> admitted, AdmittedRequest additional, double extraDeviations) {
		List<AdmittedRequest> all = new ArrayList<>(admitted);
		all.add(additional);
		return peakTokens(all, extraDeviations);
	}

	private static double forecastTokens(Collection<AdmittedRequest> admitted, double horizonSteps,
			double extraDeviations) {
		double mean = 0;
		double variance = 0;
		for (AdmittedRequest request : admitted) {
			double probability = request.probabilityStillRunning(horizonSteps);
			double tokens = request.memoryTokens() + horizonSteps;
			mean += tokens * probability;
			variance += tokens * tokens * probability * (1 - probability);
		}
		return mean + (BASE_DEVIATIONS + extraDeviations) * Math.sqrt(variance);
	}

}
