package io.dotterelcrank.process.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.process.overload.RefusalPolicy;
import io.dotterelcrank.process.prefill.PrefillBudget;
import io.dotterelcrank.process.quarantine.Culprit;
import io.dotterelcrank.request.ResultCode;

/**
 * Places one request: chooses its target, has a generation admitted there, and decides
 * whether it waits or is refused while no target can take it. Invariant: a request that
 * is not idempotent waits only while no target may have run it. Confined to the traffic
 * thread.
 */
final class RequestPlacement {

	/** Fraction of the latency goal that a request may wait for a free target. */
	static final double MAX_WAIT_GOAL_FRACTION = 0.6;

	/**
	 * Fraction of the deadline that a request may wait for a free target, if that is
	 * longer: a late response is worth more to its caller than none.
	 */
	static final double MAX_WAIT_DEADLINE_FRACTION = 0.15;

	/**
	 * Fraction of the latency goal after which a waiting generation will miss the goal;
	 * prefill takes the rest.
	 */
	static final double ON_TIME_GOAL_FRACTION = 0.7;

	/** Min retry delay suggested to refused callers, in milliseconds. */
	private static final long MIN_RETRY_AFTER_MILLIS = 200;

	/** Max jitter added to the suggested retry delay, in milliseconds. */
	private static final int RETRY_AFTER_JITTER_MILLIS = 800;

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final Logger logger = LoggerFactory.getLogger(RequestPlacement.class);

	private final RelayedRequest request;

	private final RelayService relayService;

	private final AdmissionRequester admissionRequester;

	/** Whether the loads of some engines were read for this request, or need not be. */
	private boolean loadsSampled;

	private boolean awaitsLoads;

	/**
	 * Delay after which the refused caller may return; 0 unless refused as overloaded or
	 * quarantined.
	 */
	private long returnDelayMillis;

	/** Whether the caller was refused before. */
	private boolean returned;

	/** Whether the request left an engine because its sidecar did not respond. */
	private boolean diverted;

	/** Whether the request has waited to leave room for more urgent ones. */
	private boolean yielded;

	RequestPlacement(RelayedRequest request, RelayService relayService) {
		this.request = request;
		this.relayService = relayService;
		this.admissionRequester = new AdmissionRequester(this, request, relayService);
	}

	/**
	 * Places the request for the first time.
	 */
	void start() {
		this.returned = this.relayService.overloadControl().recordArrival(this.request);
		placeOrEnqueue();
	}

	void placeOrEnqueue() {
		if (!tryPlace()) {
			enqueue();
		}
	}

	/**
	 * Lets the request wait, or ends it if too many do. An idempotent request that is to
	 * be retried may have run.
	 */
	private void enqueue() {
		if (!this.relayService.requests().tryEnqueue(this.request)) {
			this.request.endInFailure(ResultCode.OVERLOADED, "too many requests are waiting");
		}
	}

	/**
	 * Sends the request to a target, or ends it if no target can take it in time.
	 * @return {@code false} if it has to wait
	 */
	boolean tryPlace() {
		if (refusedForItsContent() || refusedForShutdown()) {
			return true;
		}
		if (startsOrAwaitsLoadSample()) {
			return false;
		}
		PlacementStrategy.Demand demand = demandOfNewExecution();
		TargetPool.Choice choice = choose(demand);
		if (choice.target() != null) {
			requestAdmissionOrSend(choice.target(), demand);
			return true;
		}
		if (this.relayService.awaitsFirstTargets()) {
			return false;
		}
		if (!choice.anyAvailable() && !this.request.attempts().triedTargetIds().isEmpty()) {
			this.request.endInFailure(ResultCode.NO_TARGET,
					"no target of service " + this.request.service().name() + " accepts requests");
			return true;
		}
		recordYield(demand);
		return refusedForLackOfCapacity();
	}

	/**
	 * Chooses a target, preferably an engine whose sidecar responds: the state of one
	 * whose sidecar does not is unknown, and it may be silent too.
	 * @param demand resources that the request needs
	 * @return the chosen target, if any
	 */
	private TargetPool.Choice choose(PlacementStrategy.Demand demand) {
		Set<String> unresponsive = idsWithUnresponsiveSidecar();
		TargetPool.Choice choice = chooseExcept(unresponsive, demand);
		return (choice.target() != null || unresponsive.isEmpty()) ? choice : chooseExcept(Set.of(), demand);
	}

	private TargetPool.Choice chooseExcept(Set<String> ids, PlacementStrategy.Demand demand) {
		Set<String> excluded = new HashSet<>(this.request.attempts().triedTargetIds());
		excluded.addAll(ids);
		return this.relayService.targetPool().choose(this.request.service(), demand, excluded);
	}

	private Set<String> idsWithUnresponsiveSidecar() {
		return this.relayService.targetPool()
			.accepting(this.request.service())
			.stream()
			.filter(TrackedTarget::sidecarInBackoff)
			.map(TrackedTarget::id)
			.collect(Collectors.toSet());
	}

