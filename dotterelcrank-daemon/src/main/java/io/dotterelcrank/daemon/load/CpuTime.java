package io.dotterelcrank.daemon.load;

import java.lang.management.ManagementFactory;

/**
 * Measures the CPU time of the current thread. Immutable.
 */
final class CpuTime {

	private static final double NANOS_PER_MICRO = 1_000;

	private final long startNanos;

	private CpuTime(long startNanos) {
		this.startNanos = startNanos;
	}

	/**
	 * Starts a measurement.
	 * @return the running measurement
	 */
	static CpuTime start() {
		return new CpuTime(currentNanos());
	}

	private static long currentNanos() {
		return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
	}

	/**
	 * Returns the CPU time since the start.
	 * @return time in microseconds
	 */
	double micros() {
		return (currentNanos() - this.startNanos) / NANOS_PER_MICRO;
	}

}
