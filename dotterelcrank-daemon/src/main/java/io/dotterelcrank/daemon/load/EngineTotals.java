package io.dotterelcrank.daemon.load;

import java.util.Collection;

import io.dotterelcrank.standin.engine.StandinEngine;

/**
 * Error counters summed over all engines. Immutable.
 *
 * @param preemptions generations preempted from a running batch
 * @param fallOvers times that a cold engine failed under overload
 */
record EngineTotals(long preemptions, long fallOvers) {

	/**
	 * Sums the counters of the engines.
	 * @param engines the engines
	 * @return sums since the engines started
	 */
	static EngineTotals of(Collection<StandinEngine> engines) {
		long preemptions = engines.stream().mapToLong((engine) -> engine.counters().preemptions()).sum();
		long fallOvers = engines.stream().mapToLong((engine) -> engine.counters().fallOvers()).sum();
		return new EngineTotals(preemptions, fallOvers);
	}

	/**
	 * Returns the figures of a measurement, with these totals.
	 * @param measurement what callers observed
	 * @return the figures
	 */
	Measurement.Figures figures(Measurement measurement) {
		return measurement.figures(this.preemptions, this.fallOvers);
	}

}
