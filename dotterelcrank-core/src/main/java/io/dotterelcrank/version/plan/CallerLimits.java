package io.dotterelcrank.version.plan;

/**
 * What callers may send, and how long they may take. Immutable.
 *
 * @param maxHeaderBytes largest size of a request's head, in bytes
 * @param maxBodyBytes largest size of a request's body, in bytes
 * @param headerTimeoutMillis longest time for a request's head, in milliseconds
 * @param idleTimeoutMillis time after which an idle connection is closed, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/** Limits before any plan is known. */
	public static final CallerLimits INITIAL = new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);

}
