package io.dotterelcrank.process.admission;

/**
 * Detects that a warm target has turned cold: several consecutive step times exceed the
 * expected ones by a factor. Not thread-safe.
 */
public final class ColdDetector {

	/** Multiple of the expected step time above which a step is slow. */
	static final double SLOW_FACTOR = 3;

	/** Consecutive slow steps after which the target counts as cold. */
	static final int CONSECUTIVE_SLOW_STEPS = 3;

	private int consecutiveSlowSteps;

	private ColdDetector() {
	}

	/**
	 * Creates a detector.
	 * @return a detector without observations
	 */
	public static ColdDetector create() {
		return new ColdDetector();
	}

	/**
	 * Records a step time.
	 * @param expectedMillis expected step time of a warm target in milliseconds, or 0 if
	 * unknown
	 * @param observedMillis observed step time in milliseconds
	 * @return whether the step was slow, and whether it shows that the target turned cold
	 */
	public Finding recordStepTime(double expectedMillis, double observedMillis) {
		boolean slow = expectedMillis > 0 && observedMillis > SLOW_FACTOR * expectedMillis;
		this.consecutiveSlowSteps = slow ? this.consecutiveSlowSteps + 1 : 0;
		if (this.consecutiveSlowSteps >= CONSECUTIVE_SLOW_STEPS) {
			this.consecutiveSlowSteps = 0;
			return Finding.TURNED_COLD;
		}
		return slow ? Finding.SLOW : Finding.NORMAL;
	}

	/**
	 * Classification of a step time.
	 */
	public enum Finding {

		/** Not slow, or no expectation is known. */
		NORMAL,

		/** Slow, but not often enough in a row to count as cold. */
		SLOW,

		/** The last of the consecutive slow steps: the target has turned cold. */
		TURNED_COLD

	}

}
