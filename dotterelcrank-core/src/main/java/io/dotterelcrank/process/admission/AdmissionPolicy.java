package io.dotterelcrank.process.admission;

import java.util.List;

/**
 * Decides whether a target takes one more request now. Implementations are stateless and
 * thread-safe; the state passed in belongs to the caller's thread.
 */
public interface AdmissionPolicy {

	/**
	 * Decides on a request.
	 * @param candidate the request
	 * @param state what is known about the target
	 * @param limits settings in force
	 * @return {@code true} if the target takes the request now
	 */
	boolean admits(PendingRequest candidate, AdmissionState state, Limits limits);

	/**
	 * Returns the policy of this system for model engines.
	 * @return ramp, step time, forecast memory and fair shares together
	 */
	static AdmissionPolicy forEngines() {
		return new Compound(List.of(WithRamp.INSTANCE, WithStepTarget.INSTANCE, WithForecastMemory.INSTANCE,
				WithFairShare.INSTANCE));
	}

	/**
	 * Returns the policy of this system for plain services.
	 * @return ramp and fixed concurrency together
	 */
	static AdmissionPolicy forServices() {
		return new Compound(List.of(WithRamp.INSTANCE, WithServiceLimit.INSTANCE));
	}

	/**
	 * Returns the policy with a given name.
	 * @param name {@code forecast}, {@code fixed-N}, {@code reserve-max},
	 * {@code mean-length} or {@code forecast-without-X} for one mechanism X switched off
	 * @return the policy
	 */
	static AdmissionPolicy named(String name) {
		if (name.startsWith("fixed-")) {
			return new WithFixedConcurrency(Integer.parseInt(name.substring("fixed-".length())));
		}
		return switch (name) {
			case "forecast" -> forEngines();
			case "reserve-max" -> WithReservedMaximum.INSTANCE;
			case "mean-length" -> WithMeanLength.INSTANCE;
			case "forecast-without-ramp" ->
				new Compound(List.of(WithStepTarget.INSTANCE, WithForecastMemory.INSTANCE, WithFairShare.INSTANCE));
			case "forecast-without-step" ->
				new Compound(List.of(WithRamp.INSTANCE, WithForecastMemory.INSTANCE, WithFairShare.INSTANCE));
			case "forecast-without-memory" ->
				new Compound(List.of(WithRamp.INSTANCE, WithStepTarget.INSTANCE, WithFairShare.INSTANCE));
			case "forecast-without-share" ->
				new Compound(List.of(WithRamp.INSTANCE, WithStepTarget.INSTANCE, WithForecastMemory.INSTANCE));
			default -> throw new IllegalArgumentException("unknown admission policy " + name);
		};
	}

	/**
	 * Admits what every part admits. Immutable.
	 *
	 * @param parts the parts
	 */
	record Compound(List<AdmissionPolicy> parts) implements AdmissionPolicy {

		@Override
		public boolean admits(PendingRequest candidate, AdmissionState state, Limits limits) {
			return this.parts.stream().allMatch((part) -> part.admits(candidate, state, limits));
		}

	}

	/**
	 * Keeps a warming target under its rising limit, and gives nothing to one that may
	 * have turned cold.
	 */
	enum WithRamp implements AdmissionPolicy {

		/** The only instance. */
		INSTANCE;

		@Override
		public boolean admits(PendingRequest candidate, AdmissionState state, Limits limits) {
			return !state.suspect() && state.count() < state.ramp().limit();
		}

	}

	/**
	 * Keeps the step time of a warm target under its bound. A warming target is slow
	 * whatever it is given, and would never warm up under that bound; its ramp limits it.
	 */
	enum WithStepTarget implements AdmissionPolicy {

		/** The only instance. */
		INSTANCE;

		@Override
		public boolean admits(PendingRequest candidate, AdmissionState state, Limits limits) {
			boolean warming = !state.ramp().warm();
			return warming || state.count() == 0
					|| state.steps().predict(state.count() + 1) <= limits.tokenTargetMillis();
		}

	}

	/**
	 * Keeps the forecast peak of memory under the engine's memory.
	 */
	enum WithForecastMemory implements AdmissionPolicy {

		/** The only instance. */
		INSTANCE;

		/** Whole, in percent. */
		private static final long WHOLE_PERCENT = 100;

		@Override
		public boolean admits(PendingRequest candidate, AdmissionState state, Limits limits) {
			if (state.memoryTokens() == 0) {
				return true;
			}
			Running running = Running.of(candidate, state.lengths().distribution(candidate.workspace()));
			double usable = state.memoryTokens() * (WHOLE_PERCENT - limits.headroomPercent()) / (double) WHOLE_PERCENT
					- state.foreignTokens();
			boolean alone = state.count() == 0;
			return alone || MemoryForecast.peak(state.running(), running, state.caution()) <= usable;
		}

	}

	/**
	 * Keeps the last part of the step time free for workspaces below their fair share.
	 */
	enum WithFairShare implements AdmissionPolicy {

		/** The only instance. */
		INSTANCE;

		/** Part of the token target that workspaces above their share may fill. */
		private static final double COMMON_PART = 0.85;

		/** Number of running requests below which shares do not matter. */
		private static final int FEW = 8;

		@Override
		public boolean admits(PendingRequest candidate, AdmissionState state, Limits limits) {
			int own = state.count(candidate.workspace());
			int workspaces = state.workspaceCount() + ((own == 0) ? 1 : 0);
			if (state.count() < FEW || workspaces < 2 || own * workspaces <= state.count()) {
				return true;
			}
			return state.steps().predict(state.count() + 1) <= COMMON_PART * limits.tokenTargetMillis();
		}

	}

	/**
	 * Keeps the number of calls at a plain service under its limit.
	 */
	enum WithServiceLimit implements AdmissionPolicy {

		/** The only instance. */
		INSTANCE;

		@Override
		public boolean admits(PendingRequest candidate, AdmissionState state, Limits limits) {
			return state.count() < limits.serviceRequests();
		}

	}

	/**
	 * Baseline: a fixed number of requests. Immutable.
	 *
	 * @param most largest number of requests
	 */
	record WithFixedConcurrency(int most) implements AdmissionPolicy {

		@Override
		public boolean admits(PendingRequest candidate, AdmissionState state, Limits limits) {
			return state.count() < this.most;
		}

	}

	/**
	 * Baseline: reserves the memory of the largest possible output.
	 */
	enum WithReservedMaximum implements AdmissionPolicy {

		/** The only instance. */
		INSTANCE;

		@Override
		public boolean admits(PendingRequest candidate, AdmissionState state, Limits limits) {
			long reserved = state.running().stream().mapToLong(Running::mostMemoryTokens).sum();
			long wanted = reserved + candidate.promptTokens() + candidate.maxTokens();
			return state.count() == 0 || wanted <= state.memoryTokens() - state.foreignTokens();
		}

	}

	/**
	 * Baseline: reserves the memory of the mean output.
	 */
	enum WithMeanLength implements AdmissionPolicy {

		/** The only instance. */
		INSTANCE;

		@Override
		public boolean admits(PendingRequest candidate, AdmissionState state, Limits limits) {
			Running running = Running.of(candidate, state.lengths().distribution(candidate.workspace()));
			double reserved = state.running().stream().mapToDouble(Running::meanMemoryTokens).sum();
			double wanted = reserved + running.meanMemoryTokens();
			return state.count() == 0 || wanted <= state.memoryTokens() - state.foreignTokens();
		}

	}

}
