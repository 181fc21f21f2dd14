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
 * Admits requests to one target. Since every request passes here, the work at the target
 * is bounded whatever the entry hosts believe. Invariants: a request is admitted or
 * refused, and only once; a refused request was never admitted. Not thread-safe; belongs
 * to the control thread.
 */
public final class AdmissionController {

	/** Whole, in percent. */
	private static final int WHOLE_PERCENT = 100;

	/** Size of the typical request by which room is told, in prompt tokens. */
	private static final int TYPICAL_PROMPT_TOKENS = 200;

	/** Largest output of the typical request, in tokens. */
	private static final int TYPICAL_MAX_TOKENS = 1_000;

	/** Largest room told, in requests. */
	private static final int MOST_ROOM = 4;

	/** Shortest advice on when to try again, in milliseconds. */
	private static final long LEAST_RETRY_MILLIS = 100;

	/** Decides whether a request fits. */
	private final AdmissionPolicy policy;

	/** What is known about the target. */
	private final AdmissionState state;

	/** Settings in force. */
	private final Supplier<Limits> limits;

	/** Clock of the process. */
	private final Clock clock;

	/** Waiting requests. */
	private final FairQueue queue = FairQueue.create();

	/** Smoothed time between admissions, in milliseconds. */
	private double admissionIntervalMillis;

	/** When a request was last admitted, in milliseconds. */
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
	 * @param policy decides whether a request fits
	 * @param state what is known about the target
	 * @param limits supplies the settings in force
	 * @param clock clock of the process
	 * @return a new controller
	 */
	public static AdmissionController of(AdmissionPolicy policy, AdmissionState state, Supplier<Limits> limits,
			Clock clock) {
		return new AdmissionController(policy, state, limits, clock);
	}

	/**
	 * Takes in a request.
	 * @param candidate the request
	 * @return what becomes of it, and of requests that had to make room for it
	 */
	public Outcome submit(PendingRequest candidate) {
		Limits current = this.limits.get();
		if (this.queue.size() == 0 && this.policy.admits(candidate, this.state, current)) {
			admit(candidate, current);
			return new Outcome(List.of(candidate), List.of());
		}
		long waitMillis = Math.min(current.waitMillis(), candidate.deadlineMillis() - this.clock.millis());
		if (waitMillis <= 0 || current.queueRequests() <= 0) {
			return new Outcome(List.of(), List.of(refusal(candidate, "no room at the target")));
		}
		this.queue.add(candidate, this.clock.millis() + waitMillis);
		if (this.queue.size() <= current.queueRequests()) {
			return admitWaiting();
		}
		PendingRequest shed = this.queue.last().orElse(candidate);
		this.queue.remove(shed.id());
		return admitWaiting().withRefusal(refusal(shed, "too many requests wait at the target"));
	}

	/**
	 * Admits waiting requests that fit by now, and refuses those that waited too long.
	 * @return what becomes of waiting requests
	 */
	public Outcome admitWaiting() {
		Limits current = this.limits.get();
		List<Refusal> refused = this.queue.expire(this.clock.millis())
			.stream()
			.map((candidate) -> refusal(candidate, "no room at the target in time"))
			.toList();
		List<PendingRequest> admitted = new ArrayList<>();
		Optional<PendingRequest> next = this.queue.next();
		while (next.isPresent() && this.policy.admits(next.get(), this.state, current)) {
			admit(next.get(), current);
			admitted.add(next.get());
			next = this.queue.next();
		}
		return new Outcome(admitted, refused);
	}

	private void admit(PendingRequest candidate, Limits current) {
		long nowMillis = this.clock.millis();
		double smoothing = 0.1;
		this.admissionIntervalMillis += smoothing
				* (nowMillis - this.lastAdmissionMillis - this.admissionIntervalMillis);
		this.lastAdmissionMillis = nowMillis;
		this.state.admitted(candidate);
		double expected = Math.min(candidate.maxTokens(),
				this.state.lengths().distribution(candidate.workspace()).mean());
		this.queue.admitted(candidate, candidate.promptTokens() + expected + 1, current.weights());
	}

	private Refusal refusal(PendingRequest candidate, String message) {
		long retryMillis = LEAST_RETRY_MILLIS + (long) (this.admissionIntervalMillis * (this.queue.size() + 1));
		Failure failure = Failure.notRun(ResultCode.OVERLOADED, message).withRetryAfter(retryMillis);
		return new Refusal(candidate, failure);
	}

	/**
	 * Removes a waiting request.
	 * @param id id of the request
	 * @return whether it was waiting
	 */
	public boolean cancel(String id) {
		return this.queue.remove(id);
	}

	/**
	 * Takes in the end of an admitted request.
	 * @param id id of the request
	 * @param complete whether it ran to its end
	 * @return what becomes of waiting requests
	 */
	public Outcome finish(String id, boolean complete) {
		this.state.ended(id, complete);
		return admitWaiting();
	}

	/**
	 * Returns the load to tell entry hosts.
	 * @param leaving whether the target takes nothing new
	 * @return the load
	 */
	public TargetLoad load(boolean leaving) {
		Limits current = this.limits.get();
		TargetLoad.State told = leaving ? TargetLoad.State.LEAVING
				: this.state.ramp().warm() ? TargetLoad.State.SERVING : TargetLoad.State.WARMING;
		int room = leaving ? 0 : room(current);
		return new TargetLoad(told, usedPercent(current, room), this.queue.size(), (int) this.state.stepMillis(), room);
	}

	private int room(Limits current) {
		if (this.queue.size() > 0) {
			return 0;
		}
		PendingRequest typical = new PendingRequest("", "", Priority.NORMAL, TYPICAL_PROMPT_TOKENS, TYPICAL_MAX_TOKENS,
				0);
		if (!this.policy.admits(typical, this.state, current)) {
			return 0;
		}
		return Math.max(1, Math.min(MOST_ROOM, this.state.ramp().limit() - this.state.count()));
	}

	private int usedPercent(Limits current, int room) {
		double memory = forecastPart();
		double step = this.state.steps().predict(this.state.count()) / current.tokenTargetMillis();
		double ramp = this.state.ramp().warm() ? 0 : (double) this.state.count() / this.state.ramp().limit();
		double calls = (this.state.memoryTokens() == 0) ? (double) this.state.count() / current.serviceRequests() : 0;
		int used = (int) (WHOLE_PERCENT * Math.max(Math.max(memory, step), Math.max(ramp, calls)));
		return (room == 0) ? Math.max(WHOLE_PERCENT, used) : Math.min(WHOLE_PERCENT - 1, used);
	}

	/**
	 * Returns the part of the memory that will be in use at the forecast peak. It tells
	 * entry hosts earlier than the memory in use that a target fills up.
	 * @return a part, which may exceed 1; 0 while the memory is unknown
	 */
	private double forecastPart() {
		if (this.state.memoryTokens() == 0) {
			return 0;
		}
		double peak = MemoryForecast.peak(this.state.running(), this.state.caution()) + this.state.foreignTokens();
		return peak / this.state.memoryTokens();
	}

	/**
	 * Returns the state of the target.
	 * @return what is known about the target
	 */
	public AdmissionState state() {
		return this.state;
	}

	/**
	 * Returns the number of waiting requests.
	 * @return number of requests
	 */
	public int waiting() {
		return this.queue.size();
	}

	/**
	 * What becomes of requests. Immutable.
	 *
	 * @param admitted requests to run now
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
	 * @param candidate the request
	 * @param failure the reason, which is always that it did not run
	 */
	public record Refusal(PendingRequest candidate, Failure failure) {
	}

}
