package io.dotterelcrank.process.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.dotterelcrank.common.Clock;

/**
 * Measures the step time of an engine from the times at which tokens arrive. Thread-safe.
 */
final class StepSampler {

	/** Most intervals kept until they are taken. */
	private static final int MOST_INTERVALS = 1_024;

	/** Clock of the process. */
	private final Clock clock;

	/** When the last token of each generation arrived, in milliseconds. */
	private final Map<String, Long> lastMillis = new HashMap<>();

	/** When any token last arrived, in milliseconds. */
	private long lastTokenMillis;

	/** Intervals between tokens since the last sample, in milliseconds. */
	private final List<Long> intervals = new ArrayList<>();

	StepSampler(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Takes in the arrival of a token.
	 * @param id id of the generation
	 */
	synchronized void token(String id) {
		long nowMillis = this.clock.millis();
		this.lastTokenMillis = nowMillis;
		Long before = this.lastMillis.put(id, nowMillis);
		if (before != null && this.intervals.size() < MOST_INTERVALS) {
			this.intervals.add(nowMillis - before);
		}
	}

	/**
	 * Forgets a generation.
	 * @param id id of the generation
	 */
	synchronized void ended(String id) {
		this.lastMillis.remove(id);
	}

	/**
	 * Returns how long no token has come, while generations are between tokens.
	 * @return time in milliseconds; 0 if no generation has had a token
	 */
	synchronized long silentMillis() {
		return this.lastMillis.isEmpty() ? 0 : this.clock.millis() - this.lastTokenMillis;
	}

	/**
	 * Takes the median of the intervals since the last sample.
	 * @return duration of a step in milliseconds, or -1 without intervals
	 */
	synchronized double sample() {
		if (this.intervals.isEmpty()) {
			return -1;
		}
		this.intervals.sort(null);
		double median = this.intervals.get(this.intervals.size() / 2);
		this.intervals.clear();
		return median;
	}

}
