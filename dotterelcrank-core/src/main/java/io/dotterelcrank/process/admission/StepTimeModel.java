package io.dotterelcrank.process.admission;

/**
 * Learns how the step time of an engine grows with the number of running generations: a
 * straight line fitted by least squares, in which old observations fade. Not thread-safe.
 */
public final class StepTimeModel {

	/** Factor by which old observations fade with each new one. */
	private static final double FADING = 0.98;

	/** Weight below which the model makes no prediction. */
	private static final double LEAST_WEIGHT = 3;

	/** Variance of the batch size below which the slope is not fitted. */
	private static final double LEAST_VARIANCE = 0.25;

	/** Sum of weights. */
	private double weight;

	/** Weighted sum of batch sizes. */
	private double sumBatch;

	/** Weighted sum of step times. */
	private double sumStep;

	/** Weighted sum of squared batch sizes. */
	private double sumBatchSquared;

	/** Weighted sum of products. */
	private double sumProduct;

	private StepTimeModel() {
	}

	/**
	 * Creates a model that has seen nothing.
	 * @return a new model
	 */
	public static StepTimeModel create() {
		return new StepTimeModel();
	}

	/**
	 * Learns from an observation.
	 * @param batch number of running generations
	 * @param stepMillis duration of a step in milliseconds
	 */
	public void learn(int batch, double stepMillis) {
		this.weight = this.weight * FADING + 1;
		this.sumBatch = this.sumBatch * FADING + batch;
		this.sumStep = this.sumStep * FADING + stepMillis;
		this.sumBatchSquared = this.sumBatchSquared * FADING + (double) batch * batch;
		this.sumProduct = this.sumProduct * FADING + batch * stepMillis;
	}

	/**
	 * Predicts the step time.
	 * @param batch number of running generations
	 * @return duration of a step in milliseconds, or 0 if too little is known
	 */
	public double predict(int batch) {
		if (this.weight < LEAST_WEIGHT) {
			return 0;
		}
		double meanBatch = this.sumBatch / this.weight;
		double meanStep = this.sumStep / this.weight;
		return Math.max(0, meanStep + slope(meanBatch, meanStep) * (batch - meanBatch));
	}

	private double slope(double meanBatch, double meanStep) {
		double variance = this.sumBatchSquared / this.weight - meanBatch * meanBatch;
		if (variance < LEAST_VARIANCE) {
			return 0;
		}
		return Math.max(0, (this.sumProduct / this.weight - meanBatch * meanStep) / variance);
	}

}
