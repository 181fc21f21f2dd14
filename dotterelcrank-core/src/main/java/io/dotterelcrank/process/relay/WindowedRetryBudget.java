package io.dotterelcrank.process.relay;

import io.dotterelcrank.common.Clock;

/**
 * Limits retries and hedged requests in a sliding window to this host's fraction of a
 * budget that all hosts share. Addresses the load pattern of targets that fail under load
 * and would then get every request twice. Invariant: over any window, retries are at most
 * the ratio of this host's requests plus its fraction of the slack. Not thread-safe.
 */
final class WindowedRetryBudget {

	/** Number of buckets per window. */
	private static final int WINDOW_BUCKETS = 10;

	/** Buckets kept: one more than a window has, since the newest is incomplete. */
	private static final int BUCKETS = WINDOW_BUCKETS + 1;

	/**
	 * Fraction of the budget that is used; the rest covers windows that do not start at a
	 * bucket.
	 */
	private static final double USABLE_FRACTION = 0.8;

	private final Clock clock;

	/** Retries allowed per request. */
	private final double ratio;

	/** Additional retries per window, shared by all hosts. */
	private final double slack;

	private final long bucketMillis;

	/** New requests by bucket. */
	private final int[] requests = new int[BUCKETS];

	/** Retries by bucket. */
	private final int[] retries = new int[BUCKETS];

	/** Number of the newest bucket, counted from time 0. */
	private long newestBucket;

	private WindowedRetryBudget(Clock clock, double ratio, double slack, long windowMillis) {
		this.clock = clock;
		this.ratio = ratio;
		this.slack = slack;
		this.bucketMillis = Math.max(1, windowMillis / WINDOW_BUCKETS);
	}

	/**
	 * Creates an empty budget.
	 * @param clock clock of the process
	 * @param settings ratio, slack and window
	 * @return a budget without recorded requests, so that only the slack is available
	 */
	static WindowedRetryBudget of(Clock clock, RelaySettings settings) {
		return new WindowedRetryBudget(clock, settings.retryRatio(), settings.retrySlack(),
				settings.retryWindowMillis());
	}

	/**
	 * Records a new request, whether or not it is sent.
	 */
	void recordRequest() {
		this.requests[advanceToCurrentBucket()]++;
	}

	/**
	 * Records a retry or hedged request, whether within the budget or not.
	 */
	void recordRetry() {
		this.retries[advanceToCurrentBucket()]++;
	}

	/**
	 * Returns whether one more retry is within the budget.
	 * @param entryHosts number of hosts that share the budget
	 * @return {@code true} if it may be sent
	 */
	boolean allowsRetry(int entryHosts) {
		advanceToCurrentBucket();
		double allowed = USABLE_FRACTION * (this.ratio * sum(this.requests) + this.slack / Math.max(1, entryHosts));
		return sum(this.retries) + 1 <= allowed;
	}

	/**
	 * Clears the buckets that have left the window.
	 * @return index of the current bucket
	 */
	private int advanceToCurrentBucket() {
		long bucket = this.clock.millis() / this.bucketMillis;
		long firstStale = Math.max(this.newestBucket + 1, bucket - BUCKETS + 1);
		for (long stale = firstStale; stale <= bucket; stale++) {
			this.requests[(int) (stale % BUCKETS)] = 0;
			this.retries[(int) (stale % BUCKETS)] = 0;
		}
		this.newestBucket = Math.max(this.newestBucket, bucket);
		return (int) (this.newestBucket % BUCKETS);
	}

	private static int sum(int[] counts) {
		int sum = 0;
		for (int count : counts) {
			sum += count;
		}
		return sum;
	}

}
