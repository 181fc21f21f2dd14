package io.dotterelcrank.process.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.dotterelcrank.common.Clock;

/**
 * Estimates the step time of an engine from the arrival times of tokens. Thread-safe.
 */
final class StepSampler {

	/** Max intervals kept between two samples; further ones are ignored. */
	private static final int MAX_INTERVALS = 1_024;

	private final Clock clock;

	/** Arrival time of the last token by generation. */
	private final Map<String, Long> lastTokenMillisById = new HashMap<>();

	/** Arrival time of the last token of any generation. */
	private long lastTokenMillis;

	/** Intervals in milliseconds since the last sample. */
	private final List<Long> intervals = new ArrayList<>();

	StepSampler(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records the arrival of a token.
	 * @param id id of the generation
	 */
	synchronized void recordToken(String id) {
		long nowMillis = this.clock.millis();
		this.lastTokenMillis = nowMillis;
		Long previousMillis = this.lastTokenMillisById.put(id, nowMillis);
		if (previousMillis != null && this.intervals.size() < MAX_INTERVALS) {
			this.intervals.add(nowMillis - previousMillis);
		}
	}

	/**
	 * Removes a generation that has ended.
	 * @param id id of the generation
	 */
	synchronized void remove(String id) {
		this.lastTokenMillisById.remove(id);
	}

	/**
	 * Returns the time since the last token of any generation.
	 * @return time in milliseconds; 0 if no open generation has received a token
	 */
	synchronized long tokenGapMillis() {
		return this.lastTokenMillisById.isEmpty() ? 0 : this.clock.millis() - this.lastTokenMillis;
	}

	/**
	 * Returns the median of the intervals since the last sample, and starts a new sample.
	 * @return step time in milliseconds, or -1 without intervals
	 */
	synchronized double takeMedian() {
		if (this.intervals.isEmpty()) {
			return -1;
		}
		this.intervals.sort(null);
		double median = this.intervals.get(this.intervals.size() / 2);
		this.intervals.clear();
		return median;
	}

}
