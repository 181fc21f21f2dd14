package io.dotterelcrank.process.limit;

import io.dotterelcrank.common.Clock;

/**
 * Token bucket that limits this host's requests to one target to its share of the rate
 * that the target takes from all hosts. Addresses the load pattern of a cold target that
 * fails when its data centre is put back into service and flooded. Invariant: requests
 * that ask for a permit stay within this host's fraction of the rate plus a burst of half
 * a second's requests, at least one; the fractions of all hosts add up to the rate. Not
 * thread-safe.
 */
public final class TargetRateLimiter {

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Clock clock;

	private double availablePermits = 1;

	/** When {@link #availablePermits} was last refilled. */
	private long updatedMillis;

	private TargetRateLimiter(Clock clock) {
		this.clock = clock;
		this.updatedMillis = clock.millis();
	}

	/**
	 * Creates a limiter with one permit.
	 * @param clock clock of the process
	 * @return a new limiter
	 */
	public static TargetRateLimiter of(Clock clock) {
		return new TargetRateLimiter(clock);
	}

	/**
	 * Returns whether a request may be sent now. Takes no permit.
	 * @param requestsPerSecond max rate that the target sustains, from all hosts
	 * @param entryHosts number of hosts that share the rate
	 * @return {@code true} if a permit is available
	 */
	public boolean allows(double requestsPerSecond, int entryHosts) {
		long nowMillis = this.clock.millis();
		double hostRate = requestsPerSecond / Math.max(1, entryHosts);
		this.availablePermits = Math.min(Math.max(1, hostRate / 2),
				this.availablePermits + hostRate * (nowMillis - this.updatedMillis) / MILLIS_PER_SECOND);
		this.updatedMillis = nowMillis;
		return this.availablePermits >= 1;
	}

	/**
	 * Takes a permit for a request that is sent, even if none is available.
	 */
	public void recordSend() {
		this.availablePermits--;
	}

}
