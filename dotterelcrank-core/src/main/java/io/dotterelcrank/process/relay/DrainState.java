package io.dotterelcrank.process.relay;

import io.dotterelcrank.common.Clock;

/**
 * Which new requests are refused during a graceful shutdown, so that none is active when
 * the process ends: streams that are too long at once, all streams after a while, and
 * later all requests. Addresses the load pattern of a balancer that still sends requests
 * for seconds. Confined to the traffic thread.
 */
final class DrainState {

	/**
	 * Fraction of the grace period in which short streams and all other requests are sent
	 * to targets, since a balancer still sends new requests.
	 */
	static final double EARLY_FRACTION = 0.3;

	private final Clock clock;

	/** Time that the platform grants the process to end, in milliseconds. */
	private final long graceMillis;

	/** When draining started; 0 if it has not. */
	private long startedMillis;

	/** When new requests start to be refused; 0 if not draining. */
	private long acceptsUntilMillis;

	/** When the process ends, whatever is active; 0 if not draining. */
	private long endsAtMillis;

	DrainState(Clock clock, long graceMillis) {
		this.clock = clock;
		this.graceMillis = graceMillis;
	}

	/**
	 * Starts draining.
	 * @param acceptMillis how long new requests are still accepted, in milliseconds
	 * @param endMillis time until the process ends at the latest, in milliseconds
	 */
	void start(long acceptMillis, long endMillis) {
		this.startedMillis = this.clock.millis();
		this.acceptsUntilMillis = this.startedMillis + acceptMillis;
		this.endsAtMillis = this.startedMillis + endMillis;
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
	 * Returns whether a request is not to be sent to a target any more, as the process
	 * may end before its response does. Calls take much less than their timeout as a
	 * rule, so that early in a shutdown it does not count.
	 * @param stream whether the response is a stream
	 * @param endsByMillis when the request is expected to end at the latest, by the clock
	 * of the process
	 * @return {@code false} before a graceful shutdown
	 */
	boolean refusesSend(boolean stream, long endsByMillis) {
		boolean early = millis() <= this.graceMillis * EARLY_FRACTION;
		boolean outlasts = endsByMillis > this.endsAtMillis;
		return started() && (stream ? !early || outlasts : !early && outlasts);
	}

	/**
	 * Returns the time since draining started.
	 * @return time in milliseconds, at least 1; 0 if not draining
	 */
	long millis() {
		return started() ? this.clock.millis() - this.startedMillis + 1 : 0;
	}

}
