package io.dotterelcrank.daemon.relay;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;

/**
 * Planned stop of an entry host within its grace period, which starts with the signal.
 * Invariant: the host ends when its callers have their responses, or when the end of the
 * grace period forces it. Confined to the traffic thread, except for construction and
 * {@link #awaitEnd()}.
 */
final class PlannedStop {

	/**
	 * Fraction of the grace period during which new requests are accepted; those that
	 * could outlast the process are refused before.
	 */
	static final double ACCEPT_FRACTION = 0.7;

	/**
	 * Fraction of the grace period after which idle connections are closed; without
	 * active requests, the process ends right after.
	 */
	static final double IDLE_CLOSE_FRACTION = 0.4;

	/**
	 * Fraction of the grace period after which the process ends even if requests are
	 * active, which get an error first.
	 */
	static final double FORCED_STOP_FRACTION = 0.96;

	/**
	 * Fraction of the grace period after which the process ends even if responses are not
	 * yet sent to their last byte.
	 */
	static final double UNSENT_EXIT_FRACTION = 0.98;

	/**
	 * Fraction of the grace period after which the process ends whatever the traffic
	 * thread does.
	 */
	static final double LAST_EXIT_FRACTION = 0.99;

	/** Interval between checks whether the process may end, in milliseconds. */
	static final long POLL_MILLIS = 50;

	private final Host host;

	private final Clock clock;

	private final Scheduler trafficThread;

	private final long graceMillis;

	private final long signalledMillis;

	/** Completed with the number of requests that were ended by force. */
	private final CompletableFuture<Integer> ended = new CompletableFuture<>();

	private int aborted;

	private boolean forced;

	private PlannedStop(Host host, Clock clock, Scheduler trafficThread, long graceMillis) {
		this.host = host;
		this.clock = clock;
		this.trafficThread = trafficThread;
		this.graceMillis = graceMillis;
		this.signalledMillis = clock.millis();
	}

	/**
	 * Creates a stop whose grace period starts now.
	 * @param host the host
	 * @param clock clock of the process
	 * @param trafficThread scheduler of the traffic thread
	 * @param graceMillis grace period, in milliseconds
	 * @return a stop, not started
	 */
	static PlannedStop of(Host host, Clock clock, Scheduler trafficThread, long graceMillis) {
		return new PlannedStop(host, clock, trafficThread, graceMillis);
	}

	/**
	 * Starts the stop.
	 */
	void start() {
		this.host.startDraining(remainingMillis(ACCEPT_FRACTION), remainingMillis(FORCED_STOP_FRACTION));
		this.trafficThread.scheduleWithFixedDelay(POLL_MILLIS, this::poll);
	}

	/**
	 * Returns whether the process may end.
	 * @return {@code true} once the host is closed or was forced to end
	 */
	boolean ended() {
		return this.ended.isDone();
	}

	/**
	 * Blocks until the process may end, at the latest shortly before the grace period
	 * does; may be called on any thread but the traffic thread.
	 * @return number of requests that were ended by force; empty if the traffic thread is
	 * too slow
	 */
	Optional<Integer> awaitEnd() {
		try {
			return Optional.of(this.ended.get(remainingMillis(LAST_EXIT_FRACTION), TimeUnit.MILLISECONDS));
		}
		catch (TimeoutException | ExecutionException ex) {
			return Optional.empty();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
	}

	private void poll() {
		if (ended()) {
			return;
		}
		if (!this.forced && elapsedOver(FORCED_STOP_FRACTION)) {
			this.forced = true;
			this.aborted = this.host.activeRequests();
			this.host.endActiveRequests();
		}
		else if ((elapsedOver(IDLE_CLOSE_FRACTION) && this.host.tryClose())
				|| (this.forced && elapsedOver(UNSENT_EXIT_FRACTION))) {
			this.ended.complete(this.aborted);
		}
	}

	/**
	 * Returns the time until a fraction of the grace period has passed since the signal.
	 * @param fraction the fraction
	 * @return time in milliseconds, not negative
	 */
	private long remainingMillis(double fraction) {
		long endMillis = this.signalledMillis + (long) (this.graceMillis * fraction);
		return Math.max(0, endMillis - this.clock.millis());
	}

	private boolean elapsedOver(double fraction) {
		return this.clock.millis() - this.signalledMillis > this.graceMillis * fraction;
	}

	/**
	 * The host that stops. Confined to the traffic thread.
	 */
	interface Host {

		/**
		 * Starts draining.
		 * @param acceptMillis how long new requests are still accepted, in milliseconds
		 * @param endMillis time until active requests are ended, in milliseconds
		 */
		void startDraining(long acceptMillis, long endMillis);

		/**
		 * Closes the host to callers if no request is being read or served and every
		 * response is sent to its last byte.
		 * @return whether it is closed
		 */
		boolean tryClose();

		int activeRequests();

		/**
		 * Ends all active requests with an error.
		 */
		void endActiveRequests();

	}

}
