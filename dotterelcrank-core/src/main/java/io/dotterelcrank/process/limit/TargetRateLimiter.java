package io.dotterelcrank.process.limit;

import io.dotterelcrank.common.Clock;

/**
 * Token bucket that limits this host's requests to one target to its share of the rate
 * that the target takes from all hosts. Addresses the load pattern of a cold target that
 * fails when its data centre is put back into service and flooded. Invariant: requests
 * that ask for a permit stay within this host's fraction of the rate plus a burst of half
 * a second's requests, at least one; the fractions of all hosts add up to the rate. That
 * holds for all processes of a host together if each but the first one begins without a
 * permit. Not thread-safe.
 */
public final class TargetRateLimiter {

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Clock clock;

	private double availablePermits;

	/** When {@link #availablePermits} was last refilled. */
	private long updatedMillis;

	private TargetRateLimiter(Clock clock, double availablePermits) {
		this.clock = clock;
		this.availablePermits = availablePermits;
		this.updatedMillis = clock.millis();
	}

	/**
	 * Creates a limiter with one permit.
	 * @param clock clock of the process
	 * @return a new limiter
	 */
	public static TargetRateLimiter of(Clock clock) {
		return new TargetRateLimiter(clock, 1);
	}

	/**
	 * Creates a limiter without a permit, for a process that may have taken the place of
	 * one that has just used its permits.
	 * @param clock clock of the process
	 * @return a new limiter
	 */
	public static TargetRateLimiter empty(Clock clock) {
		return new TargetRateLimiter(clock, 0);
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

	/**
	 * Creates the limiters of one process. Not thread-safe.
	 */
	public interface Factory {

		/**
		 * Creates a limiter for a target that the process did not know before.
		 * @return a new limiter
		 */
		TargetRateLimiter create();

		/**
		 * For a process before which none has sent anything.
		 *
		 * @param clock clock of the process
		 */
		record ForFirstProcess(Clock clock) implements Factory {

			@Override
			public TargetRateLimiter create() {
				return TargetRateLimiter.of(this.clock);
			}

		}

		/**
		 * For a process that may have taken the place of another one, which used its
		 * permits right before: what it learns of in its first second has no permit yet.
		 *
		 * @param clock clock of the process
		 * @param startedMillis when the process started, by its clock, in milliseconds
		 */
		record ForSuccessor(Clock clock, long startedMillis) implements Factory {

			@Override
			public TargetRateLimiter create() {
				boolean young = this.clock.millis() - this.startedMillis < MILLIS_PER_SECOND;
				return young ? TargetRateLimiter.empty(this.clock) : TargetRateLimiter.of(this.clock);
			}

		}

	}

}
