package io.dotterelcrank.process.rollout;

/**
 * Bounds of roll-outs in a deployment. Immutable.
 *
 * @param exposedShare share of a service's requests that a bad version may get from all
 * hosts together, from 0 to 1; 0 if the deployment has no roll-outs
 * @param exposedSlack requests that it may get in addition, from all hosts together
 * @param rollbackMillis time from the bad responses that prove a version bad until it
 * must get nothing, in milliseconds
 */
public record RolloutSettings(double exposedShare, int exposedSlack, long rollbackMillis) {

	/** Settings of a deployment without roll-outs. */
	public static final RolloutSettings DISABLED = new RolloutSettings(0, 0, 0);

	/**
	 * Returns whether the deployment has roll-outs.
	 * @return {@code false} if all versions of a service are treated alike
	 */
	public boolean enabled() {
		return this.exposedShare > 0;
	}

}
