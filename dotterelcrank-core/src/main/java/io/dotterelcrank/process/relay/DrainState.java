package io.dotterelcrank.process.relay;

import io.dotterelcrank.common.Clock;

/**
 * Which new requests are refused during a graceful shutdown: streams after a while, and
 * later all, so that none is active when the process ends. Addresses the load pattern of
 * a balancer that still sends requests for seconds. Confined to the traffic thread.
 */
final class DrainState {

	/**
	 * Fraction of the grace period after which new streams are refused; the rest lets
	 * streams end that a balancer still sends meanwhile.
	 */
	static final double STREAM_ACCEPT_FRACTION = 0.3;

	private final Clock clock;

	/** Time that the platform grants the process to end, in milliseconds. */
	private final long graceMillis;

	/** When draining started; 0 if it has not. */
	private long startedMillis;

	/** When new requests start to be refused; 0 if not draining. */
	private long acceptsUntilMillis;

	DrainState(Clock clock, long graceMillis) {
		this.clock = clock;
		this.graceMillis = graceMillis;
	}

	/**
	 * Starts draining.
	 * @param acceptMillis how long new requests are still accepted, in milliseconds
	 */
	void start(long acceptMillis) {
		this.startedMillis = this.clock.millis();
		this.acceptsUntilMillis = this.startedMillis + acceptMillis;
	}

	boolean started() {
		return this.startedMillis > 0;
	}

	/**
	 * Returns whether all new requests are refused.
	 * @return {@code true} late in a graceful shutdown
	 */
	boolean refusesRequests() {
		return started() && this.clock.millis() >= this.acceptsUntilMillis;
	}

	/**
	 * Returns whether new streams are refused.
	 * @return {@code true} in a graceful shutdown, except at its beginning
	 */
	boolean refusesStreams() {
		return millis() > this.graceMillis * STREAM_ACCEPT_FRACTION;
	}

	/**
	 * Returns the time since draining started.
	 * @return time in milliseconds, at least 1; 0 if not draining
	 */
	long millis() {
		return started() ? this.clock.millis() - this.startedMillis + 1 : 0;
	}

}
