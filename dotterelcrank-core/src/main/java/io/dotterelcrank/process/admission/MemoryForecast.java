package io.dotterelcrank.process.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Forecasts the memory that running generations will hold. For a number of steps ahead, a
 * generation holds its prompt, its output so far and one token a step, if it still runs
 * then; the forecast is the mean over all generations plus a multiple of the standard
 * deviation. Stateless.
 */
final class MemoryForecast {

	/** Standard deviations above the mean while the engine preempts nothing. */
	static final double DEVIATIONS = 1.25;

	/** First number of steps ahead that is looked at, after 0. */
	private static final double FIRST_STEPS = 8;

	/** Factor between the numbers of steps looked at. */
	private static final double STEPS_FACTOR = 1.6;

	/** Largest number of steps ahead that is looked at. */
	private static final double LAST_STEPS = 40_000;

	private MemoryForecast() {
	}

	/**
	 * Returns the largest forecast over all numbers of steps ahead.
	 * @param running the running generations
	 * @param caution standard deviations added after preemptions
	 * @return memory in tokens
	 */
	static double peak(Collection<Running> running, double caution) {
		double peak = at(running, 0, caution);
		for (double steps = FIRST_STEPS; steps < LAST_STEPS; steps *= STEPS_FACTOR) {
			peak = Math.max(peak, at(running, steps, caution));
		}
		return peak;
	}

	/**
	 * Returns the largest forecast with one more generation.
	 * @param running the running generations
	 * @param candidate one more generation
	 * @param caution standard deviations added after preemptions
	 * @return memory in tokens
	 */
	static double peak(Collection<Running> running, Running candidate, double caution) {
		List<Running> all = new ArrayList<>(running);
		all.add(candidate);
		return peak(all, caution);
	}

	private static double at(Collection<Running> running, double steps, double caution) {
		double mean = 0;
		double variance = 0;
		for (Running generation : running) {
			double probability = generation.stillRunning(steps);
			double tokens = generation.memoryTokens() + steps;
			mean += tokens * probability;
			variance += tokens * tokens * probability * (1 - probability);
		}
		return mean + (DEVIATIONS + caution) * Math.sqrt(variance);
	}

}
