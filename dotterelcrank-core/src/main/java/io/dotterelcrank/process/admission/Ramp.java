package io.dotterelcrank.process.admission;

/**
 * Limit of a target that warms up: starts low, and rises by one with each unit of
 * completed work while the limit is in use. Invariant: after {@link #restart} the limit
 * is the cold limit. Not thread-safe.
 */
public final class Ramp {

	/** Limit at which the target counts as warm. */
	static final int WARM_LIMIT = 64;

	/** Tokens that make one unit of work. */
	static final int TOKENS_PER_UNIT = 100;

	/** Limit of a cold target. */
	private final int coldLimit;

	/** Work done since the last restart, in units. */
	private double work;

	/** Whether the target is warm. */
	private boolean warm;

	private Ramp(int coldLimit) {
		this.coldLimit = coldLimit;
	}

	/**
	 * Creates the ramp of a cold target.
	 * @param coldLimit limit of a cold target, at least 1
	 * @return a new ramp
	 */
	public static Ramp cold(int coldLimit) {
		return new Ramp(coldLimit);
	}

	/**
	 * Takes in generated tokens.
	 * @param tokens number of tokens
	 */
	public void produced(int tokens) {
		earn((double) tokens / TOKENS_PER_UNIT);
	}

	/**
	 * Takes in a completed call.
	 */
	public void completed() {
		earn(1);
	}

	private void earn(double units) {
		this.work += units;
		this.warm |= this.coldLimit + this.work >= WARM_LIMIT;
	}

	/**
	 * Starts again, since the target turned cold.
	 */
	public void restart() {
		this.work = 0;
		this.warm = false;
	}

	/**
	 * Returns the limit.
	 * @return number of requests that the target bears now
	 */
	public int limit() {
		return this.warm ? Integer.MAX_VALUE : (int) (this.coldLimit + this.work);
	}

	/**
	 * Tells whether the target is warm.
	 * @return {@code true} if the ramp does not limit it
	 */
	public boolean warm() {
		return this.warm;
	}

}
