package io.dotterelcrank.standin.platform;

/**
 * Faults that can be injected into a stand-in log.
 */
public enum LogFault {

	/** No fault. */
	NONE,

	/** Reads and appends fail. */
	DOWN,

	/** Appends take effect, but the client gets an error. */
	LOSE_ANSWERS,

	/** Appends fail, but take effect when the fault ends. */
	LATE_APPENDS,

	/** Appends fail without effect; reads work. */
	REFUSE_APPENDS

}
