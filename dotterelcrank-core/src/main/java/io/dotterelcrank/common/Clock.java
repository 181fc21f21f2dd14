package io.dotterelcrank.common;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Source of time in milliseconds. Implementations never go backwards and are safe for use
 * by several threads.
 */
public interface Clock {

	/**
	 * Returns the current time.
	 * @return milliseconds since an origin fixed for the life of the process
	 */
	long millis();

	/**
	 * Returns the clock of the machine.
	 * @return a monotonic clock whose origin is the Unix epoch at process start
	 */
	static Clock system() {
		return ForSystem.INSTANCE;
	}

	/**
	 * Returns a clock that moves only when told to.
	 * @param startMillis the first time it shows, in milliseconds
	 * @return a new manual clock
	 */
	static Manual manual(long startMillis) {
		return new Manual(startMillis);
	}

	/**
	 * The machine's monotonic clock. Thread-safe.
	 */
	enum ForSystem implements Clock {

		/**
		 * The only instance.
		 */
		INSTANCE;

		/**
		 * Nanoseconds in a millisecond.
		 */
		private static final long NANOS_PER_MILLI = 1_000_000;

		/**
		 * Difference between epoch and monotonic time, in milliseconds.
		 */
		private final long offsetMillis = System.currentTimeMillis() - System.nanoTime() / NANOS_PER_MILLI;

		@Override
		public long millis() {
			return this.offsetMillis + System.nanoTime() / NANOS_PER_MILLI;
		}

	}

	/**
	 * A clock for tests and virtual-time measurements. Thread-safe.
	 */
	final class Manual implements Clock {

		/**
		 * Time shown, in milliseconds.
		 */
		private final AtomicLong now;

		private Manual(long startMillis) {
			this.now = new AtomicLong(startMillis);
		}

		@Override
		public long millis() {
			return this.now.get();
		}

		/**
		 * Moves the clock forward.
		 * @param millis how far, in milliseconds, not negative
		 */
		public void advance(long millis) {
			if (millis < 0) {
				throw new IllegalArgumentException("a clock does not go back");
			}
			this.now.addAndGet(millis);
		}

	}

}
