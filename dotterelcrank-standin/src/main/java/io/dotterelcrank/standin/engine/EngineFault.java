package io.dotterelcrank.standin.engine;

/**
 * Faults of a stand-in engine that can be switched on.
 */
public enum EngineFault {

	/** Loses everything, and starts again cold after the given milliseconds. */
	DIE,

	/**
	 * Turns cold without notice: bears what it holds and a cold limit more; the value is
	 * ignored.
	 */
	TURN_COLD,

	/** Makes steps longer by the given factor in percent; 100 ends the fault. */
	SLOW,

	/** Makes no steps for the given milliseconds. */
	STALL,

	/** Breaks all streams while the generations run on; the value is ignored. */
	CUT_STREAMS,

	/** Refuses new generations while the value is not 0. */
	REFUSE

}