	/**
	 * Requests admission, or sends the request if none is needed. A sidecar reserves
	 * memory for a while, so none is asked for a caller that has left.
	 * @param target chosen target
	 * @param demand resources that the request needs
	 */
	private void requestAdmissionOrSend(TrackedTarget target, PlacementStrategy.Demand demand) {
		boolean engine = this.request.service().engine().isPresent();
		if (engine && this.request.attempts().endIfCallerLeft()) {
			return;
		}
		if (!engine || !this.admissionRequester.trySend(target, demand)) {
			sendOrPlaceAgain(target);
		}
	}

	/**
	 * Handles an admission request without a response: another engine is asked, once, and
	 * else the request is sent without admission.
	 * @param target target whose sidecar did not respond
	 */
	void sidecarTimedOut(TrackedTarget target) {
		PlacementStrategy.Demand demand = demandOfNewExecution();
		TrackedTarget other = this.diverted ? null : chooseExcept(idsWithUnresponsiveSidecar(), demand).target();
		if (other == null) {
			sendOrPlaceAgain(target);
			return;
		}
		this.diverted = true;
		LogEvent.REQUEST_DIVERTED.log(logger, this.request.id(), target.id(), other.id());
		this.relayService.metrics().recordDiverted();
		requestAdmissionOrSend(other, demand);
	}

	private boolean refusedForItsContent() {
		Optional<Culprit> culprit = this.request.content().culprit();
		culprit.ifPresent((found) -> {
			LogEvent.REQUEST_QUARANTINED.log(logger, this.request.id(), found.keys(), found.crashes());
			this.relayService.metrics().recordQuarantined();
			this.returnDelayMillis = this.relayService.quarantine().remainingMillis(found);
			this.request.endInFailure(ResultCode.QUARANTINED,
					"requests with " + found.keys() + " have crashed " + found.crashes() + " targets");
		});
		return culprit.isPresent();
	}

	private boolean refusedForShutdown() {
		boolean refused = outlastsShutdown();
		if (refused) {
			this.request.endInFailure(ResultCode.ENTRY_LEAVING, "the entry host is shutting down");
		}
		return refused;
	}

	/**
	 * Returns whether the process may end before the response to a request that is sent
	 * now.
	 * @return {@code true} if the request must not be sent to a target any more
	 */
	boolean outlastsShutdown() {
		return this.relayService.drainState().refusesSend(this.request.streaming(), endsByMillis());
	}

	/**
	 * Returns when the response is expected to end at the latest.
	 * @return time by the clock of the process; the timeout unless the request is a
	 * stream whose size is known
	 */
	private long endsByMillis() {
		long timeoutAtMillis = this.request.timeoutAtMillis();
		if (!this.request.streaming() || this.request.request().traits().isEmpty()) {
			return timeoutAtMillis;
		}
		StreamForecast forecast = new StreamForecast(this.request.statistics(), this.request.tokensPerEvent());
		long nowMillis = this.relayService.clock().millis();
		long streamMillis = Math.min(timeoutAtMillis - nowMillis,
				forecast.maxMillis(this.request.request().traits().get(), this.request.lastEventId() > 0));
		return Math.min(timeoutAtMillis, nowMillis + demand().maxQueueMillis() + streamMillis);
	}

	/**
	 * Ends a request that no target can take now, if it would start too late.
	 * @return {@code false} if it waits
	 */
	private boolean refusedForLackOfCapacity() {
		long pausedMillis = this.relayService.targetPool().pausedMillis(this.request.service());
		if (pausedMillis > 0 && waitedMillis() + pausedMillis > maxWaitMillis()) {
			this.returnDelayMillis = pausedMillis + this.relayService.random().nextInt(RETRY_AFTER_JITTER_MILLIS);
			this.request.endInFailure(ResultCode.OVERLOADED, "no target of service " + this.request.service().name()
					+ " wants requests for " + pausedMillis + " ms");
			return true;
		}
		if (this.request.service().engine().isEmpty()) {
			boolean refused = waitedMillis() > maxWaitMillis();
			if (refused) {
				this.request.endInFailure(ResultCode.OVERLOADED,
						"no target of service " + this.request.service().name() + " can accept the request");
			}
			return refused;
		}
		OverloadControl control = this.relayService.overloadControl();
		RefusalPolicy.WaitEstimate wait = control.estimateWait(this.request, this.relayService.requests().waiting());
		if (!control.refuses(wait)) {
			return false;
		}
		this.returnDelayMillis = control.returnDelayMillis(this.request, wait);
		if (this.yielded) {
			this.relayService.metrics().recordRefusedAfterYield();
		}
		LogEvent.REQUEST_REFUSED.log(logger, this.request.id(), this.request.service().name(), wait.waitedMillis(),
				wait.startMillis(), wait.lateStartMillis(), wait.usefulMillis(), this.returnDelayMillis, this.returned);
		this.request.endInFailure(ResultCode.OVERLOADED,
				"no engine of service " + this.request.service().name() + " has memory in time");
		return true;
	}

	/**
	 * Returns the memory that this request leaves free if it is late, for one that can
	 * still be on time.
	 * @return number of tokens
	 */
	private long reserveTokens() {
		return late() ? this.request.statistics().typicalTotalTokens() : 0;
	}

