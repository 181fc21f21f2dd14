package io.dotterelcrank.version.plan;

/**
 * What may be repeated. Immutable.
 */
public enum RequestKind {

	/** May run more than once. */
	IDEMPOTENT,

	/** Runs at most once for each attempt of the caller. */
	NON_IDEMPOTENT,

	/** Answered by a stream of events; runs at most once for each attempt. */
	STREAMING

}
