package io.dotterelcrank.process.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

import io.dotterelcrank.common.Clock;

/**
 * Limits retries and hedged requests in a sliding window to this host's fraction of a
 * budget that all hosts share. Addresses two load patterns: targets that fail under load
 * and would then get every request twice; and several engines that leave at once, so that
 * the hosts with most of their generations need more than their fraction, which other
 * hosts lend them. A process that starts again does not know what the one before it has
 * used of the same budget, and a host that comes under a new name may replace another.
 * Invariants: over any window, retries and permits lent are at most the ratio of this
 * host's requests plus its fraction of the slack plus the permits borrowed; the sum over
 * all hosts stays within the budget however often their processes start again. Not
 * thread-safe.
 */
public final class WindowedRetryBudget {

	/** Number of buckets per window. */
	private static final int WINDOW_BUCKETS = 10;

	/** Buckets kept: one more than a window has, since the newest is incomplete. */
	private static final int BUCKETS = WINDOW_BUCKETS + 1;

	/**
	 * Fraction of the budget that is used; the rest covers windows that do not start at a
	 * bucket.
	 */
	private static final double USABLE_FRACTION = 0.8;

	/**
	 * Fraction of the ratio that a process may use while the use of the one before it
	 * counts. The fraction that is kept back covers it.
	 */
	private static final double SUCCESSOR_FRACTION = 0.1;

	/**
	 * Fraction of the slack that a process earns in a window while the use of the one
	 * before it counts. It grows with the age of the process, so that all processes of a
	 * host in a window earn no more than what is kept back.
	 */
	private static final double SUCCESSOR_SLACK_FRACTION = 1 - USABLE_FRACTION;

	/** Max used fraction of this host's budget at which it lends; the rest is its own. */
	private static final double MAX_LENT_FRACTION = 0.5;

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

	private final long windowMillis;

	/**
	 * When the process started; for a window from then on, retries of another process may
	 * count against the part of this host.
	 */
	private final long startedMillis;

	/** Expiry times of the permits borrowed from other hosts, oldest first. */
	private final Deque<Long> borrowedUntilMillis = new ArrayDeque<>();

	/** Number of the newest bucket, counted from time 0. */
	private long newestBucket;

	private WindowedRetryBudget(Clock clock, double ratio, double slack, long windowMillis, long startedMillis) {
		this.clock = clock;
		this.ratio = ratio;
		this.slack = slack;
		this.bucketMillis = Math.max(1, windowMillis / WINDOW_BUCKETS);
		this.windowMillis = windowMillis;
		this.startedMillis = startedMillis;
	}

	/**
	 * Creates the budget of a process before which none has used it, as in a system that
	 * starts for the first time.
	 * @param clock clock of the process
	 * @param ratio retries allowed per request
	 * @param slack additional retries allowed per window; shared by all hosts
	 * @param windowMillis length of the window, in milliseconds
	 * @return a budget without recorded requests, so that only the slack is available
	 */
	public static WindowedRetryBudget of(Clock clock, double ratio, double slack, long windowMillis) {
		return new WindowedRetryBudget(clock, ratio, slack, windowMillis, clock.millis() - 2 * windowMillis);
	}

	/**
	 * Creates the budget of a process that may have taken the place of another one.
	 * @param clock clock of the process
	 * @param ratio retries allowed per request
	 * @param slack additional retries allowed per window; shared by all hosts
	 * @param windowMillis length of the window, in milliseconds
	 * @param startedMillis when the process started, by its clock, in milliseconds
	 * @return a budget that has its whole part of the slack once a window has passed
	 * since
	 */
	public static WindowedRetryBudget ofSuccessor(Clock clock, double ratio, double slack, long windowMillis,
			long startedMillis) {
		return new WindowedRetryBudget(clock, ratio, slack, windowMillis, startedMillis);
	}

	/**
	 * Records a new request, whether or not it is sent.
	 */
	public void recordRequest() {
		this.requests[advanceToCurrentBucket()]++;
	}

	/**
	 * Records a retry or hedged request, whether within the budget or not. Uses a
	 * borrowed permit if there is one.
	 */
	public void recordRetry() {
		int bucket = advanceToCurrentBucket();
		if (this.borrowedUntilMillis.poll() == null) {
			this.retries[bucket]++;
		}
	}

	/**
	 * Lends a permit to another host. It counts as used here, so that the sum over all
	 * hosts stays the same.
	 * @param entryHosts number of hosts that share the budget
	 * @return {@code false} if this host has used half of its fraction
	 */
	public boolean tryLend(int entryHosts) {
		int bucket = advanceToCurrentBucket();
		boolean spare = sum(this.retries) + 1 <= MAX_LENT_FRACTION * allowedRetries(entryHosts);
		if (spare) {
			this.retries[bucket]++;
		}
		return spare;
	}

	/**
	 * Adds a permit that another host has lent. It expires with the lender's bucket, as
	 * it is counted there for one window only.
	 */
	public void addBorrowed() {
		advanceToCurrentBucket();
		this.borrowedUntilMillis.add(this.clock.millis() + this.bucketMillis);
	}

	/**
	 * Returns whether one more retry is within the budget.
	 * @param entryHosts number of hosts that share the budget
	 * @return {@code true} if it may be sent
	 */
	public boolean allowsRetry(int entryHosts) {
		advanceToCurrentBucket();
		return !this.borrowedUntilMillis.isEmpty() || sum(this.retries) + 1 <= allowedRetries(entryHosts);
	}

	/**
	 * Returns the state of the budget.
	 * @param entryHosts number of hosts that share the budget
	 * @return values by name, for dumps
	 */
	public Map<String, Object> dump(int entryHosts) {
		advanceToCurrentBucket();
		return Map.of("used", sum(this.retries), "allowed", allowedRetries(entryHosts), "borrowed",
				this.borrowedUntilMillis.size());
	}

	private double allowedRetries(int entryHosts) {
		double earned = this.ratio * sum(this.requests);
		double hostSlack = this.slack / Math.max(1, entryHosts);
		long ageMillis = this.clock.millis() - this.startedMillis;
		if (ageMillis < BUCKETS * this.bucketMillis) {
			double age = Math.min(1, (double) ageMillis / this.windowMillis);
			return SUCCESSOR_FRACTION * earned + SUCCESSOR_SLACK_FRACTION * hostSlack * age;
		}
		return USABLE_FRACTION * (earned + hostSlack);
	}

	/**
	 * Clears the buckets that have left the window, and expired permits.
	 * @return index of the current bucket
	 */
	private int advanceToCurrentBucket() {
		this.borrowedUntilMillis.removeIf((untilMillis) -> untilMillis <= this.clock.millis());
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
