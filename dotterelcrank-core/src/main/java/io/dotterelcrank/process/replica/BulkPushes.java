package io.dotterelcrank.process.replica;

import java.util.LinkedHashMap;
import java.util.Map;

import io.dotterelcrank.common.Clock;

/**
 * Limits the large pushes that a host has under way at a time. Addresses the load pattern
 * of one host that sends large records to all others over a link that also carries
 * callers' responses. Invariants: those that wait are admitted in the order in which they
 * came, each once; a receiver that stands still keeps others waiting for
 * {@link #SILENT_MILLIS} at most. Confined to the control thread.
 */
final class BulkPushes {

	/**
	 * Time after which a push without an acknowledgement no longer counts, in
	 * milliseconds.
	 */
	static final long SILENT_MILLIS = 500;

	private final Clock clock;

	private final int maxUnderWay;

	/** When each push under way was admitted, in milliseconds. */
	private final Map<Object, Long> underWay = new LinkedHashMap<>();

	/** Next attempts of those that wait. */
	private final Map<Object, Runnable> waiting = new LinkedHashMap<>();

	BulkPushes(Clock clock, int maxUnderWay) {
		this.clock = clock;
		this.maxUnderWay = maxUnderWay;
	}

	/**
	 * Admits a push, or lets it wait.
	 * @param owner what the push belongs to; has one push under way at a time
	 * @param retry runs once the owner may try again
	 * @return {@code false} if it waits
	 */
	boolean tryEnter(Object owner, Runnable retry) {
		if (this.underWay.size() >= this.maxUnderWay) {
			this.waiting.putIfAbsent(owner, retry);
			return false;
		}
		this.waiting.remove(owner);
		this.underWay.put(owner, this.clock.millis());
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
		if (this.underWay.values().removeIf((millis) -> nowMillis - millis >= SILENT_MILLIS)) {
			admitWaiting();
		}
	}

	private void admitWaiting() {
		while (this.underWay.size() < this.maxUnderWay && !this.waiting.isEmpty()) {
			Object owner = this.waiting.keySet().iterator().next();
			this.waiting.remove(owner).run();
		}
	}

}
