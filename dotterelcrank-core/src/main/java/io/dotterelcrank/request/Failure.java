package io.dotterelcrank.request;

/**
 * How a request failed. Immutable.
 *
 * @param code the numbered result
 * @param ran whether the target ran the request
 * @param retryAfterMillis when a new try makes sense, in milliseconds; 0 for no advice
 * @param message what happened, for people
 */
public record Failure(ResultCode code, Ran ran, long retryAfterMillis, String message) {

	/**
	 * Returns a failure of a request that did not run.
	 * @param code the numbered result
	 * @param message what happened, for people
	 * @return a failure without retry advice
	 */
	public static Failure notRun(ResultCode code, String message) {
		return new Failure(code, Ran.NO, 0, message);
	}

	/**
	 * Returns a failure of a request that may have run.
	 * @param code the numbered result
	 * @param message what happened, for people
	 * @return a failure without retry advice
	 */
	public static Failure mayHaveRun(ResultCode code, String message) {
		return new Failure(code, Ran.UNKNOWN, 0, message);
	}

	/**
	 * Returns a copy with another answer to whether the request ran.
	 * @param value the new answer
	 * @return the changed copy
	 */
	public Failure withRan(Ran value) {
		return new Failure(this.code, value, this.retryAfterMillis, this.message);
	}

	/**
	 * Returns a copy with advice on when to try again.
	 * @param millis delay in milliseconds
	 * @return the changed copy
	 */
	public Failure withRetryAfter(long millis) {
		return new Failure(this.code, this.ran, millis, this.message);
	}

	/**
	 * Wraps this failure in a checked exception.
	 * @return an exception that carries this failure
	 */
	public RequestException toException() {
		return new RequestException(this);
	}

}
