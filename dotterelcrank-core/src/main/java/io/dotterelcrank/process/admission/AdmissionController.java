package io.dotterelcrank.process.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.TargetLoad;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.ResultCode;

/**
 * Admission control of one target. Every request passes here, so the load of the target
 * is bounded even if entry hosts route on stale load reports. Invariants: each request is
 * admitted or refused, exactly once; a refused request was never admitted. Not
 * thread-safe; confined to the control thread.
 */
public final class AdmissionController {

	private static final int HUNDRED_PERCENT = 100;

	/** Prompt length of the typical request that load reports are based on, in tokens. */
	private static final int TYPICAL_PROMPT_TOKENS = 200;

	/** Maximum output length of the typical request, in tokens. */
	private static final int TYPICAL_MAX_TOKENS = 1_000;

	/** Maximum number of admissible requests in a load report. */
	private static final int MAX_REPORTED_REQUESTS = 4;

	/** Minimum retry delay sent with a refusal, in milliseconds. */
	private static final long MIN_RETRY_AFTER_MILLIS = 100;

	private final AdmissionPolicy policy;

	private final AdmissionState state;

	private final Supplier<Limits> limits;

	private final Clock clock;

	private final FairQueue queue = FairQueue.create();

	/** EWMA of the time between admissions, in milliseconds. */
	private double admissionIntervalMillis;

	/** Time of the last admission, in milliseconds. */
	private long lastAdmissionMillis;

	private AdmissionController(AdmissionPolicy policy, AdmissionState state, Supplier<Limits> limits, Clock clock) {
		this.policy = policy;
		this.state = state;
		this.limits = limits;
		this.clock = clock;
		this.lastAdmissionMillis = clock.millis();
	}

	/**
	 * Creates a controller.
	 * @param policy decides whether a request can be admitted now
	 * @param state state of the target
	 * @param limits supplies the current settings
	 * @param clock clock of the process
	 * @return a new controller
	 */
	public static AdmissionController of(AdmissionPolicy policy, AdmissionState state, Supplier<Limits> limits,
			Clock clock) {
		return new AdmissionController(policy, state, limits, clock);
	}

	/**
	 * Admits a request, queues it, or refuses it. If the queue is full, the request that
	 * is first to shed is refused.
	 * @param request the request
	 * @return requests admitted and refused now; neither contains the request if it was
	 * queued
	 */
	public Outcome submit(PendingRequest request) {
		Limits currentLimits = this.limits.get();
		if (this.queue.size() == 0 && this.policy.admits(request, this.state, currentLimits)) {
			admit(request, currentLimits);
			return new Outcome(List.of(request), List.of());
		}
		long waitMillis = Math.min(currentLimits.maxWaitMillis(), request.deadlineMillis() - this.clock.millis());
		if (waitMillis <= 0 || currentLimits.maxQueuedRequests() <= 0) {
			return new Outcome(List.of(), List.of(refuse(request, "the target has no free capacity")));
		}
		this.queue.add(request, this.clock.millis() + waitMillis);
		if (this.queue.size() <= currentLimits.maxQueuedRequests()) {
			return admitWaiting();
		}
		PendingRequest shedRequest = this.queue.nextToShed().orElse(request);
		this.queue.remove(shedRequest.id());
		return admitWaiting().withRefusal(refuse(shedRequest, "the admission queue of the target is full"));
	}

	/**
	 * Admits waiting requests as far as the policy allows, and refuses those that have
	 * waited for the maximum time.
	 * @return requests admitted and refused now
	 */
	public Outcome admitWaiting() {
		Limits currentLimits = this.limits.get();
		List<Refusal> refused = this.queue.removeExpired(this.clock.millis())
			.stream()
			.map((request) -> refuse(request, "the target had no free capacity within the maximum wait"))
			.toList();
		List<PendingRequest> admitted = new ArrayList<>();
		Optional<PendingRequest> next = this.queue.nextToAdmit();
		while (next.isPresent() && this.policy.admits(next.get(), this.state, currentLimits)) {
			admit(next.get(), currentLimits);
			admitted.add(next.get());
			next = this.queue.nextToAdmit();
		}
		return new Outcome(admitted, refused);
	}

	private void admit(PendingRequest request, Limits currentLimits) {
		long nowMillis = this.clock.millis();
		double newIntervalWeight = 0.1;
		this.admissionIntervalMillis += newIntervalWeight
				* (nowMillis - this.lastAdmissionMillis - this.admissionIntervalMillis);
		this.lastAdmissionMillis = nowMillis;
		this.state.recordAdmission(request);
		double expectedOutputTokens = Math.min(request.maxTokens(),
				this.state.lengths().distribution(request.workspace()).mean());
		this.queue.recordAdmission(request, request.promptTokens() + expectedOutputTokens + 1, currentLimits.weights());
	}

