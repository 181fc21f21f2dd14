package io.dotterelcrank.process.admission;

import java.util.List;

/**
 * Decides whether a target can take one more request now. Implementations are stateless
 * and thread-safe; the state passed in is confined to the calling thread.
 */
public interface AdmissionPolicy {

	/**
	 * Returns whether a request can be admitted now.
	 * @param request the request
	 * @param state state of the target
	 * @param limits current settings
	 * @return {@code true} to admit it
	 */
	boolean admits(PendingRequest request, AdmissionState state, Limits limits);

	/**
	 * Returns the default policy for model engines.
	 * @return slow start, step time, memory forecast and fair shares combined
	 */
	static AdmissionPolicy forEngines() {
		return new AllOf(List.of(RampPolicy.INSTANCE, StepTimePolicy.INSTANCE, MemoryForecastPolicy.INSTANCE,
				FairSharePolicy.INSTANCE));
	}

	/**
	 * Returns the default policy for plain services.
	 * @return slow start and a concurrency limit combined
	 */
	static AdmissionPolicy forServices() {
		return new AllOf(List.of(RampPolicy.INSTANCE, ServiceConcurrencyPolicy.INSTANCE));
	}

	/**
	 * Returns the policy with a given name.
	 * @param name {@code forecast}, {@code fixed-N}, {@code reserve-max},
	 * {@code mean-length} or {@code forecast-without-X} with X one of ramp, step, memory,
	 * share
	 * @return the policy
	 * @throws IllegalArgumentException if the name is unknown
	 */
	static AdmissionPolicy named(String name) {
		if (name.startsWith("fixed-")) {
			return new FixedConcurrencyPolicy(Integer.parseInt(name.substring("fixed-".length())));
		}
		return switch (name) {
			case "forecast" -> forEngines();
			case "reserve-max" -> MaxLengthReservationPolicy.INSTANCE;
			case "mean-length" -> MeanLengthReservationPolicy.INSTANCE;
			case "forecast-without-ramp" ->
				new AllOf(List.of(StepTimePolicy.INSTANCE, MemoryForecastPolicy.INSTANCE, FairSharePolicy.INSTANCE));
			case "forecast-without-step" ->
				new AllOf(List.of(RampPolicy.INSTANCE, MemoryForecastPolicy.INSTANCE, FairSharePolicy.INSTANCE));
			case "forecast-without-memory" ->
				new AllOf(List.of(RampPolicy.INSTANCE, StepTimePolicy.INSTANCE, FairSharePolicy.INSTANCE));
			case "forecast-without-share" ->
				new AllOf(List.of(RampPolicy.INSTANCE, StepTimePolicy.INSTANCE, MemoryForecastPolicy.INSTANCE));
			default -> throw new IllegalArgumentException("unknown admission policy " + name);
		};
	}

	/**
	 * Admits a request if all of its policies admit it. Immutable.
	 *
	 * @param policies the combined policies
	 */
	record AllOf(List<AdmissionPolicy> policies) implements AdmissionPolicy {

		@Override
		public boolean admits(PendingRequest request, AdmissionState state, Limits limits) {
			return this.policies.stream().allMatch((policy) -> policy.admits(request, state, limits));
		}

	}

	/**
	 * Slow start: keeps a target that is warming up within its ramp limit, and admits
	 * nothing while the target may have turned cold.
	 */
	enum RampPolicy implements AdmissionPolicy {

		/** Stateless, therefore shared. */
		INSTANCE;

		@Override
		public boolean admits(PendingRequest request, AdmissionState state, Limits limits) {
			return !state.mayBeCold() && state.requestCount() < state.ramp().limit();
		}

	}

	/**
	 * Keeps the predicted step time of a warm target within its limit. A target that is
	 * warming up is slow at any load and would never warm up under that limit; its ramp
	 * limits it instead.
	 */
	enum StepTimePolicy implements AdmissionPolicy {

		/** Stateless, therefore shared. */
		INSTANCE;

		@Override
		public boolean admits(PendingRequest request, AdmissionState state, Limits limits) {
			boolean warming = !state.ramp().warm();
			return warming || state.requestCount() == 0
					|| state.stepTimes().predict(state.requestCount() + 1) <= limits.maxStepMillis();
		}

	}

