package io.dotterelcrank.version.plan;

/**
 * What callers may send, and how long they may take. Immutable.
 *
 * @param headerBytes largest size of a request's head, in bytes
 * @param bodyBytes largest size of a request's body, in bytes
 * @param headerMillis longest time for a request's head, in milliseconds
 * @param idleMillis time after which an idle connection is closed, in milliseconds
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {

	/** Limits before any plan is known. */
	public static final CallerLimits INITIAL = new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);

}
