package io.dotterelcrank.process.admission;

/**
 * Predicts the step time of an engine from its batch size: linear regression with
 * exponentially decaying weights of old observations. Not thread-safe.
 */
public final class StepTimeModel {

	/** Decay factor of old observations per new one. */
	private static final double DECAY = 0.98;

	/** Sum of weights below which the model makes no prediction. */
	private static final double MIN_WEIGHT = 3;

	/** Variance of the batch size below which the slope is not fitted. */
	private static final double MIN_BATCH_VARIANCE = 0.25;

	private double weight;

	private double sumBatch;

	private double sumStep;

	private double sumBatchSquared;

	/** Weighted sum of batch size times step time. */
	private double sumProduct;

	private StepTimeModel() {
	}

	/**
	 * Creates a model without observations.
	 * @return a model that predicts nothing yet
	 */
	public static StepTimeModel create() {
		return new StepTimeModel();
	}

	/**
	 * Records an observation.
	 * @param batchSize number of running generations
	 * @param stepMillis duration of a step in milliseconds
	 */
	public void learn(int batchSize, double stepMillis) {
		this.weight = this.weight * DECAY + 1;
		this.sumBatch = this.sumBatch * DECAY + batchSize;
		this.sumStep = this.sumStep * DECAY + stepMillis;
		this.sumBatchSquared = this.sumBatchSquared * DECAY + (double) batchSize * batchSize;
		this.sumProduct = this.sumProduct * DECAY + batchSize * stepMillis;
	}

	/**
	 * Predicts the step time.
	 * @param batchSize number of running generations
	 * @return duration of a step in milliseconds; 0 while there are too few observations
	 */
	public double predict(int batchSize) {
		if (this.weight < MIN_WEIGHT) {
			return 0;
		}
		double meanBatch = this.sumBatch / this.weight;
		double meanStep = this.sumStep / this.weight;
		return Math.max(0, meanStep + slope(meanBatch, meanStep) * (batchSize - meanBatch));
	}

	private double slope(double meanBatch, double meanStep) {
		double variance = this.sumBatchSquared / this.weight - meanBatch * meanBatch;
		if (variance < MIN_BATCH_VARIANCE) {
			return 0;
		}
		return Math.max(0, (this.sumProduct / this.weight - meanBatch * meanStep) / variance);
	}

}
