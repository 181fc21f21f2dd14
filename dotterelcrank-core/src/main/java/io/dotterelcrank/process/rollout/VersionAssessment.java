package io.dotterelcrank.process.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Compares the responses of a new version with those of the old one on the same route in
 * the same data centre. Addresses disturbances that hit both versions alike, such as the
 * loss of a data centre or a burst: the share of bad responses that is usual at the
 * moment is that of the old version in the last slices. Not thread-safe.
 */
final class VersionAssessment {

	/** Quantile of the old version's response times. */
	private static final double SLOW_QUANTILE = 0.95;

	/** Distance from its class to the first one that is slow. */
	private static final int SLOW_DISTANCE = 1;

	/** Number of old responses from which on a share or quantile is derived. */
	private static final double MIN_RESPONSES = 20;

	/** Lowest share of bad responses that is usual. */
	private static final double MIN_USUAL = 0.01;

	/** Factor by which old responses lose weight with each slice. */
	private static final double AGEING = 0.9;

	/** Factor for those of the moment. */
	private static final double FAST_AGEING = 0.5;

	private final Map<OutcomeCell.Key, OutcomeCell> last = new HashMap<>();

	private final Map<OutcomeCell.Key, OutcomeCell> recent = new HashMap<>();

	private final Map<OutcomeCell.Key, OutcomeCell> current = new HashMap<>();

	/**
	 * Adds what came since the last call to a test.
	 * @param cells cumulative counts
	 * @param slices number of slices since the last call
	 * @param tests tests that get the responses of the new version
	 */
	void assess(Map<OutcomeCell.Key, OutcomeCell> cells, long slices, VersionTest... tests) {
		Map<OutcomeCell.Key, OutcomeCell> added = new HashMap<>();
		cells.forEach((key, cell) -> {
			OutcomeCell difference = new OutcomeCell();
			difference.addDifference(cell, this.last.getOrDefault(key, new OutcomeCell()));
			added.put(key, difference);
			this.last.put(key, cell.copy());
		});
		age(this.recent, Math.pow(AGEING, slices));
		age(this.current, Math.pow(FAST_AGEING, slices));
		Set<String> routes = new HashSet<>();
		added.forEach((key, cell) -> {
			routes.add(key.route());
			if (!key.candidate()) {
				this.recent.computeIfAbsent(key, (name) -> new OutcomeCell()).add(cell);
				this.current.computeIfAbsent(key, (name) -> new OutcomeCell()).add(cell);
			}
		});
		added.forEach((key, cell) -> {
			if (key.candidate() && cell.requests() > 0) {
				record(key, cell, tests);
			}
		});
		for (VersionTest test : tests) {
			test.endSlice(slices);
		}
	}

	private static void age(Map<OutcomeCell.Key, OutcomeCell> cells, double factor) {
		cells.values().forEach((cell) -> cell.scale(factor));
	}

	private void record(OutcomeCell.Key key, OutcomeCell cell, VersionTest... tests) {
		OutcomeCell usual = select(this.recent, key);
		OutcomeCell now = select(this.current, key);
		double failedShare = Math.max(share(usual, usual.failed()), share(now, now.failed()));
		for (VersionTest test : tests) {
			test.record(key.route(), VersionTest.Kind.FAILED, cell.requests(), cell.failed(), failedShare);
		}
		if (usual.requests() < MIN_RESPONSES) {
			return;
		}
		int slowClass = usual.slowClass(SLOW_QUANTILE, SLOW_DISTANCE);
		double slowShare = Math.max(share(usual, usual.slow(slowClass)), share(now, now.slow(slowClass)));
		for (VersionTest test : tests) {
			test.record(key.route(), VersionTest.Kind.SLOW, cell.requests(), cell.slow(slowClass), slowShare);
		}
	}

	// The upper end of what few responses tell.
	private static double share(OutcomeCell cell, double bad) {
		double share = (cell.requests() >= MIN_RESPONSES) ? (bad + Math.sqrt(bad)) / cell.requests() : 0;
		return Math.max(MIN_USUAL, share);
	}

	private static OutcomeCell select(Map<OutcomeCell.Key, OutcomeCell> cells, OutcomeCell.Key key) {
		OutcomeCell same = cells.get(new OutcomeCell.Key(key.route(), key.dataCentre(), false));
		if (same != null && same.requests() >= MIN_RESPONSES) {
			return same;
		}
		OutcomeCell pooled = new OutcomeCell();
		cells.forEach((other, cell) -> {
			if (other.route().equals(key.route())) {
				pooled.add(cell);
			}
		});
		return pooled;
	}

}