	private Refusal refuse(PendingRequest request, String message) {
		long retryMillis = MIN_RETRY_AFTER_MILLIS + (long) (this.admissionIntervalMillis * (this.queue.size() + 1));
		Failure failure = Failure.notRun(ResultCode.OVERLOADED, message).withRetryAfter(retryMillis);
		return new Refusal(request, failure);
	}

	/**
	 * Removes a waiting request. Has no effect on admitted ones.
	 * @param id id of the request
	 * @return whether it was waiting
	 */
	public boolean cancel(String id) {
		return this.queue.remove(id);
	}

	/**
	 * Releases the capacity of an admitted request and admits waiting ones.
	 * @param id id of the request
	 * @param completed whether it completed, so that its length can be learned
	 * @return requests admitted and refused now
	 */
	public Outcome finish(String id, boolean completed) {
		this.state.recordEnd(id, completed);
		return admitWaiting();
	}

	/**
	 * Returns the load to report to entry hosts.
	 * @param leaving whether the target is draining and admits nothing new
	 * @return the load; 100 percent or more if nothing more can be admitted
	 */
	public TargetLoad load(boolean leaving) {
		Limits currentLimits = this.limits.get();
		TargetLoad.State reportedState = leaving ? TargetLoad.State.LEAVING
				: this.state.ramp().warm() ? TargetLoad.State.SERVING : TargetLoad.State.WARMING;
		int admissibleRequests = leaving ? 0 : estimateAdmissibleRequests(currentLimits);
		return new TargetLoad(reportedState, usedPercent(currentLimits, admissibleRequests), this.queue.size(),
				(int) this.state.stepMillis(), admissibleRequests);
	}

	/**
	 * Estimates how many typical requests would be admitted now, for
	 * {@link TargetLoad#roomRequests}.
	 * @param currentLimits current settings
	 * @return an estimate, at most {@link #MAX_REPORTED_REQUESTS}; 0 while requests wait
	 */
	private int estimateAdmissibleRequests(Limits currentLimits) {
		if (this.queue.size() > 0) {
			return 0;
		}
		PendingRequest typicalRequest = new PendingRequest("", "", Priority.NORMAL, TYPICAL_PROMPT_TOKENS,
				TYPICAL_MAX_TOKENS, 0);
		if (!this.policy.admits(typicalRequest, this.state, currentLimits)) {
			return 0;
		}
		return Math.max(1, Math.min(MAX_REPORTED_REQUESTS, this.state.ramp().limit() - this.state.requestCount()));
	}

	private int usedPercent(Limits currentLimits, int admissibleRequests) {
		double memoryFraction = forecastMemoryFraction();
		double stepTimeFraction = this.state.stepTimes().predict(this.state.requestCount())
				/ currentLimits.maxStepMillis();
		double rampFraction = this.state.ramp().warm() ? 0
				: (double) this.state.requestCount() / this.state.ramp().limit();
		double concurrencyFraction = (this.state.memoryTokens() == 0)
				? (double) this.state.requestCount() / currentLimits.maxServiceRequests() : 0;
		int usedPercent = (int) (HUNDRED_PERCENT
				* Math.max(Math.max(memoryFraction, stepTimeFraction), Math.max(rampFraction, concurrencyFraction)));
		return (admissibleRequests == 0) ? Math.max(HUNDRED_PERCENT, usedPercent)
				: Math.min(HUNDRED_PERCENT - 1, usedPercent);
	}

	/**
	 * Returns the fraction of KV cache memory in use at the forecast peak. It rises
	 * earlier than the memory in use, so entry hosts notice sooner that a target fills
	 * up.
	 * @return a fraction, which may exceed 1; 0 while the memory size is unknown
	 */
	private double forecastMemoryFraction() {
		if (this.state.memoryTokens() == 0) {
			return 0;
		}
		double peakTokens = MemoryForecast.peakTokens(this.state.admittedRequests(), this.state.extraDeviations())
				+ this.state.foreignTokens();
		return peakTokens / this.state.memoryTokens();
	}

	/**
	 * Returns the state of the target.
	 * @return the state, updated by this controller and by the owner of the target
	 */
	public AdmissionState state() {
		return this.state;
	}

	/**
	 * Returns the length of the admission queue.
	 * @return number of waiting requests
	 */
	public int queueLength() {
		return this.queue.size();
	}

	/**
	 * Result of an operation. Immutable.
	 *
	 * @param admitted requests to start now, in order of admission
	 * @param refused requests to refuse now
	 */
	public record Outcome(List<PendingRequest> admitted, List<Refusal> refused) {

		private Outcome withRefusal(Refusal refusal) {
			List<Refusal> all = new ArrayList<>(this.refused);
			all.add(refusal);
			return new Outcome(this.admitted, all);
		}

	}

	/**
	 * A refused request. Immutable.
	 *
	 * @param request the request
	 * @param failure the reason and when to retry; states that the request did not run
	 */
	public record Refusal(PendingRequest request, Failure failure) {
	}

}
