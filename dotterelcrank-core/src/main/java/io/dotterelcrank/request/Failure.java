package io.dotterelcrank.request;

/**
 * Error result of a request. Immutable.
 *
 * @param code numbered error
 * @param ran whether the target executed the request
 * @param retryAfterMillis suggested delay before a retry, in milliseconds; 0 for none
 * @param message human-readable explanation
 */
public record Failure(ResultCode code, Ran ran, long retryAfterMillis, String message) {

	/**
	 * Returns a failure of a request that was not executed.
	 * @param code numbered error
	 * @param message human-readable explanation
	 * @return failure without a suggested retry delay
	 */
	public static Failure notRun(ResultCode code, String message) {
		return new Failure(code, Ran.NO, 0, message);
	}

	/**
	 * Returns a failure of a request that may have been executed.
	 * @param code numbered error
	 * @param message human-readable explanation
	 * @return failure without a suggested retry delay
	 */
	public static Failure mayHaveRun(ResultCode code, String message) {
		return new Failure(code, Ran.UNKNOWN, 0, message);
	}

	/**
	 * Returns a copy with another execution status.
	 * @param value whether the target executed the request
	 * @return the changed copy
	 */
	public Failure withRan(Ran value) {
		return new Failure(this.code, value, this.retryAfterMillis, this.message);
	}

	/**
	 * Returns a copy with a suggested retry delay.
	 * @param millis delay in milliseconds
	 * @return the changed copy
	 */
	public Failure withRetryAfter(long millis) {
		return new Failure(this.code, this.ran, millis, this.message);
	}

	/**
	 * Wraps this failure in a checked exception.
	 * @return new exception that carries this failure
	 */
	public RequestException toException() {
		return new RequestException(this);
	}

}
