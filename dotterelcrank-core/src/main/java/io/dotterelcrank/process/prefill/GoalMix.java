package io.dotterelcrank.process.prefill;

import java.util.HashMap;
import java.util.Map;

import io.dotterelcrank.common.Clock;

/**
 * Latency goals of the generations of one service that arrive at this host. Addresses the
 * load pattern of a mix that shifts between short and long goals within seconds and back:
 * a goal is remembered for about a minute after its last arrivals, so that its next ones
 * find engines that can still meet it. Routes that get hardly any requests do not count.
 * Not thread-safe.
 */
public final class GoalMix {

	/** No goal is known. */
	public static final long NO_GOAL = 0;

	/** Time over which arrivals are averaged, in milliseconds. */
	static final double WINDOW_MILLIS = 30_000;

	/** Min fraction of the arrivals that have a goal which others yield to. */
	static final double MIN_SHARE = 0.05;

	/** Weight below which a goal is forgotten; one arrival weighs 1. */
	private static final double MIN_WEIGHT = 0.05;

	private final Clock clock;

	/** Weights of the recent arrivals by latency goal. */
	private final Map<Long, Double> weights = new HashMap<>();

	/** When the weights were last updated. */
	private long updatedMillis;

	private GoalMix(Clock clock) {
		this.clock = clock;
		this.updatedMillis = clock.millis();
	}

	/**
	 * Creates a mix without arrivals.
	 * @param clock clock of the process
	 * @return a new mix
	 */
	public static GoalMix of(Clock clock) {
		return new GoalMix(clock);
	}

	/**
	 * Records an arriving generation.
	 * @param goalMillis its latency goal, in milliseconds; ignored unless positive
	 */
	public void recordArrival(long goalMillis) {
		decay();
		if (goalMillis > 0) {
			this.weights.merge(goalMillis, 1.0, Double::sum);
		}
	}

	/**
	 * Returns the shortest latency goal of more than a few recent arrivals.
	 * @return goal in milliseconds; {@link #NO_GOAL} if there are no arrivals
	 */
	public long shortestGoalMillis() {
		decay();
		double total = this.weights.values().stream().mapToDouble(Double::doubleValue).sum();
		return this.weights.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() >= MIN_SHARE * total)
			.mapToLong(Map.Entry::getKey)
			.min()
			.orElse(NO_GOAL);
	}

	private void decay() {
		long nowMillis = this.clock.millis();
		double factor = Math.exp((this.updatedMillis - nowMillis) / WINDOW_MILLIS);
		this.updatedMillis = nowMillis;
		this.weights.replaceAll((goal, weight) -> weight * factor);
		this.weights.values().removeIf((weight) -> weight < MIN_WEIGHT);
	}

}
