package io.dotterelcrank.connection;

/**
 * Load of one target as its sidecar sees it. Immutable.
 *
 * @param state whether the target takes work
 * @param usedPercent share of the admission limit in use, in percent; may exceed 100
 * @param waiting number of requests waiting for admission
 * @param stepMillis time between tokens now, in milliseconds
 * @param roomRequests number of typical requests that would be admitted now
 */
public record TargetLoad(State state, int usedPercent, int waiting, int stepMillis, int roomRequests) {

	/**
	 * Load of a process that has no target.
	 */
	public static final TargetLoad NONE = new TargetLoad(State.SERVING, 0, 0, 0, 0);

	/**
	 * Whether a target takes work.
	 */
	public enum State {

		/** Takes work up to its limit. */
		SERVING,

		/** Takes little work while it warms up. */
		WARMING,

		/** Takes no new work. */
		LEAVING

	}

}
