package io.dotterelcrank.process.routing;

import io.dotterelcrank.connection.TargetLoad;

/**
 * What an entry host believes about a target. Immutable; a belief may be stale.
 *
 * @param name name of the target
 * @param local whether it stands in the entry host's own data centre
 * @param outstanding requests that this entry host has at the target
 * @param sentSinceReport requests that this entry host sent since the load was told
 * @param load load that the sidecar told last
 */
public record TargetView(String name, boolean local, int outstanding, int sentSinceReport, TargetLoad load) {

	/** Load assumed for each request sent since the load was told, in percent. */
	private static final int REQUEST_PERCENT = 2;

	/** Load of a target without room, in percent. */
	private static final int FULL_PERCENT = 100;

	/**
	 * Estimates the load now.
	 * @return load in percent
	 */
	public int estimatedPercent() {
		boolean roomUsed = this.load.state() == TargetLoad.State.WARMING
				&& this.sentSinceReport >= this.load.roomRequests();
		int sent = REQUEST_PERCENT * this.sentSinceReport;
		return (roomUsed ? Math.max(FULL_PERCENT, this.load.usedPercent()) : this.load.usedPercent()) + sent;
	}

}
