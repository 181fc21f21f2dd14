package io.dotterelcrank.standin.engine;

/**
 * Counters of preemptions and overload crashes of a stand-in engine. Immutable.
 *
 * @param preemptions generations removed from the batch because memory was full
 * @param fallOvers crashes of the cold engine above its concurrency limit
 */
public record EngineCounters(long preemptions, long fallOvers) {

	/** Counters of a new engine. */
	public static final EngineCounters ZERO = new EngineCounters(0, 0);

	EngineCounters withPreemption() {
		return new EngineCounters(this.preemptions + 1, this.fallOvers);
	}

	EngineCounters withFallOver() {
		return new EngineCounters(this.preemptions, this.fallOvers + 1);
	}

}
