package io.dotterelcrank.process.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

import io.dotterelcrank.common.Clock;

/**
 * Outlier ejection: takes targets out of routing that fail repeatedly, or that are much
 * slower than their peers, for a time that doubles with each ejection. Invariant: of the
 * targets passed to {@link #ejected}, at most the given percentage is ejected. Not
 * thread-safe.
 */
public final class OutlierEjection {

	/** Consecutive failures that eject a target. */
	static final int CONSECUTIVE_FAILURES = 3;

	/** Duration of the first ejection, in milliseconds. */
	static final long MIN_EJECTION_MILLIS = 2_000;

	/** Maximum duration of an ejection, in milliseconds. */
	static final long MAX_EJECTION_MILLIS = 60_000;

	/** Multiple of the median latency above which a target is slow. */
	static final double SLOW_FACTOR = 4;

	/** Latency up to which no target is slow, in milliseconds. */
	static final double MIN_SLOW_MILLIS = 100;

	/** Successes since the last ejection from which on the latency is used. */
	static final int MIN_SAMPLES = 5;

	/** Weight of a new latency in the EWMA. */
	private static final double LATENCY_WEIGHT = 0.2;

	private static final long HUNDRED_PERCENT = 100;

	private final Clock clock;

	private final Map<String, TargetHealth> healthByTarget = new HashMap<>();

	private OutlierEjection(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Creates an instance without targets.
	 * @param clock clock of the process
	 * @return an instance that ejects nothing yet
	 */
	public static OutlierEjection of(Clock clock) {
		return new OutlierEjection(clock);
	}

	/**
	 * Records a success.
	 * @param target name of the target
	 * @param latencyMillis time to the first token, or to the response of a call, in
	 * milliseconds
	 */
	public void recordSuccess(String target, double latencyMillis) {
		TargetHealth health = health(target);
		health.consecutiveFailures = 0;
		health.samples++;
		health.latencyMillis += LATENCY_WEIGHT * (latencyMillis - health.latencyMillis);
		if (health.samples == 1) {
			health.latencyMillis = latencyMillis;
		}
	}

	/**
	 * Records a failure of the target itself. Refused requests are not failures.
	 * @param target name of the target
	 * @return whether this failure ejects the target
	 */
	public boolean recordFailure(String target) {
		TargetHealth health = health(target);
		health.consecutiveFailures++;
		if (health.consecutiveFailures < CONSECUTIVE_FAILURES) {
			return false;
		}
		eject(health);
		return true;
	}

	private void eject(TargetHealth health) {
		health.consecutiveFailures = 0;
		health.samples = 0;
		health.lastEjectionMillis = Math.min(MAX_EJECTION_MILLIS,
				Math.max(MIN_EJECTION_MILLIS, health.lastEjectionMillis * 2));
		health.ejectedUntilMillis = this.clock.millis() + health.lastEjectionMillis;
	}

	/**
	 * Removes targets that no longer exist.
	 * @param names names of the targets that remain
	 */
	public void retain(List<String> names) {
		this.healthByTarget.keySet().retainAll(names);
	}

	/**
	 * Returns the targets to leave out: of the ejected ones, those whose ejection ends
	 * last, up to the maximum.
	 * @param names names of the candidates
	 * @param maxPercent maximum percentage of them to eject
	 * @return names of the ejected targets, the one whose ejection ends last first
	 */
	public List<String> ejected(List<String> names, long maxPercent) {
		ejectSlow(names);
		long maxEjected = names.size() * maxPercent / HUNDRED_PERCENT;
		long nowMillis = this.clock.millis();
		return names.stream()
			.filter((name) -> health(name).ejectedUntilMillis > nowMillis)
			.sorted(Comparator.comparingLong((String name) -> health(name).ejectedUntilMillis).reversed())
			.limit(maxEjected)
			.toList();
	}

	private void ejectSlow(List<String> names) {
		List<Double> latencies = new ArrayList<>();
		for (String name : names) {
			TargetHealth health = health(name);
			if (health.samples >= MIN_SAMPLES) {
				latencies.add(health.latencyMillis);
			}
		}
		OptionalDouble median = median(latencies);
		if (median.isEmpty()) {
			return;
		}
		double boundMillis = Math.max(MIN_SLOW_MILLIS, SLOW_FACTOR * median.getAsDouble());
		names.stream()
			.map(this::health)
			.filter((health) -> health.samples >= MIN_SAMPLES && health.latencyMillis > boundMillis)
			.forEach(this::eject);
	}

	private static OptionalDouble median(List<Double> values) {
		if (values.size() < 2) {
			return OptionalDouble.empty();
		}
		return OptionalDouble.of(values.stream().sorted().toList().get((values.size() - 1) / 2));
	}

	private TargetHealth health(String target) {
		return this.healthByTarget.computeIfAbsent(target, (name) -> new TargetHealth());
	}

	/**
	 * Recent results of one target.
	 */
	private static final class TargetHealth {

		private int consecutiveFailures;

		/** Successes since the last ejection. */
		private int samples;

		/** EWMA of the latency in milliseconds. */
		private double latencyMillis;

		/** Duration of the last ejection in milliseconds; 0 if there was none. */
		private long lastEjectionMillis;

		/** End of the last ejection in milliseconds. */
		private long ejectedUntilMillis;

	}

}
