package io.dotterelcrank.version.plan;

/**
 * Whether the requests of a route may be executed more than once. Immutable.
 */
public enum RequestKind {

	/** May be executed more than once. */
	IDEMPOTENT,

	/** Executed at most once for each attempt of the caller. */
	NON_IDEMPOTENT,

	/** Like the non-idempotent kind, but with a stream of events as response. */
	STREAMING

}
