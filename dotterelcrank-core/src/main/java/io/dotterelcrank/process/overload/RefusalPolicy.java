package io.dotterelcrank.process.overload;

/**
 * Decides whether a generation that cannot start at once waits or is refused.
 * Implementations are immutable.
 */
public interface RefusalPolicy {

	/**
	 * Decides on a generation that no engine has memory for now.
	 * @param wait expected wait of the generation
	 * @return {@code true} if it is to be refused now
	 */
	boolean refuses(WaitEstimate wait);

	/**
	 * Past and expected wait of a generation, in milliseconds. Immutable.
	 *
	 * @param waitedMillis time since its arrival
	 * @param startMillis expected time until its start among those that can be on time;
	 * {@link Backlog#NEVER} if it is late already
	 * @param lateStartMillis expected time until its start once it is late
	 * @param onTimeMillis time since its arrival up to which a start is on time
	 * @param usefulMillis time since its arrival up to which a start is of use to the
	 * caller
	 * @param capacityKnown whether the expected times rest on load reports
	 */
	record WaitEstimate(long waitedMillis, long startMillis, long lateStartMillis, long onTimeMillis, long usefulMillis,
			boolean capacityKnown) {

		/**
		 * Returns the expected time until the start.
		 * @return time in milliseconds, from now
		 */
		public long expectedMillis() {
			boolean onTime = this.startMillis <= this.onTimeMillis - this.waitedMillis;
			return onTime ? this.startMillis : this.lateStartMillis;
		}

	}

	/**
	 * Refuses a generation as soon as it is expected to start too late to be of use.
	 * Addresses the load pattern of demand above capacity for seconds: callers that
	 * cannot be served are told so at once, and the others do not wait behind them. Each
	 * one is refused at a longer expected wait than it was accepted with, so that small
	 * changes of the estimate do not refuse it.
	 */
	final class ForExpectedStart implements RefusalPolicy {

		/** Factor of the expected wait that is tolerated while waiting. */
		static final double HYSTERESIS = 1.5;

		@Override
		public boolean refuses(WaitEstimate wait) {
			if (wait.waitedMillis() >= wait.usefulMillis()) {
				return true;
			}
			if (!wait.capacityKnown()) {
				return false;
			}
			double tolerance = (wait.waitedMillis() > 0) ? HYSTERESIS : 1;
			return wait.expectedMillis() > tolerance * (wait.usefulMillis() - wait.waitedMillis());
		}

	}

}
