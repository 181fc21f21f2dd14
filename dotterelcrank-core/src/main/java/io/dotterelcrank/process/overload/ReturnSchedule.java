package io.dotterelcrank.process.overload;

import org.apache.commons.rng.UniformRandomProvider;

import io.dotterelcrank.common.Clock;

/**
 * Assigns refused callers the times at which they may return. Addresses the load pattern
 * of many callers that are refused together and would return together, into the same
 * shortage. Each one gets a turn of its own; turns follow each other at the rate at which
 * this host's share of the memory is freed. Invariant: a delay lies between
 * {@link #MIN_DELAY_MILLIS} and the longest that the caller can wait, if that is longer.
 * Not thread-safe.
 */
public final class ReturnSchedule {

	/** Min delay before a caller returns, in milliseconds. */
	public static final long MIN_DELAY_MILLIS = 200;

	/** Part of the longest delay before which nobody returns while demand is too high. */
	static final double OVERLOAD_FRACTION = 0.5;

	/** Random part of the longest delay, so that callers beyond the last turn spread. */
	static final double SPREAD_FRACTION = 0.3;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Clock clock;

	private final UniformRandomProvider random;

	/** When the turn after the last assigned one begins. */
	private long nextTurnMillis;

	private ReturnSchedule(Clock clock, UniformRandomProvider random) {
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Creates a schedule without turns.
	 * @param clock clock of the process
	 * @param random random source
	 * @return a new schedule
	 */
	public static ReturnSchedule of(Clock clock, UniformRandomProvider random) {
		return new ReturnSchedule(clock, random);
	}

	/**
	 * Assigns the next turn.
	 * @param tokens expected tokens of the generation
	 * @param freedTokensPerSecond memory of this host's share that is freed per second
	 * @param expectedStartMillis expected time until the generation could start, in
	 * milliseconds; {@link Backlog#NEVER} while demand is above capacity
	 * @param longestMillis longest delay after which a return is of use, in milliseconds
	 * @return delay until the caller may return, in milliseconds
	 */
	public long assign(long tokens, double freedTokensPerSecond, long expectedStartMillis, long longestMillis) {
		long nowMillis = this.clock.millis();
		long earliest = (expectedStartMillis == Backlog.NEVER) ? (long) (OVERLOAD_FRACTION * longestMillis)
				: Math.min(expectedStartMillis, longestMillis);
		long turnMillis = Math.max(this.nextTurnMillis, nowMillis + earliest);
		if (freedTokensPerSecond > 0) {
			this.nextTurnMillis = Math.min(turnMillis, nowMillis + longestMillis)
					+ Math.round(MILLIS_PER_SECOND * tokens / freedTokensPerSecond);
		}
		long delayMillis = turnMillis - nowMillis;
		if (delayMillis > longestMillis) {
			delayMillis = Math.round(longestMillis * (1 - SPREAD_FRACTION * this.random.nextDouble()));
		}
		return Math.max(MIN_DELAY_MILLIS, delayMillis);
	}

}
