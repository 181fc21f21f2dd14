package io.dotterelcrank.version.plan;

/**
 * Limits on the size and duration of requests from callers. Immutable.
 *
 * @param maxHeaderBytes maximum size of a request head, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMillis maximum time to receive a request head, in milliseconds
 * @param idleTimeoutMillis time after which an idle connection is closed, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/** Limits until the first plan is received. */
	public static final CallerLimits INITIAL = new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);

}
