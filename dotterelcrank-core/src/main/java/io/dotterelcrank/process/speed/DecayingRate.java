package io.dotterelcrank.process.speed;

/**
 * Rate of a kind of work over the recent past: work done divided by the time that it
 * took, both with weights that decay exponentially. Long observations count more than
 * short ones, so that jitter of their limits averages out. Not thread-safe.
 */
public final class DecayingRate {

	/** Time after which the weight of an observation has decayed to 1/e. */
	private final double horizonMillis;

	private double work;

	private double workMillis;

	/** When the weights were last updated. */
	private long updatedMillis;

	private DecayingRate(double horizonMillis) {
		this.horizonMillis = horizonMillis;
	}

	/**
	 * Creates a rate without observations.
	 * @param horizonMillis time after which the weight of an observation has decayed to
	 * 1/e, in milliseconds
	 * @return a new rate
	 */
	public static DecayingRate of(double horizonMillis) {
		return new DecayingRate(horizonMillis);
	}

	/**
	 * Records an observation.
	 * @param nowMillis present time, in milliseconds
	 * @param amount work done
	 * @param millis time that it took, in milliseconds
	 */
	public void record(long nowMillis, double amount, double millis) {
		decay(nowMillis);
		this.work += amount;
		this.workMillis += millis;
	}

	private void decay(long nowMillis) {
		double factor = Math.exp((this.updatedMillis - nowMillis) / this.horizonMillis);
		this.work *= factor;
		this.workMillis *= factor;
		this.updatedMillis = nowMillis;
	}

	/**
	 * Returns the rate, which approaches a prior one while nothing is observed.
	 * @param nowMillis present time, in milliseconds
	 * @param priorPerMilli prior rate per millisecond
	 * @param priorMillis time of observation that weighs as much as the prior rate, in
	 * milliseconds
	 * @return work per millisecond
	 */
	public double perMilli(long nowMillis, double priorPerMilli, double priorMillis) {
		decay(nowMillis);
		return (this.work + priorPerMilli * priorMillis) / (this.workMillis + priorMillis);
	}

	/**
	 * Returns the rate without a prior one.
	 * @return work per millisecond; 0 before the first observation
	 */
	double perMilli() {
		return (this.workMillis > 0) ? this.work / this.workMillis : 0;
	}

}
