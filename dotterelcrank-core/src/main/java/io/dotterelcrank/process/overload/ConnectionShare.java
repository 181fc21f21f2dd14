package io.dotterelcrank.process.overload;

/**
 * This host's share of the connections that a target accepts from all hosts together.
 * Addresses the load pattern of a burst in which each host opens connections by its own
 * count only, and the target resets those beyond its limit, so that calls which may not
 * be repeated end with an unknown result. Invariant: as long as there are no more hosts
 * than connections, the busy and closing connections of all hosts add up to at most the
 * target's limit. Immutable.
 *
 * @param busy max number of connections, each with one request; at least one
 * @param closing number of connections that were closed and that the target may still
 * count
 */
public record ConnectionShare(int busy, int closing) {

	/** Share of a target without a limit. */
	public static final ConnectionShare UNLIMITED = new ConnectionShare(Integer.MAX_VALUE, Integer.MAX_VALUE);

	/**
	 * Fraction of the limit that is used; the rest covers health checks, connections that
	 * are being closed, and a target that accepts fewer while its queue is long.
	 */
	static final double USABLE_FRACTION = 0.8;

	/** Fraction of the usable connections that the target may count after their end. */
	static final double CLOSING_FRACTION = 0.25;

	/**
	 * Returns the share of one of several hosts.
	 * @param maxConnections number of connections that the target accepts from all hosts
	 * @param entryHosts number of hosts
	 * @return the share of each of them
	 */
	public static ConnectionShare of(int maxConnections, int entryHosts) {
		if (maxConnections == Integer.MAX_VALUE) {
			return UNLIMITED;
		}
		int usable = (int) (USABLE_FRACTION * maxConnections / Math.max(1, entryHosts));
		int closing = (int) (CLOSING_FRACTION * usable);
		return new ConnectionShare(Math.max(1, usable - closing), closing);
	}

}
