package io.dotterelcrank.process.rollout;

import java.util.List;

import io.dotterelcrank.connection.VersionCounts;

/**
 * Counts of outcomes that may be added, subtracted and aged. Not thread-safe.
 */
final class OutcomeCell {

	private final LatencyHistogram latencies = new LatencyHistogram();

	private double requests;

	private double failed;

	void record(boolean failure, long millis) {
		this.requests++;
		if (failure) {
			this.failed++;
		}
		else {
			this.latencies.record(millis);
		}
	}

	void add(VersionCounts counts, double factor) {
		this.requests += factor * counts.requests();
		this.failed += factor * counts.failed();
		this.latencies.add(counts.latencies(), factor);
	}

	void addDifference(OutcomeCell later, OutcomeCell earlier) {
		this.requests += later.requests - earlier.requests;
		this.failed += later.failed - earlier.failed;
		this.latencies.addDifference(later.latencies, earlier.latencies);
	}

	void add(OutcomeCell other) {
		addDifference(other, new OutcomeCell());
	}

	void scale(double factor) {
		this.requests *= factor;
		this.failed *= factor;
		this.latencies.scale(factor);
	}

	OutcomeCell copy() {
		OutcomeCell copy = new OutcomeCell();
		copy.add(this);
		return copy;
	}

	double requests() {
		return this.requests;
	}

	double failed() {
		return this.failed;
	}

	/**
	 * Returns the number of slow responses.
	 * @param slowClass lowest class of response times that are slow
	 * @return number of slow ones among those that did not fail
	 */
	double slow(int slowClass) {
		return this.latencies.countFrom(slowClass);
	}

	/**
	 * Returns the lowest class of response times that count as slow beside these.
	 * @param quantile quantile of these response times
	 * @param distance number of classes from there
	 * @return index of the class; may exceed the last one
	 */
	int slowClass(double quantile, int distance) {
		return this.latencies.quantileClass(quantile) + distance;
	}

	VersionCounts toCounts(Key key) {
		List<Long> classes = this.latencies.toList();
		return new VersionCounts(key.route(), key.dataCentre(), key.candidate(), Math.round(this.requests),
				Math.round(this.failed), classes);
	}

	/**
	 * What a cell counts. Immutable.
	 *
	 * @param route name of the route
	 * @param dataCentre data centre of the targets
	 * @param candidate whether they run the new version
	 */
	record Key(String route, String dataCentre, boolean candidate) {

		static Key of(VersionCounts counts) {
			return new Key(counts.route(), counts.dataCentre(), counts.candidate());
		}

	}

}