	private boolean startsOrAwaitsLoadSample() {
		if (!this.loadsSampled && this.request.service().engine().isPresent()) {
			this.loadsSampled = true;
			int size = this.request.resumable() ? LoadSampler.RESUMABLE_SAMPLE_SIZE : LoadSampler.SAMPLE_SIZE;
			this.awaitsLoads = this.relayService.loadSampler().trySample(this.request.service(), size, () -> {
				this.awaitsLoads = false;
				this.relayService.requests().placeWaiting();
			});
		}
		return this.awaitsLoads;
	}

	/**
	 * Sends the request to the chosen target, or places it again if that target no longer
	 * accepts it. Ends it if a shutdown that began after the choice leaves too little
	 * time.
	 * @param target chosen target; it has admitted the request unless it needs no
	 * admission or its sidecar did not respond
	 */
	void sendOrPlaceAgain(TrackedTarget target) {
		if (refusedForShutdown()) {
			return;
		}
		if (!this.request.trySend(target, Optional.empty(), "placed")) {
			placeOrEnqueue();
			return;
		}
		this.relayService.metrics().recordWait(waitedMillis());
	}

	/**
	 * Handles a refusal by the chosen target's sidecar.
	 * @param retryNow whether to choose another target at once instead of at the next
	 * poll
	 */
	void admissionRefused(boolean retryNow) {
		this.relayService.metrics().recordAdmissionRefusal();
		if (retryNow) {
			placeOrEnqueue();
		}
		else {
			enqueue();
		}
	}

	/**
	 * Returns whether the first event can no longer be on time.
	 * @return {@code false} for requests that are no streams
	 */
	boolean late() {
		return this.request.streaming()
				&& waitedMillis() > this.request.route().latencyGoalMillis() * ON_TIME_GOAL_FRACTION;
	}

	/**
	 * Returns whether the caller was refused before.
	 * @return {@code true} for a repeated request
	 */
	boolean returned() {
		return this.returned;
	}

	/**
	 * Returns the delay after which a refused caller may return.
	 * @return delay in milliseconds, positive
	 */
	long retryAfterMillis() {
		return (this.returnDelayMillis > 0) ? this.returnDelayMillis : retryJitterMillis(this.relayService.random());
	}

	/**
	 * Draws a retry delay, so that callers that are refused together return apart.
	 * @param random source of jitter
	 * @return delay in milliseconds
	 */
	static long retryJitterMillis(UniformRandomProvider random) {
		return MIN_RETRY_AFTER_MILLIS + random.nextInt(RETRY_AFTER_JITTER_MILLIS);
	}

	boolean awaitsAdmission() {
		return this.admissionRequester.awaitsResponse();
	}

	/**
	 * Stops waiting for an admission response.
	 */
	void cancel() {
		this.admissionRequester.cancel();
	}

	private long waitedMillis() {
		return this.relayService.clock().millis() - this.request.arrivedAtMillis();
	}

	/**
	 * Returns the longest wait for a free target.
	 * @return time since the arrival, in milliseconds
	 */
	long maxWaitMillis() {
		return (long) Math.max(this.request.route().latencyGoalMillis() * MAX_WAIT_GOAL_FRACTION,
				this.request.request().deadlineMillis() * MAX_WAIT_DEADLINE_FRACTION);
	}

	PlacementStrategy.Demand demand() {
		return PlacementStrategy.Demand.of(this.request.request().traits(), this.relayService.settings().dataCentre(),
				this.relayService.entryHosts(),
				Math.round(this.request.route().latencyGoalMillis() * PrefillBudget.MAX_QUEUE_GOAL_FRACTION));
	}

	/**
	 * Returns the demand of a new execution, which leaves room for more urgent ones.
	 * @return the stricter demand
	 */
	private PlacementStrategy.Demand demandOfNewExecution() {
		PlacementStrategy.Demand demand = demand().withReserve(reserveTokens());
		return this.request.service().engine().isEmpty() ? demand
				: demand.withMaxQueueMillis(prefillBudget().maxQueueMillis(prompt(demand)));
	}

	private PrefillBudget prefillBudget() {
		return this.relayService.overloadControl().prefillBudget(this.request.service());
	}

	private PrefillBudget.Prompt prompt(PlacementStrategy.Demand demand) {
		long prefillMillis = Math
			.round(MILLIS_PER_SECOND * demand.promptTokens() / this.request.statistics().prefillTokensPerSecond());
		return new PrefillBudget.Prompt(prefillMillis, this.request.route().latencyGoalMillis(), waitedMillis());
	}

	private void recordYield(PlacementStrategy.Demand demand) {
		if (!this.yielded && this.request.service().engine().isPresent() && prefillBudget().yields(prompt(demand))) {
			this.yielded = true;
			LogEvent.PROMPT_YIELDS.log(logger, this.request.id(), this.request.service().name(), demand.promptTokens(),
					this.request.route().latencyGoalMillis(), demand.maxQueueMillis());
			this.relayService.metrics().recordYield();
		}
	}

}
