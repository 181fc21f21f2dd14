package io.dotterelcrank.daemon.logs;

import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;

/**
 * Writes events asynchronously; drops and counts events while the queue is full, so that
 * logging never blocks. Thread-safe.
 */
public final class CountingAppender extends AsyncAppender {

	/** Number of events dropped by all appenders of the process. */
	private static final AtomicLong dropped = new AtomicLong();

	/**
	 * Returns the number of dropped events.
	 * @return number since the process started, over all appenders
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
