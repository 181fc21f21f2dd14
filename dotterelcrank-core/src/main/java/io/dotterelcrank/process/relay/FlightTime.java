package io.dotterelcrank.process.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;

import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.EngineSpeed;

/**
 * Estimates how long a generation would run at an engine, and how much longer others run
 * there for its sake. Addresses the load pattern of long outputs beside many long prompts
 * with hardly any output: what runs longest is most at risk when engines are taken away,
 * and each prompt that is prefilled beside a generation lengthens its steps. Immutable.
 */
final class FlightTime {

	private static final double MILLIS_PER_SECOND = 1_000;

	/** Mean step time of the engines that tell one; empty if none does. */
	private final OptionalDouble typicalStepMillis;

	/**
	 * Part by which prefill lengthens the steps beside it, as the engines tell on
	 * average; 0 if none does.
	 */
	private final double typicalDisturbance;

	private FlightTime(OptionalDouble typicalStepMillis, double typicalDisturbance) {
		this.typicalStepMillis = typicalStepMillis;
		this.typicalDisturbance = typicalDisturbance;
	}

	/**
	 * Creates an estimate.
	 * @param engines engines to choose from
	 * @return an estimate by what their sidecars tell; 0 for all engines if none tells a
	 * step time
	 */
	static FlightTime of(List<TrackedTarget> engines) {
		return new FlightTime(mean(engines, EngineSpeed::stepMillis),
				mean(engines, FlightTime::disturbance).orElse(EngineSpeed.UNKNOWN_FIGURE));
	}

	private static OptionalDouble mean(List<TrackedTarget> engines, ToDoubleFunction<EngineSpeed> figure) {
		return engines.stream()
			.map(FlightTime::speed)
			.flatMap(Optional::stream)
			.mapToDouble(figure)
			.filter((value) -> value != EngineSpeed.UNKNOWN_FIGURE)
			.average();
	}

	private static Optional<EngineSpeed> speed(TrackedTarget engine) {
		return Optional.ofNullable(engine.load()).map(EngineLoad::speed);
	}

	/**
	 * Returns the part of a step beside prefill that is due to the prefill.
	 * @param speed speed of an engine
	 * @return a part from 0 to 1; unknown unless both step times are known
	 */
	private static double disturbance(EngineSpeed speed) {
		boolean known = speed.quietStepMillis() > 0 && speed.disturbedStepMillis() > 0;
		return known ? Math.max(0, 1 - speed.quietStepMillis() / speed.disturbedStepMillis())
				: EngineSpeed.UNKNOWN_FIGURE;
	}

	/**
	 * Estimates the time for which generations run if one is placed at an engine.
	 * @param engine the engine
	 * @param demand resources that the generation needs
	 * @return time from its first to its last token, and by which those that run there
	 * are prolonged in sum, in seconds
	 */
	double addedSeconds(TrackedTarget engine, PlacementStrategy.Demand demand) {
		if (this.typicalStepMillis.isEmpty()) {
			return 0;
		}
		double told = speed(engine).map(EngineSpeed::stepMillis).orElse(EngineSpeed.UNKNOWN_FIGURE);
		double stepMillis = (told > 0) ? told : this.typicalStepMillis.getAsDouble();
		double own = (demand.expectedTotalTokens() - demand.promptTokens()) * stepMillis / MILLIS_PER_SECOND;
		return own + prolongedSeconds(engine, demand);
	}

	private double prolongedSeconds(TrackedTarget engine, PlacementStrategy.Demand demand) {
		if (!engine.prefillRateKnown()) {
			return 0;
		}
		double prefillSeconds = demand.promptTokens() / engine.prefillTokensPerSecond(EngineSpeed.UNKNOWN_FIGURE);
		return engine.load().running() * prefillSeconds * this.typicalDisturbance;
	}

}
