package io.dotterelcrank.standin.service;

/**
 * Faults that can be injected into a stand-in plain service.
 */
public enum ServiceFault {

	/** No fault. */
	NONE,

	/** The connection is refused; the call is not executed. */
	REFUSE_CONNECTION,

	/** The connection breaks before the request is read; the call is not executed. */
	BREAK_BEFORE_RUN,

	/** The call is executed; the connection breaks before the response. */
	BREAK_AFTER_RUN,

	/** The call is executed; the connection breaks in the middle of the response. */
	BREAK_MID_ANSWER,

	/** The call is executed; no response is sent. */
	NO_ANSWER

}
