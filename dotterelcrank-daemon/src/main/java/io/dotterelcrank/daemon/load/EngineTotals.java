package io.dotterelcrank.daemon.load;

import java.util.Collection;

import io.dotterelcrank.standin.engine.StandinEngine;

/**
 * Counters summed over all engines of a virtual or embedded fleet. Immutable.
 *
 * @param preemptions generations removed from a batch because memory was full
 * @param fallOvers crashes of cold engines above their concurrency limit
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
