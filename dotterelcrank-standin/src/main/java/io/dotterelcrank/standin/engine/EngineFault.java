package io.dotterelcrank.standin.engine;

/**
 * Faults that can be injected into a stand-in engine.
 */
public enum EngineFault {

	/** Loses all state and restarts cold after the given number of milliseconds. */
	DIE,

	/**
	 * Makes the engine cold while it serves: it can run the generations that it holds
	 * plus its cold limit; the value is ignored.
	 */
	TURN_COLD,

	/** Sets the step duration to the given percentage of normal; 100 ends the fault. */
	SLOW,

	/** Runs no steps for the given number of milliseconds. */
	STALL,

	/** Breaks all streams; the generations keep running. The value is ignored. */
	CUT_STREAMS,

	/** Refuses new generations; 0 ends the fault. */
	REFUSE

}
