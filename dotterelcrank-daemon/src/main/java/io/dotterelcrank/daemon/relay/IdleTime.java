package io.dotterelcrank.daemon.relay;

import java.util.function.LongSupplier;

import io.dotterelcrank.common.Clock;

/**
 * For how long a caller's connection has been idle. Invariant: a timeout that is lowered
 * counts from the next start on, as the caller may go by the former one until then; one
 * that is raised counts at once. Confined to the traffic thread.
 */
final class IdleTime {

	private final Clock clock;

	private final LongSupplier timeoutMillis;

	/** When the connection was opened or the last response ended, in milliseconds. */
	private long sinceMillis;

	/** Timeout in force at that time, in milliseconds. */
	private long timeoutAtStartMillis;

	/** Bytes of responses that were not yet sent at the last check. */
	private long lastUnsentBytes;

	private IdleTime(Clock clock, LongSupplier timeoutMillis) {
		this.clock = clock;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Creates the idle time of a connection that is opened now.
	 * @param clock clock of the process
	 * @param timeoutMillis supplies the timeout in force, in milliseconds
	 * @return the idle time
	 */
	static IdleTime startingNow(Clock clock, LongSupplier timeoutMillis) {
		IdleTime idleTime = new IdleTime(clock, timeoutMillis);
		idleTime.restart();
		return idleTime;
	}

	void restart() {
		this.sinceMillis = this.clock.millis();
		this.timeoutAtStartMillis = this.timeoutMillis.getAsLong();
	}

	/**
	 * Records how much of the responses is not yet sent. While that changes, the
	 * connection is not idle.
	 * @param bytes number of bytes
	 */
	void recordUnsent(long bytes) {
		if (bytes != this.lastUnsentBytes) {
			this.lastUnsentBytes = bytes;
			this.sinceMillis = this.clock.millis();
		}
	}

	boolean exceeded() {
		return this.clock.millis() - this.sinceMillis > Math.max(this.timeoutAtStartMillis,
				this.timeoutMillis.getAsLong());
	}

}
