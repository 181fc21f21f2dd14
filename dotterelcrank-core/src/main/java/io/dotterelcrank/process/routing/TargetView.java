package io.dotterelcrank.process.routing;

import io.dotterelcrank.connection.TargetLoad;

/**
 * View that an entry host has of a target; it may be stale. Immutable.
 *
 * @param name name of the target
 * @param local whether it is in the entry host's own data centre
 * @param outstanding requests that this entry host has at the target
 * @param sentSinceReport requests that this entry host sent since the last load report
 * @param load last load report of the sidecar
 */
public record TargetView(String name, boolean local, int outstanding, int sentSinceReport, TargetLoad load) {

	/** Load assumed per request sent since the last load report, in percent. */
	private static final int PERCENT_PER_SENT_REQUEST = 2;

	/** Load of a target that admits nothing more, in percent. */
	private static final int FULL_PERCENT = 100;

	/**
	 * Estimates the current load: the last report plus the requests sent since. A warming
	 * target counts as full once as many were sent as it reported admissible.
	 * @return load in percent; may exceed 100
	 */
	public int estimatedPercent() {
		boolean admissibleRequestsUsedUp = this.load.state() == TargetLoad.State.WARMING
				&& this.sentSinceReport >= this.load.roomRequests();
		int sentPercent = PERCENT_PER_SENT_REQUEST * this.sentSinceReport;
		return (admissibleRequestsUsedUp ? Math.max(FULL_PERCENT, this.load.usedPercent()) : this.load.usedPercent())
				+ sentPercent;
	}

}
