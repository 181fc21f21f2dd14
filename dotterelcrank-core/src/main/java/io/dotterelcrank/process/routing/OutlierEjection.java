package io.dotterelcrank.process.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

import io.dotterelcrank.common.Clock;

/**
 * Ejects targets that fail, or that answer far more slowly than their peers, for a time
 * that doubles with each ejection. Invariant: of the targets asked about, at most the
 * given share is ejected. Not thread-safe.
 */
public final class OutlierEjection {

	/** Failures in a row that eject a target. */
	static final int FAILURES = 3;

	/** First ejection time, in milliseconds. */
	static final long FIRST_MILLIS = 2_000;

	/** Longest ejection time, in milliseconds. */
	static final long LAST_MILLIS = 60_000;

	/** Factor above the median latency of the peers that counts as slow. */
	static final double SLOW_FACTOR = 4;

	/** Latency below which no target counts as slow, in milliseconds. */
	static final double SLOW_FLOOR_MILLIS = 100;

	/** Successes needed before a target's latency counts. */
	static final int LEAST_SAMPLES = 5;

	/** Weight of a new latency in the smoothed one. */
	private static final double SMOOTHING = 0.2;

	/** Whole, in percent. */
	private static final long WHOLE_PERCENT = 100;

	/** Clock of the process. */
	private final Clock clock;

	/** Record of each target, by name. */
	private final Map<String, Health> targets = new HashMap<>();

	private OutlierEjection(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Creates a record without targets.
	 * @param clock clock of the process
	 * @return a new record
	 */
	public static OutlierEjection of(Clock clock) {
		return new OutlierEjection(clock);
	}

	/**
	 * Takes in a success.
	 * @param target name of the target
	 * @param latencyMillis time until the first token, or the answer, in milliseconds
	 */
	public void recordSuccess(String target, double latencyMillis) {
		Health health = health(target);
		health.failures = 0;
		health.samples++;
		health.latencyMillis += SMOOTHING * (latencyMillis - health.latencyMillis);
		if (health.samples == 1) {
			health.latencyMillis = latencyMillis;
		}
	}

	/**
	 * Takes in a failure of the target itself; refusals are no failures.
	 * @param target name of the target
	 * @return whether the target is ejected by it
	 */
	public boolean recordFailure(String target) {
		Health health = health(target);
		health.failures++;
		if (health.failures < FAILURES) {
			return false;
		}
		eject(health);
		return true;
	}

	private void eject(Health health) {
		health.failures = 0;
		health.samples = 0;
		health.ejectionMillis = Math.min(LAST_MILLIS, Math.max(FIRST_MILLIS, health.ejectionMillis * 2));
		health.untilMillis = this.clock.millis() + health.ejectionMillis;
	}

	/**
	 * Forgets targets that are gone.
	 * @param names names of the targets that remain
	 */
	public void retain(List<String> names) {
		this.targets.keySet().retainAll(names);
	}

	/**
	 * Chooses the ejected among some targets: those whose ejection lasts longest first,
	 * up to the cap.
	 * @param names names of the targets
	 * @param capPercent largest share that is ejected
	 * @return names of the ejected targets
	 */
	public List<String> ejected(List<String> names, long capPercent) {
		ejectSlow(names);
		long most = names.size() * capPercent / WHOLE_PERCENT;
		long nowMillis = this.clock.millis();
		return names.stream()
			.filter((name) -> health(name).untilMillis > nowMillis)
			.sorted(Comparator.comparingLong((String name) -> health(name).untilMillis).reversed())
			.limit(most)
			.toList();
	}

	private void ejectSlow(List<String> names) {
		List<Double> latencies = new ArrayList<>();
		for (String name : names) {
			Health health = health(name);
			if (health.samples >= LEAST_SAMPLES) {
				latencies.add(health.latencyMillis);
			}
		}
		OptionalDouble median = median(latencies);
		if (median.isEmpty()) {
			return;
		}
		double boundMillis = Math.max(SLOW_FLOOR_MILLIS, SLOW_FACTOR * median.getAsDouble());
		names.stream()
			.map(this::health)
			.filter((health) -> health.samples >= LEAST_SAMPLES && health.latencyMillis > boundMillis)
			.forEach(this::eject);
	}

	private static OptionalDouble median(List<Double> values) {
		if (values.size() < 2) {
			return OptionalDouble.empty();
		}
		return OptionalDouble.of(values.stream().sorted().toList().get((values.size() - 1) / 2));
	}

	private Health health(String target) {
		return this.targets.computeIfAbsent(target, (name) -> new Health());
	}

	/**
	 * Record of one target.
	 */
	private static final class Health {

		/** Failures in a row. */
		private int failures;

		/** Successes since the last ejection. */
		private int samples;

		/** Smoothed latency in milliseconds. */
		private double latencyMillis;

		/** Length of the last ejection in milliseconds. */
		private long ejectionMillis;

		/** When the ejection ends, in milliseconds. */
		private long untilMillis;

	}

}
