package io.dotterelcrank.standin.platform;

/**
 * Faults of a stand-in log that can be switched on.
 */
public enum LogFault {

	/** The log works. */
	NONE,

	/** Nothing can be read or appended. */
	DOWN,

	/** Appends take effect, but their answers are lost. */
	LOSE_ANSWERS,

	/** Appends fail, and take effect later, when the fault ends. */
	LATE_APPENDS,

	/** Appends fail without effect; reads work. */
	REFUSE_APPENDS

}