	/**
	 * Keeps the forecast peak of KV cache memory within the engine's memory, less
	 * headroom.
	 */
	enum MemoryForecastPolicy implements AdmissionPolicy {

		/** Stateless, therefore shared. */
		INSTANCE;

		private static final long HUNDRED_PERCENT = 100;

		@Override
		public boolean admits(PendingRequest request, AdmissionState state, Limits limits) {
			if (state.memoryTokens() == 0) {
				return true;
			}
			AdmittedRequest admitted = AdmittedRequest.of(request, state.lengths().distribution(request.workspace()));
			double usableTokens = state.memoryTokens() * (HUNDRED_PERCENT - limits.headroomPercent())
					/ (double) HUNDRED_PERCENT - state.foreignTokens();
			boolean idle = state.requestCount() == 0;
			return idle || MemoryForecast.peakTokens(state.admittedRequests(), admitted,
					state.extraDeviations()) <= usableTokens;
		}

	}

	/**
	 * Reserves the last part of the step time limit for workspaces that have at most an
	 * equal share of the requests at the target.
	 */
	enum FairSharePolicy implements AdmissionPolicy {

		/** Stateless, therefore shared. */
		INSTANCE;

		/** Fraction of the step time limit open to workspaces above an equal share. */
		private static final double ABOVE_SHARE_FRACTION = 0.85;

		/** Requests at the target from which on shares are enforced. */
		private static final int MIN_CONTENDED_REQUESTS = 8;

		@Override
		public boolean admits(PendingRequest request, AdmissionState state, Limits limits) {
			int ownRequests = state.requestCount(request.workspace());
			int workspaces = state.workspaceCount() + ((ownRequests == 0) ? 1 : 0);
			if (state.requestCount() < MIN_CONTENDED_REQUESTS || workspaces < 2
					|| ownRequests * workspaces <= state.requestCount()) {
				return true;
			}
			return state.stepTimes().predict(state.requestCount() + 1) <= ABOVE_SHARE_FRACTION * limits.maxStepMillis();
		}

	}

	/**
	 * Limits the concurrency of a plain service.
	 */
	enum ServiceConcurrencyPolicy implements AdmissionPolicy {

		/** Stateless, therefore shared. */
		INSTANCE;

		@Override
		public boolean admits(PendingRequest request, AdmissionState state, Limits limits) {
			return state.requestCount() < limits.maxServiceRequests();
		}

	}

	/**
	 * Baseline: a fixed concurrency limit. Immutable.
	 *
	 * @param maxRequests maximum number of requests at the target
	 */
	record FixedConcurrencyPolicy(int maxRequests) implements AdmissionPolicy {

		@Override
		public boolean admits(PendingRequest request, AdmissionState state, Limits limits) {
			return state.requestCount() < this.maxRequests;
		}

	}

	/**
	 * Baseline: reserves KV cache memory for the maximum output length.
	 */
	enum MaxLengthReservationPolicy implements AdmissionPolicy {

		/** Stateless, therefore shared. */
		INSTANCE;

		@Override
		public boolean admits(PendingRequest request, AdmissionState state, Limits limits) {
			long reservedTokens = state.admittedRequests().stream().mapToLong(AdmittedRequest::maxMemoryTokens).sum();
			long requiredTokens = reservedTokens + request.promptTokens() + request.maxTokens();
			return state.requestCount() == 0 || requiredTokens <= state.memoryTokens() - state.foreignTokens();
		}

	}

	/**
	 * Baseline: reserves KV cache memory for the mean output length.
	 */
	enum MeanLengthReservationPolicy implements AdmissionPolicy {

		/** Stateless, therefore shared. */
		INSTANCE;

		@Override
		public boolean admits(PendingRequest request, AdmissionState state, Limits limits) {
			AdmittedRequest admitted = AdmittedRequest.of(request, state.lengths().distribution(request.workspace()));
			double reservedTokens = state.admittedRequests()
				.stream()
				.mapToDouble(AdmittedRequest::expectedMemoryTokens)
				.sum();
			double requiredTokens = reservedTokens + admitted.expectedMemoryTokens();
			return state.requestCount() == 0 || requiredTokens <= state.memoryTokens() - state.foreignTokens();
		}

	}

}
