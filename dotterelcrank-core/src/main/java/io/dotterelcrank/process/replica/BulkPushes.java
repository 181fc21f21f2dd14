package io.dotterelcrank.process.replica;

import java.util.LinkedHashMap;
import java.util.Map;

import io.dotterelcrank.common.Clock;

/**
 * Limits the large pushes that a host has under way. Addresses the load pattern of one
 * host that sends large records to all others over a link that also carries callers'
 * responses. Invariants: those under way hold {@link #MAX_BYTES} together at most, unless
 * there is only one; those that wait are admitted in the order in which they came; a push
 * counts until it is acknowledged, but no longer than {@link #SILENT_MILLIS} and the time
 * until the next {@link #releaseSilent}. Confined to the control thread.
 */
final class BulkPushes {

	/** Max number of pushes under way. */
	static final int MAX_PUSHES = 2;

	/** Max size of all pushes under way, in bytes. */
	static final long MAX_BYTES = 128 * 1024;

	/**
	 * Time after which a push without an acknowledgement no longer counts, in
	 * milliseconds; a link of a few Mbit/s carries the largest record in less.
	 */
	static final long SILENT_MILLIS = 500;

	private final Clock clock;

	private final Map<Object, Push> underWay = new LinkedHashMap<>();

	/** Next attempts of those that wait. */
	private final Map<Object, Runnable> waiting = new LinkedHashMap<>();

	/** Whether the last attempt has to wait. */
	private boolean refused;

	BulkPushes(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Admits a push, or lets it wait.
	 * @param owner what the push belongs to; has one push under way at a time
	 * @param bytes size of the push, in bytes
	 * @param retry runs once the owner may try again
	 * @return {@code false} if it waits
	 */
	boolean tryEnter(Object owner, long bytes, Runnable retry) {
		long bytesUnderWay = this.underWay.values().stream().mapToLong(Push::bytes).sum();
		boolean full = this.underWay.size() >= MAX_PUSHES || bytesUnderWay + bytes > MAX_BYTES;
		if (full && !this.underWay.isEmpty()) {
			this.refused = true;
			this.waiting.putIfAbsent(owner, retry);
			return false;
		}
		this.waiting.remove(owner);
		this.underWay.put(owner, new Push(bytes, this.clock.millis()));
		return true;
	}

	/**
	 * Ends the push of an owner, under way or waiting, if there is one.
	 * @param owner what the push belongs to
	 */
	void leave(Object owner) {
		this.waiting.remove(owner);
		if (this.underWay.remove(owner) != null) {
			admitWaiting();
		}
	}

	/**
	 * Ends the pushes whose receivers have been silent for too long.
	 */
	void releaseSilent() {
		long nowMillis = this.clock.millis();
		if (this.underWay.values().removeIf((push) -> nowMillis - push.sentMillis() >= SILENT_MILLIS)) {
			admitWaiting();
		}
	}

	/**
	 * Lets those that wait try again, up to the first that has to wait longer.
	 */
	private void admitWaiting() {
		this.refused = false;
		while (!this.refused && !this.waiting.isEmpty()) {
			Map.Entry<Object, Runnable> first = this.waiting.entrySet().iterator().next();
			first.getValue().run();
			if (!this.refused) {
				this.waiting.remove(first.getKey());
			}
		}
	}

	/**
	 * A push under way. Immutable.
	 *
	 * @param bytes its size in bytes
	 * @param sentMillis when it was sent, in milliseconds
	 */
	private record Push(long bytes, long sentMillis) {
	}

}
