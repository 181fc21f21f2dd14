package io.dotterelcrank.process.limit;

/**
 * Request rate that a target names in a response, for all hosts together. Immutable.
 *
 * @param named whether the response names a rate
 * @param requestsPerSecond the rate; {@link Double#NaN} if it cannot be read or none is
 * named
 */
public record RequestLimit(boolean named, double requestsPerSecond) {

	/** The target takes any number of requests. */
	public static final RequestLimit NONE = new RequestLimit(false, Double.NaN);

	/** The target names a rate that cannot be read, so the last one stays in force. */
	public static final RequestLimit UNREADABLE = new RequestLimit(true, Double.NaN);

	/** Highest rate that is read; beyond it, the value is taken for an error. */
	static final double MAX_REQUESTS_PER_SECOND = 1_000_000;

	/**
	 * Creates a limit.
	 * @param requestsPerSecond the rate
	 * @return the limit, or {@link #UNREADABLE} if the rate is negative, infinite or out
	 * of range
	 */
	public static RequestLimit of(double requestsPerSecond) {
		boolean valid = requestsPerSecond >= 0 && requestsPerSecond <= MAX_REQUESTS_PER_SECOND;
		return valid ? new RequestLimit(true, requestsPerSecond) : UNREADABLE;
	}

	/**
	 * Returns whether the rate could be read.
	 * @return {@code false} without a rate
	 */
	public boolean readable() {
		return !Double.isNaN(this.requestsPerSecond);
	}

}
