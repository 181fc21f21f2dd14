package io.dotterelcrank.standin.service;

/**
 * Faults of a stand-in plain service that can be switched on.
 */
public enum ServiceFault {

	/** The service works. */
	NONE,

	/** The connection is refused; nothing runs. */
	REFUSE_CONNECTION,

	/** The connection breaks before the request is read; nothing runs. */
	BREAK_BEFORE_RUN,

	/** The call runs, and the connection breaks before the answer. */
	BREAK_AFTER_RUN,

	/** The call runs, and the connection breaks in the middle of the answer. */
	BREAK_MID_ANSWER,

	/** The call runs, and the answer never comes. */
	NO_ANSWER

}
