package io.dotterelcrank.daemon.load;

import java.util.Collection;

import io.dotterelcrank.standin.engine.StandinEngine;

/**
 * What went wrong in all engines together. Immutable.
 *
 * @param preemptions generations taken out of a batch
 * @param fallOvers times that a cold engine was given more than it bears
 */
record EngineTotals(long preemptions, long fallOvers) {

	/**
	 * Adds the engines' counters up.
	 * @param engines the engines
	 * @return the totals
	 */
	static EngineTotals of(Collection<StandinEngine> engines) {
		long preemptions = engines.stream().mapToLong((engine) -> engine.counters().preemptions()).sum();
		long fallOvers = engines.stream().mapToLong((engine) -> engine.counters().fallOvers()).sum();
		return new EngineTotals(preemptions, fallOvers);
	}

	/**
	 * Sums a measurement up.
	 * @param measurement what callers saw
	 * @return the figures
	 */
	Measurement.Figures figures(Measurement measurement) {
		return measurement.figures(this.preemptions, this.fallOvers);
	}

}
