package io.dotterelcrank.process.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.stream.Stream;

import io.dotterelcrank.version.plan.Route;

/**
 * Copies of one stopped generation whose holders have refused to go on with it, until
 * they are tried again. Addresses engines that are full for a moment. Invariants: the
 * pause before the next try doubles with each refusal, as each takes a retry permit;
 * nothing is tried any more once the caller has been silent for as long as callers wait.
 * Confined to the traffic thread.
 */
final class RefusedCopies {

	/** Pause after the first refusal, in milliseconds. */
	static final long INITIAL_PAUSE_MILLIS = 200;

	/** Min time without an event after which callers give up, in milliseconds. */
	private static final long MIN_PATIENCE_MILLIS = 2_000;

	/** Number of latency goals without an event after which callers give up. */
	private static final long PATIENCE_LATENCY_GOALS = 4;

	/** Number of gap goals without an event after which callers give up. */
	private static final long PATIENCE_GAP_GOALS = 8;

	private final RelayedRequest request;

	/** The one that was refused first is tried first. */
	private final Deque<TargetRequest.KvCopy> copies = new ArrayDeque<>();

	private long pauseMillis = INITIAL_PAUSE_MILLIS;

	private long nextTryMillis;

	/** When the caller gives up; 0 before its wait is counted. */
	private long endMillis;

	RefusedCopies(RelayedRequest request) {
		this.request = request;
	}

	/**
	 * Adds a copy that is to be tried again.
	 * @param copy the copy
	 * @param holderPauseMillis time for which its holder wants no requests, in
	 * milliseconds; 0 if it names none
	 */
	void add(TargetRequest.KvCopy copy, long holderPauseMillis) {
		long nowMillis = this.request.now();
		startWaiting();
		this.nextTryMillis = nowMillis + Math.max(this.pauseMillis, holderPauseMillis);
		this.pauseMillis = 2 * this.pauseMillis;
		this.copies.add(copy);
	}

	/**
	 * Begins to count how long the caller waits, unless it was begun before.
	 */
	void startWaiting() {
		if (this.endMillis == 0) {
			this.endMillis = this.request.now() + patienceMillis(this.request.route()) - this.request.silentMillis();
		}
	}

	/**
	 * Returns whether the caller waits for the stream to go on.
	 * @return {@code false} once it gives up
	 */
	boolean callerWaits() {
		return this.request.now() < this.endMillis;
	}

	private static long patienceMillis(Route route) {
		return Math.max(MIN_PATIENCE_MILLIS, Math.max(PATIENCE_LATENCY_GOALS * route.latencyGoalMillis(),
				PATIENCE_GAP_GOALS * route.gapGoalMillis()));
	}

	/**
	 * Returns whether a copy is to be tried, now or later.
	 * @return {@code false} if there is none or the caller gives up before
	 */
	boolean pending() {
		return !this.copies.isEmpty() && callerWaits() && this.nextTryMillis < this.endMillis;
	}

	/**
	 * Returns whether a copy is to be tried now.
	 * @return {@code false} during the pause
	 */
	boolean due() {
		return pending() && this.request.now() >= this.nextTryMillis;
	}

	/**
	 * Takes the copy that is to be tried now.
	 * @return the copy, or empty if none is due
	 */
	Optional<TargetRequest.KvCopy> take() {
		return due() ? Optional.of(this.copies.remove()) : Optional.empty();
	}

	/**
	 * Returns all copies.
	 * @return the copies that were not taken
	 */
	Stream<TargetRequest.KvCopy> stream() {
		return this.copies.stream();
	}

	void clear() {
		this.copies.clear();
	}

}
