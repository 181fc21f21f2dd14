package io.dotterelcrank.process.relay;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;

/**
 * Measures how late the traffic thread is, by a task that it repeats. While it is late,
 * neither what callers and targets have sent nor their closes are read. Confined to the
 * traffic thread.
 */
final class ThreadLateness {

	/** Lateness that is logged, in milliseconds. */
	static final long LOGGED_MILLIS = 250;

	/** Time for which a lateness is remembered, in milliseconds. */
	static final long RETENTION_MILLIS = 1_000;

	private static final Logger logger = LoggerFactory.getLogger(ThreadLateness.class);

	private final Clock clock;

	private final RelayMetrics metrics;

	private final long intervalMillis;

	private final long startedMillis;

	/** When the task is to run next. */
	private long dueMillis;

	/** Greatest lateness of the runs until {@link #recordedUntilMillis}. */
	private long recordedMillis;

	private long recordedUntilMillis;

	/**
	 * Begins to measure.
	 * @param clock clock of the process
	 * @param metrics metrics of the process
	 * @param intervalMillis time between two runs of the task, in milliseconds
	 */
	ThreadLateness(Clock clock, RelayMetrics metrics, long intervalMillis) {
		this.clock = clock;
		this.metrics = metrics;
		this.intervalMillis = intervalMillis;
		this.startedMillis = clock.millis();
		this.dueMillis = this.startedMillis + intervalMillis;
	}

	/**
	 * Records that the task runs. The time that it takes counts as lateness of the next
	 * run.
	 * @param activeRequests number of requests without a complete response, for the log
	 */
	void recordRun(int activeRequests) {
		long nowMillis = this.clock.millis();
		long lateMillis = Math.max(0, nowMillis - this.dueMillis);
		this.metrics.recordLateness(lateMillis);
		if (lateMillis >= LOGGED_MILLIS) {
			LogEvent.THREAD_LATE.log(logger, lateMillis, nowMillis - this.startedMillis, activeRequests);
		}
		if (nowMillis >= this.recordedUntilMillis || lateMillis >= this.recordedMillis) {
			this.recordedMillis = lateMillis;
			this.recordedUntilMillis = nowMillis + RETENTION_MILLIS;
		}
		this.dueMillis = nowMillis + this.intervalMillis;
	}

	/**
	 * Returns how late the thread is or has been lately.
	 * @return greatest lateness of the last {@link #RETENTION_MILLIS}, in milliseconds
	 */
	long millis() {
		long nowMillis = this.clock.millis();
		long recorded = (nowMillis < this.recordedUntilMillis) ? this.recordedMillis : 0;
		return Math.max(recorded, nowMillis - this.dueMillis);
	}

}
