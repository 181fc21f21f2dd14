package io.dotterelcrank.process.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the distribution of output lengths of one model, per workspace with a prior
 * from all workspaces. Lengths are counted in buckets of geometrically growing width;
 * each observed length reduces the earlier counts by a factor. Not thread-safe.
 */
public final class LengthEstimator {

	/** Number of buckets per doubling of the length. */
	private static final int BUCKETS_PER_DOUBLING = 3;

	/** Number of buckets; the last one begins above 100,000 tokens. */
	private static final int BUCKETS = 52;

	/** Decay factor of the counts per observed length. */
	private static final float DECAY = 0.99f;

	/** Weight of the model's distribution, in observed lengths of the workspace. */
	private static final float MODEL_WEIGHT = 4;

	/**
	 * Weight of the initial prior, in observed lengths of the model.
	 */
	private static final float PRIOR_WEIGHT = 2;

	/** Median of the initial prior, in tokens. */
	private static final double PRIOR_MEDIAN_TOKENS = 200;

	/** Standard deviation of the natural logarithm of the length in the initial prior. */
	private static final double PRIOR_LOG_DEVIATION = 1.4;

	/**
	 * Initial prior, before any length is observed: log-normal probability per bucket.
	 */
	private static final double[] PRIOR = priorProbabilities();

	private static final int MAX_WORKSPACES = 4_096;

	/** Decayed counts per bucket over all workspaces. */
	private final float[] modelCounts = new float[BUCKETS];

	/** Decayed counts per bucket by workspace, least recently used first. */
	private final Map<String, float[]> countsByWorkspace = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, float[]> eldest) {
			return size() > MAX_WORKSPACES;
		}

	};

	private LengthEstimator() {
	}

	/**
	 * Creates an estimator without observations.
	 * @return an estimator that returns the initial prior
	 */
	public static LengthEstimator create() {
		return new LengthEstimator();
	}

	/**
	 * Records the length of a completed generation.
	 * @param workspace workspace of the caller
	 * @param length number of output tokens
	 */
	public void recordLength(String workspace, int length) {
		int bucket = bucket(length);
		addToBucket(this.modelCounts, bucket);
		addToBucket(this.countsByWorkspace.computeIfAbsent(workspace, (name) -> new float[BUCKETS]), bucket);
	}

	private static void addToBucket(float[] counts, int bucket) {
		for (int i = 0; i < BUCKETS; i++) {
			counts[i] *= DECAY;
		}
		counts[bucket]++;
	}

	/**
	 * Returns the distribution of output lengths of a workspace.
	 * @param workspace workspace of the caller; may be unknown
	 * @return a snapshot of the current estimate
	 */
	public Distribution distribution(String workspace) {
		float[] workspaceCounts = this.countsByWorkspace.getOrDefault(workspace, new float[BUCKETS]);
		float modelTotal = total(this.modelCounts) + PRIOR_WEIGHT;
		double[] weights = new double[BUCKETS];
		for (int i = 0; i < BUCKETS; i++) {
			double modelProbability = (this.modelCounts[i] + PRIOR_WEIGHT * PRIOR[i]) / modelTotal;
			weights[i] = workspaceCounts[i] + MODEL_WEIGHT * modelProbability;
		}
		return new Distribution(weights);
	}

	private static double[] priorProbabilities() {
		double[] probabilities = new double[BUCKETS];
		double sum = 0;
		for (int i = 0; i < BUCKETS; i++) {
			double deviation = Math.log(bucketLength(i) / PRIOR_MEDIAN_TOKENS) / PRIOR_LOG_DEVIATION;
			probabilities[i] = Math.exp(-deviation * deviation / 2);
			sum += probabilities[i];
		}
		for (int i = 0; i < BUCKETS; i++) {
			probabilities[i] /= sum;
		}
		return probabilities;
	}

	private static float total(float[] counts) {
		float sum = 0;
		for (float count : counts) {
			sum += count;
		}
		return sum;
	}

	private static int bucket(int length) {
		double doublings = Math.log(Math.max(1, length)) / Math.log(2);
		return Math.min(BUCKETS - 1, (int) Math.round(doublings * BUCKETS_PER_DOUBLING));
	}

	private static double bucketLength(double bucket) {
		return Math.pow(2, bucket / BUCKETS_PER_DOUBLING);
	}

	/**
	 * Returns the number of workspaces with counts of their own.
	 * @return number of workspaces, which is bounded
	 */
	public int workspaceCount() {
		return this.countsByWorkspace.size();
	}

	/**
	 * A distribution of output lengths. Immutable.
	 */
	public static final class Distribution {

		/**
		 * Probability that the length lies in the bucket of the index or a higher one.
		 */
		private final double[] survival = new double[BUCKETS + 1];

		private Distribution(double[] weights) {
			for (int i = BUCKETS - 1; i >= 0; i--) {
				this.survival[i] = this.survival[i + 1] + weights[i];
			}
			double total = this.survival[0];
			for (int i = 0; i < BUCKETS; i++) {
				this.survival[i] /= total;
			}
		}

		/**
		 * Returns the probability that a generation is longer than a length.
		 * @param length the length in tokens
		 * @return a probability, interpolated within buckets
		 */
		public double probabilityLongerThan(double length) {
			double bucketPosition = Math.log(Math.max(1, length)) / Math.log(2) * BUCKETS_PER_DOUBLING + 0.5;
			int index = (int) Math.min(BUCKETS - 1, bucketPosition);
			double fraction = Math.min(1, bucketPosition - index);
			return this.survival[index] + fraction * (this.survival[index + 1] - this.survival[index]);
		}

		/**
		 * Returns the conditional probability that a generation produces more tokens.
		 * @param produced tokens produced so far
		 * @param moreTokens number of further tokens
		 * @return probability that it is longer than the sum, given that it is longer
		 * than the tokens produced
		 */
		public double probabilityStillRunning(int produced, double moreTokens) {
			double probabilityNow = probabilityLongerThan(produced);
			return (probabilityNow > 0) ? probabilityLongerThan(produced + moreTokens) / probabilityNow : 0;
		}

		/**
		 * Returns the mean number of tokens that a running generation still produces.
		 * @param produced tokens produced so far
		 * @return mean length of the longer generations, less the tokens produced
		 */
		public double meanRemaining(long produced) {
			double weight = 0;
			double sum = 0;
			for (int i = 0; i < BUCKETS; i++) {
				double probability = this.survival[i] - this.survival[i + 1];
				if (bucketLength(i) > produced) {
					weight += probability;
					sum += probability * (bucketLength(i) - produced);
				}
			}
			return (weight > 0) ? sum / weight : 0;
		}

		/**
		 * Returns the mean length.
		 * @return mean number of output tokens
		 */
		public double mean() {
			double sum = 0;
			for (int i = 0; i < BUCKETS; i++) {
				sum += (this.survival[i] - this.survival[i + 1]) * bucketLength(i);
			}
			return sum;
		}

	}

}
