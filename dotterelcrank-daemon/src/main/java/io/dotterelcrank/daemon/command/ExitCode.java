package io.dotterelcrank.daemon.command;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.ResultCode;

/**
 * Exit codes of the command line. Immutable.
 */
public enum ExitCode {

	/** Done. */
	DONE(0),

	/** Refused, or a promise was broken. */
	REFUSED(1),

	/** Malformed input. */
	BAD_INPUT(2),

	/** A system could not be reached, or the outcome is unknown. */
	UNAVAILABLE(3);

	/** Number that the shell sees. */
	private final int number;

	ExitCode(int number) {
		this.number = number;
	}

	/**
	 * Returns the number.
	 * @return number that the shell sees
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the exit code for a failure.
	 * @param failure the failure
	 * @return the exit code
	 */
	public static ExitCode of(Failure failure) {
		ResultCode code = failure.code();
		return switch (code) {
			case INVALID_SETTING, CONFIGURATION_INVALID, INVALID_REQUEST -> BAD_INPUT;
			case LOG_UNAVAILABLE, CHANGE_OUTCOME_UNKNOWN -> UNAVAILABLE;
			default -> REFUSED;
		};
	}

}
