package io.dotterelcrank.process.overload;

/**
 * Recognises callers that were refused and have returned. A caller sends the time that it
 * still waits; a repeated request has less of it than a first one. Learns the deadline of
 * first requests on one route as the longest seen lately. Not thread-safe.
 */
public final class ReturnDetector {

	/** Fraction of the usual deadline below which a request is a repeated one. */
	static final double RETURNED_FRACTION = 0.985;

	/**
	 * Weight of a shorter deadline in the usual one, which may fall with the operators'
	 * plan.
	 */
	static final double FALL_WEIGHT = 0.005;

	private double usualMillis;

	/**
	 * Records a request and decides whether its caller has returned.
	 * @param deadlineMillis time that the caller still waits, in milliseconds
	 * @return {@code true} if the request is a repeated one
	 */
	public boolean recordArrival(long deadlineMillis) {
		if (deadlineMillis >= this.usualMillis) {
			this.usualMillis = deadlineMillis;
			return false;
		}
		boolean returned = deadlineMillis < RETURNED_FRACTION * this.usualMillis;
		this.usualMillis += FALL_WEIGHT * (deadlineMillis - this.usualMillis);
		return returned;
	}

}
