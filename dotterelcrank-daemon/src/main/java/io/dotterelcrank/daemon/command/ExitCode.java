package io.dotterelcrank.daemon.command;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.ResultCode;

/**
 * Exit code of a command. Immutable.
 */
public enum ExitCode {

	/** Success. */
	SUCCESS(0),

	/** The request was refused, nothing was found, or a guarantee was violated. */
	REFUSED(1),

	/** The arguments or settings are invalid. */
	BAD_INPUT(2),

	/**
	 * A system could not be reached, the outcome of a change is unknown, or a process
	 * runs an old configuration.
	 */
	UNAVAILABLE(3);

	private final int number;

	ExitCode(int number) {
		this.number = number;
	}

	/**
	 * Returns the exit status of the process.
	 * @return status passed to the shell
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the exit code for a failed request.
	 * @param failure the failure
	 * @return the exit code, never {@link #SUCCESS}
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
