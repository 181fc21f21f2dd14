package io.dotterelcrank.process.admission;

/**
 * Slow start: concurrency limit of a target that is warming up. It starts at the cold
 * limit and rises by one with each unit of completed work, so it does not rise while the
 * target is idle. Invariant: after {@link #restart} the limit is the cold limit. Not
 * thread-safe.
 */
public final class Ramp {

	/** Limit at which the target counts as warm, in requests. */
	static final int WARM_LIMIT = 64;

	/** Output tokens that count as one unit of work. */
	static final int TOKENS_PER_WORK_UNIT = 100;

	/** Concurrency limit of a cold target, in requests. */
	private final int coldLimit;

	/** Work completed since the last restart. */
	private double workUnits;

	private boolean warm;

	private Ramp(int coldLimit) {
		this.coldLimit = coldLimit;
	}

	/**
	 * Creates the ramp of a cold target.
	 * @param coldLimit concurrency limit of a cold target, at least 1
	 * @return a new ramp
	 */
	public static Ramp cold(int coldLimit) {
		return new Ramp(coldLimit);
	}

	/**
	 * Counts output tokens as work.
	 * @param tokens number of new tokens
	 */
	public void recordTokens(int tokens) {
		addWork((double) tokens / TOKENS_PER_WORK_UNIT);
	}

	/**
	 * Counts a completed call of a plain service as one unit of work.
	 */
	public void recordCompletedCall() {
		addWork(1);
	}

	private void addWork(double units) {
		this.workUnits += units;
		this.warm |= this.coldLimit + this.workUnits >= WARM_LIMIT;
	}

	/**
	 * Resets the limit to the cold limit.
	 */
	public void restart() {
		this.workUnits = 0;
		this.warm = false;
	}

	/**
	 * Returns the concurrency limit.
	 * @return maximum number of requests; {@link Integer#MAX_VALUE} once warm
	 */
	public int limit() {
		return this.warm ? Integer.MAX_VALUE : (int) (this.coldLimit + this.workUnits);
	}

	/**
	 * Returns whether the target is warm.
	 * @return {@code true} if there is no ramp limit any more
	 */
	public boolean warm() {
		return this.warm;
	}

}
