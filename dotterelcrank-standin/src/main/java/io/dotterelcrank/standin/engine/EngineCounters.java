package io.dotterelcrank.standin.engine;

/**
 * What went wrong in a stand-in engine. Immutable.
 *
 * @param preemptions generations taken out of the batch for want of memory
 * @param fallOvers times that the engine fell over, since it was given more than a cold
 * engine bears
 */
public record EngineCounters(long preemptions, long fallOvers) {

	/** Nothing went wrong. */
	public static final EngineCounters ZERO = new EngineCounters(0, 0);

	EngineCounters withPreemption() {
		return new EngineCounters(this.preemptions + 1, this.fallOvers);
	}

	EngineCounters withFallOver() {
		return new EngineCounters(this.preemptions, this.fallOvers + 1);
	}

}
