package io.dotterelcrank.process.admission;

/**
 * Notices that a warm target has turned cold: its step times exceed the expected ones by
 * a factor, several times in a row. Not thread-safe.
 */
public final class ColdDetector {

	/** Factor above the expected step time that counts as slow. */
	static final double SLOW_FACTOR = 3;

	/** Number of slow steps in a row that show a cold target. */
	static final int SLOW_STEPS = 3;

	/** Slow steps in a row so far. */
	private int slowSteps;

	private ColdDetector() {
	}

	/**
	 * Creates a detector.
	 * @return a new detector
	 */
	public static ColdDetector create() {
		return new ColdDetector();
	}

	/**
	 * Takes in a step time.
	 * @param expectedMillis step time expected of a warm target, or 0 if unknown
	 * @param observedMillis step time observed
	 * @return whether the step was normal, slow, or the one that shows a cold target
	 */
	public Finding observe(double expectedMillis, double observedMillis) {
		boolean slow = expectedMillis > 0 && observedMillis > SLOW_FACTOR * expectedMillis;
		this.slowSteps = slow ? this.slowSteps + 1 : 0;
		if (this.slowSteps >= SLOW_STEPS) {
			this.slowSteps = 0;
			return Finding.TURNED_COLD;
		}
		return slow ? Finding.SLOW : Finding.NORMAL;
	}

	/**
	 * What a step time shows.
	 */
	public enum Finding {

		/** As expected. */
		NORMAL,

		/** Slow, which may have many reasons. */
		SLOW,

		/** The target has turned cold. */
		TURNED_COLD

	}

}
