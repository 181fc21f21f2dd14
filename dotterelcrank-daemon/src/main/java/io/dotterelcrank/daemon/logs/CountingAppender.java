package io.dotterelcrank.daemon.logs;

import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;

/**
 * Hands events to a thread of its own, and counts those that find the queue full. Never
 * blocks the thread that logs. Thread-safe.
 */
public final class CountingAppender extends AsyncAppender {

	/** Events dropped by all appenders of the process. */
	private static final AtomicLong dropped = new AtomicLong();

	/**
	 * Returns the number of dropped events.
	 * @return events that were dropped since the process started
	 */
	public static long dropped() {
		return dropped.get();
	}

	@Override
	protected void append(ILoggingEvent event) {
		if (getRemainingCapacity() == 0) {
			dropped.incrementAndGet();
			return;
		}
		super.append(event);
	}

}
