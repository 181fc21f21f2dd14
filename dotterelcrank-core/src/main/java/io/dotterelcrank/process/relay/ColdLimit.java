package io.dotterelcrank.process.relay;

import io.dotterelcrank.common.Clock;

/**
 * Bounds the requests of this host to one cold target. Answers the load pattern of a
 * target that falls over when a returned data centre is flooded. Invariant: over any
 * second, at most the rate's part and one request; the hosts' parts add up to the rate.
 * Not thread-safe.
 */
final class ColdLimit {

	/** Milliseconds in a second. */
	private static final double MILLIS_PER_SECOND = 1_000;

	/** Clock of the process. */
	private final Clock clock;

	/** Requests that may be sent now. */
	private double saved = 1;

	/** When {@link #saved} was last brought up to date, in milliseconds. */
	private long updatedMillis;

	ColdLimit(Clock clock) {
		this.clock = clock;
		this.updatedMillis = clock.millis();
	}

	/**
	 * Tells whether a request may be sent.
	 * @param perSecond requests a second that the target bears from all hosts
	 * @param hosts number of hosts that share the rate
	 * @return {@code true} if it may
	 */
	boolean allows(double perSecond, int hosts) {
		long nowMillis = this.clock.millis();
		double part = perSecond / Math.max(1, hosts);
		this.saved = Math.min(Math.max(1, part / 2),
				this.saved + part * (nowMillis - this.updatedMillis) / MILLIS_PER_SECOND);
		this.updatedMillis = nowMillis;
		return this.saved >= 1;
	}

	/**
	 * Takes in a request that is sent.
	 */
	void sent() {
		this.saved--;
	}

}
