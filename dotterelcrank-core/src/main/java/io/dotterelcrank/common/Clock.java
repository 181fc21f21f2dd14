package io.dotterelcrank.common;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Monotonic clock in milliseconds. Implementations are thread-safe.
 */
public interface Clock {

	/**
	 * Returns the current time.
	 * @return milliseconds since an origin that is fixed for the lifetime of the process
	 */
	long millis();

	/**
	 * Returns the system clock.
	 * @return a monotonic clock whose origin is the Unix epoch at process start
	 */
	static Clock system() {
		return SystemClock.INSTANCE;
	}

	/**
	 * Creates a clock that advances only by {@link Manual#advance}.
	 * @param startMillis initial time, in milliseconds
	 * @return a new manual clock
	 */
	static Manual manual(long startMillis) {
		return new Manual(startMillis);
	}

	/**
	 * Monotonic system clock that starts from the wall-clock time. Thread-safe.
	 */
	enum SystemClock implements Clock {

		/**
		 * The shared clock of the process.
		 */
		INSTANCE;

		private static final long NANOS_PER_MILLI = 1_000_000;

		/**
		 * Wall-clock time minus monotonic time at process start.
		 */
		private final long epochOffsetMillis = System.currentTimeMillis() - System.nanoTime() / NANOS_PER_MILLI;

		@Override
		public long millis() {
			return this.epochOffsetMillis + System.nanoTime() / NANOS_PER_MILLI;
		}

	}

	/**
	 * Clock for tests and measurements in virtual time. Thread-safe.
	 */
	final class Manual implements Clock {

		private final AtomicLong nowMillis;

		private Manual(long startMillis) {
			this.nowMillis = new AtomicLong(startMillis);
		}

		@Override
		public long millis() {
			return this.nowMillis.get();
		}

		/**
		 * Moves the clock forward.
		 * @param millis milliseconds to advance by, not negative
		 */
		public void advance(long millis) {
			if (millis < 0) {
				throw new IllegalArgumentException("a clock cannot go backwards");
			}
			this.nowMillis.addAndGet(millis);
		}

	}

}
