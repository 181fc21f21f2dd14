package io.dotterelcrank.connection;

/**
 * Speed of a model engine, as measured beside it. Immutable.
 *
 * @param prefillTokensPerSecond prompt tokens prefilled per second, as of late; 0 if not
 * known
 * @param stepMillis time per output token of a running request, on average, in
 * milliseconds; 0 if not known
 * @param quietStepMillis the same while no prompt is prefilled beside it
 * @param disturbedStepMillis the same while a prompt is prefilled beside it
 */
public record EngineSpeed(double prefillTokensPerSecond, double stepMillis, double quietStepMillis,
		double disturbedStepMillis) {

	/** Value of a figure that is not known. */
	public static final double UNKNOWN_FIGURE = 0;

	/** Nothing was measured yet. */
	public static final EngineSpeed UNKNOWN = new EngineSpeed(UNKNOWN_FIGURE, UNKNOWN_FIGURE, UNKNOWN_FIGURE,
			UNKNOWN_FIGURE);

	/**
	 * Creates a speed. Figures that are no positive numbers are unknown.
	 */
	public EngineSpeed {
		prefillTokensPerSecond = positiveOrUnknown(prefillTokensPerSecond);
		stepMillis = positiveOrUnknown(stepMillis);
		quietStepMillis = positiveOrUnknown(quietStepMillis);
		disturbedStepMillis = positiveOrUnknown(disturbedStepMillis);
	}

	private static double positiveOrUnknown(double figure) {
		return (figure > 0 && figure < Double.POSITIVE_INFINITY) ? figure : UNKNOWN_FIGURE;
	}

	/**
	 * Returns the text in the log of a request that is sent, in the form of records. It
	 * is concatenated here since the generated method is costly at its first call.
	 */
	@Override
	public String toString() {
		return "EngineSpeed[prefillTokensPerSecond=" + this.prefillTokensPerSecond + ", stepMillis=" + this.stepMillis
				+ ", quietStepMillis=" + this.quietStepMillis + ", disturbedStepMillis=" + this.disturbedStepMillis
				+ ']';
	}

	/**
	 * Returns whether the prefill rate is known.
	 * @return {@code false} if no prompt has been prefilled under observation
	 */
	public boolean prefillKnown() {
		return this.prefillTokensPerSecond > 0;
	}

	/**
	 * Returns whether a figure differs from the same one of another speed by more than a
	 * fraction of it, or is known for only one of them.
	 * @param other other speed
	 * @param fraction fraction of the other figure
	 * @return {@code true} if the prefill rate or the step time has changed
	 */
	public boolean differs(EngineSpeed other, double fraction) {
		return Math.abs(this.prefillTokensPerSecond - other.prefillTokensPerSecond) > fraction
				* other.prefillTokensPerSecond
				|| Math.abs(this.stepMillis - other.stepMillis) > fraction * other.stepMillis;
	}

}
