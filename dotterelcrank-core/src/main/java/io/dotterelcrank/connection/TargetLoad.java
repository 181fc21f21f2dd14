package io.dotterelcrank.connection;

/**
 * Load of one target, as measured by its sidecar. Immutable.
 *
 * @param state whether the target accepts work
 * @param usedPercent used part of the admission limit, in percent; may exceed 100
 * @param waiting number of requests waiting for admission
 * @param stepMillis current time between tokens, in milliseconds
 * @param roomRequests number of typical requests that would be admitted now
 */
public record TargetLoad(State state, int usedPercent, int waiting, int stepMillis, int roomRequests) {

	/**
	 * Load of an entry process, which has no target.
	 */
	public static final TargetLoad NONE = new TargetLoad(State.SERVING, 0, 0, 0, 0);

	/**
	 * Whether a target accepts work.
	 */
	public enum State {

		/** Accepts work up to its limit. */
		SERVING,

		/** In slow start: cold, with a low limit that rises. */
		WARMING,

		/** Draining: accepts no new work. */
		LEAVING

	}

}
