package io.dotterelcrank.process.rollout;

import java.util.ArrayList;
import java.util.List;

/**
 * Counts of response times in classes that are a quarter of an octave wide, so that the
 * counts of many hosts can be summed before a bound is derived from them. Addresses
 * services of which each host sees only a few responses. Not thread-safe.
 */
final class LatencyHistogram {

	/** Number of classes; the last one holds everything above. */
	static final int CLASSES = 68;

	private static final int CLASSES_PER_OCTAVE = 4;

	private final double[] counts = new double[CLASSES];

	/**
	 * Returns the class of a response time.
	 * @param millis response time in milliseconds
	 * @return index from 0 to {@link #CLASSES}, exclusive
	 */
	static int classOf(long millis) {
		double octaves = Math.log(Math.max(0, millis) + 1) / Math.log(2);
		return Math.min(CLASSES - 1, (int) (CLASSES_PER_OCTAVE * octaves));
	}

	/**
	 * Counts a response.
	 * @param millis response time in milliseconds
	 */
	void record(long millis) {
		this.counts[classOf(millis)]++;
	}

	/**
	 * Adds counts.
	 * @param added counts by class; classes that are missing are empty
	 * @param factor factor that the counts are multiplied by
	 */
	void add(List<Long> added, double factor) {
		for (int i = 0; i < Math.min(CLASSES, added.size()); i++) {
			this.counts[i] += factor * added.get(i);
		}
	}

	/**
	 * Adds the difference between two histograms.
	 * @param later histogram that is added
	 * @param earlier histogram that is subtracted
	 */
	void addDifference(LatencyHistogram later, LatencyHistogram earlier) {
		for (int i = 0; i < CLASSES; i++) {
			this.counts[i] += later.counts[i] - earlier.counts[i];
		}
	}

	/**
	 * Multiplies all counts.
	 * @param factor factor from 0 to 1
	 */
	void scale(double factor) {
		for (int i = 0; i < CLASSES; i++) {
			this.counts[i] *= factor;
		}
	}

	/**
	 * Returns the class that a quantile falls into.
	 * @param quantile quantile from 0 to 1
	 * @return index of the class
	 */
	int quantileClass(double quantile) {
		double remaining = quantile * countFrom(0);
		for (int i = 0; i < CLASSES; i++) {
			remaining -= this.counts[i];
			if (remaining <= 0) {
				return i;
			}
		}
		return CLASSES - 1;
	}

	/**
	 * Returns the number of responses in a class or above.
	 * @param first index of the class; may exceed the last class
	 * @return number of responses
	 */
	double countFrom(int first) {
		double sum = 0;
		for (int i = first; i < CLASSES; i++) {
			sum += this.counts[i];
		}
		return sum;
	}

	/**
	 * Returns the counts for a message.
	 * @return counts by class without the empty classes at the end
	 */
	List<Long> toList() {
		List<Long> list = new ArrayList<>();
		int last = CLASSES;
		while (last > 0 && this.counts[last - 1] == 0) {
			last--;
		}
		for (int i = 0; i < last; i++) {
			list.add(Math.round(this.counts[i]));
		}
		return list;
	}

}
