package io.dotterelcrank.process.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns the distribution of output lengths of one model, for each workspace and for all
 * together. Lengths are counted in buckets that grow geometrically; old counts fade. Not
 * thread-safe.
 */
public final class LengthEstimator {

	/** Buckets for each doubling of the length. */
	private static final int BUCKETS_PER_DOUBLING = 3;

	/** Number of buckets; the last one begins above 100,000 tokens. */
	private static final int BUCKETS = 52;

	/** Factor by which old counts fade with each new length. */
	private static final float FADING = 0.99f;

	/** Weight of the model's distribution, in lengths seen of the workspace. */
	private static final float MODEL_WEIGHT = 4;

	/**
	 * Weight of the distribution assumed before any length is seen, in lengths seen of
	 * the model.
	 */
	private static final float ASSUMED_WEIGHT = 2;

	/** Median of the distribution assumed before any length is seen, in tokens. */
	private static final double ASSUMED_MEDIAN = 200;

	/** Standard deviation of the logarithm of the lengths assumed. */
	private static final double ASSUMED_SPREAD = 1.4;

	/**
	 * Probability of each bucket before any length is seen: a log-normal distribution.
	 */
	private static final double[] ASSUMED = assumed();

	/** Largest number of workspaces remembered. */
	private static final int MOST_WORKSPACES = 4_096;

	/** Counts of all workspaces together. */
	private final float[] model = new float[BUCKETS];

	/** Counts by workspace, least recently used first. */
	private final Map<String, float[]> workspaces = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, float[]> eldest) {
			return size() > MOST_WORKSPACES;
		}

	};

	private LengthEstimator() {
	}

	/**
	 * Creates an estimator that has seen nothing.
	 * @return a new estimator
	 */
	public static LengthEstimator create() {
		return new LengthEstimator();
	}

	/**
	 * Learns from a complete generation.
	 * @param workspace workspace of the caller
	 * @param length number of output tokens
	 */
	public void learn(String workspace, int length) {
		int bucket = bucket(length);
		count(this.model, bucket);
		count(this.workspaces.computeIfAbsent(workspace, (name) -> new float[BUCKETS]), bucket);
	}

	private static void count(float[] counts, int bucket) {
		for (int i = 0; i < BUCKETS; i++) {
			counts[i] *= FADING;
		}
		counts[bucket]++;
	}

	/**
	 * Returns the distribution of output lengths of a workspace.
	 * @param workspace workspace of the caller
	 * @return the distribution as known now
	 */
	public Distribution distribution(String workspace) {
		float[] own = this.workspaces.getOrDefault(workspace, new float[BUCKETS]);
		float modelTotal = total(this.model) + ASSUMED_WEIGHT;
		double[] weights = new double[BUCKETS];
		for (int i = 0; i < BUCKETS; i++) {
			double modelShare = (this.model[i] + ASSUMED_WEIGHT * ASSUMED[i]) / modelTotal;
			weights[i] = own[i] + MODEL_WEIGHT * modelShare;
		}
		return new Distribution(weights);
	}

	private static double[] assumed() {
		double[] shares = new double[BUCKETS];
		double sum = 0;
		for (int i = 0; i < BUCKETS; i++) {
			double deviation = Math.log(lengthOf(i) / ASSUMED_MEDIAN) / ASSUMED_SPREAD;
			shares[i] = Math.exp(-deviation * deviation / 2);
			sum += shares[i];
		}
		for (int i = 0; i < BUCKETS; i++) {
			shares[i] /= sum;
		}
		return shares;
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

	private static double lengthOf(double bucket) {
		return Math.pow(2, bucket / BUCKETS_PER_DOUBLING);
	}

	/**
	 * Returns the number of workspaces remembered.
	 * @return number of workspaces with counts of their own
	 */
	public int workspaceCount() {
		return this.workspaces.size();
	}

	/**
	 * A distribution of output lengths. Immutable.
	 */
	public static final class Distribution {

		/** Probability that a length lies in a bucket above the index, or in it. */
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
		 * @return a probability
		 */
		public double longerThan(double length) {
			double position = Math.log(Math.max(1, length)) / Math.log(2) * BUCKETS_PER_DOUBLING + 0.5;
			int index = (int) Math.min(BUCKETS - 1, position);
			double fraction = Math.min(1, position - index);
			return this.survival[index] + fraction * (this.survival[index + 1] - this.survival[index]);
		}

		/**
		 * Returns the probability that a generation still runs after more tokens.
		 * @param produced tokens produced so far
		 * @param more further tokens
		 * @return probability that it is longer than the sum, given that it is longer
		 * than the tokens produced
		 */
		public double stillRunning(int produced, double more) {
			double now = longerThan(produced);
			return (now > 0) ? longerThan(produced + more) / now : 0;
		}

		/**
		 * Returns the mean of the length.
		 * @return mean number of output tokens
		 */
		public double mean() {
			double sum = 0;
			for (int i = 0; i < BUCKETS; i++) {
				sum += (this.survival[i] - this.survival[i + 1]) * lengthOf(i);
			}
			return sum;
		}

	}

}
