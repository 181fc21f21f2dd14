package io.dotterelcrank.process.relay;

import io.dotterelcrank.common.Clock;

/**
 * Bounds what is sent beyond the first time, in a sliding window, to this host's part of
 * a budget that all hosts share. Answers the load pattern of targets that fail under load
 * and would be sent everything twice. Invariant: over any window, repeats are at most the
 * ratio of this host's requests plus its part of the slack. Not thread-safe.
 */
final class SendBudget {

	/** Counters that a window is cut into. */
	private static final int PARTS = 10;

	/** Counters kept: one more than a window has, since the newest is not full. */
	private static final int BUCKETS = PARTS + 1;

	/**
	 * Part of the budget that is used; the rest covers windows that are cut otherwise.
	 */
	private static final double USED_PART = 0.8;

	/** Clock of the process. */
	private final Clock clock;

	/** Repeats allowed for each request. */
	private final double ratio;

	/** Repeats allowed besides, by all hosts together. */
	private final double slack;

	/** Length of a counter, in milliseconds. */
	private final long bucketMillis;

	/** Requests by counter. */
	private final int[] requests = new int[BUCKETS];

	/** Repeats by counter. */
	private final int[] repeats = new int[BUCKETS];

	/** Number of the newest counter. */
	private long newest;

	private SendBudget(Clock clock, double ratio, double slack, long windowMillis) {
		this.clock = clock;
		this.ratio = ratio;
		this.slack = slack;
		this.bucketMillis = Math.max(1, windowMillis / PARTS);
	}

	/**
	 * Creates a budget.
	 * @param clock clock of the process
	 * @param settings ratio, slack and window
	 * @return a new budget
	 */
	static SendBudget of(Clock clock, RelaySettings settings) {
		return new SendBudget(clock, settings.retryRatio(), settings.retrySlack(), settings.retryWindowMillis());
	}

	/**
	 * Takes in a request that is sent for the first time.
	 */
	void first() {
		this.requests[position()]++;
	}

	/**
	 * Takes in a repeat, whether allowed or not.
	 */
	void repeated() {
		this.repeats[position()]++;
	}

	/**
	 * Tells whether a repeat is within the budget.
	 * @param hosts number of hosts that share the budget
	 * @return {@code true} if it may be sent
	 */
	boolean allows(int hosts) {
		position();
		double allowed = USED_PART * (this.ratio * sum(this.requests) + this.slack / Math.max(1, hosts));
		return sum(this.repeats) + 1 <= allowed;
	}

	private int position() {
		long number = this.clock.millis() / this.bucketMillis;
		long first = Math.max(this.newest + 1, number - BUCKETS + 1);
		for (long stale = first; stale <= number; stale++) {
			this.requests[(int) (stale % BUCKETS)] = 0;
			this.repeats[(int) (stale % BUCKETS)] = 0;
		}
		this.newest = Math.max(this.newest, number);
		return (int) (this.newest % BUCKETS);
	}

	private static int sum(int[] counts) {
		int sum = 0;
		for (int count : counts) {
			sum += count;
		}
		return sum;
	}

}
