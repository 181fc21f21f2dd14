package io.dotterelcrank.process.relay;

import java.util.Optional;
import java.util.OptionalInt;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Defects;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.overload.WaitingOrder;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.version.plan.RequestKind;
import io.dotterelcrank.version.plan.Route;
import io.dotterelcrank.version.plan.ServiceSpec;
import io.dotterelcrank.version.plan.ServingPlan;
import io.dotterelcrank.version.plan.Workspace;

/**
 * A caller's request from its arrival until its response is complete. Invariants: the
 * caller gets one response, from one execution unless the request is idempotent; a
 * request that may have run is never reported as not run, and is retried only if it is
 * idempotent or if the generation can be resumed from its KV cache. Confined to the
 * traffic thread.
 */
public final class RelayedRequest implements WaitingOrder.Candidate {

	private static final Logger logger = LoggerFactory.getLogger(RelayedRequest.class);

	private final RelayService relayService;

	private final CallerRequest request;

	private final CallerChannel caller;

	private final RequestAttempts attempts;

	private final GenerationResumer resumer;

	private final RequestPlacement placement;

	private final RequestContent content;

	private final StreamProgress progress;

	private Route route;

	private ServiceSpec service;

	private Optional<Workspace> workspace = Optional.empty();

	private Scheduler.ScheduledTask deadlineTimer = () -> {
	};

	/** Whether a target of an ended attempt may have run the request. */
	private boolean mayHaveRun;

	private boolean done;

	RelayedRequest(RelayService relayService, CallerRequest request, CallerChannel caller) {
		this.relayService = relayService;
		this.request = request;
		this.caller = caller;
		this.progress = new StreamProgress(request.arrivedAtMillis());
		this.attempts = new RequestAttempts(this, caller, relayService);
		this.placement = new RequestPlacement(this, relayService);
		this.content = new RequestContent(request, relayService);
		this.resumer = new GenerationResumer(this, relayService);
	}

	void start() {
		ServingPlan plan = this.relayService.plan();
		if (plan == null && this.relayService.awaitsFirstPlan() && this.relayService.requests().tryEnqueue(this)) {
			this.deadlineTimer = this.relayService.trafficThread()
				.schedule(this.request.deadlineAtMillis() - now(), this::deadlineExceeded);
			return;
		}
		if (plan == null) {
			endWithError(Failure.notRun(ResultCode.NOT_READY, "no configuration received yet"));
			return;
		}
		try {
			RouteResolver.Resolution resolution = RouteResolver.resolve(this.request, plan,
					this.relayService.planAgeMillis(), this.relayService.settings().configMillis());
			this.route = resolution.route();
			this.service = resolution.service();
			this.workspace = resolution.workspace();
		}
		catch (RequestException ex) {
			endWithError(ex.failure());
			return;
		}
		if (this.route.resumable()) {
			this.request.lastEventId().ifPresent((eventId) -> {
				LogEvent.CALLER_RESUMES.log(logger, this.request.id(), this.route.name(), eventId);
				this.progress.recordResume(eventId);
			});
		}
		startPlacement();
	}

	private void startPlacement() {
		if (this.relayService.drainState().refusesRequests() || this.placement.outlastsShutdown()) {
			endWithError(Failure.notRun(ResultCode.ENTRY_LEAVING, "the entry host is shutting down"));
			return;
		}
		long remainingMillis = timeoutAtMillis() - now();
		if (remainingMillis <= 0) {
			endWithError(Failure.notRun(ResultCode.OVERLOADED, "the deadline passed before the request was sent"));
			return;
		}
		this.deadlineTimer.cancel();
		this.deadlineTimer = this.relayService.trafficThread().schedule(remainingMillis, this::deadlineExceeded);
		this.relayService.retryBudget(this.service.name()).recordRequest();
		this.request.traits()
			.ifPresent((traits) -> statistics().recordArrival(traits.promptTokens(), traits.expectedTotalTokens()));
		this.placement.start();
	}

	long timeoutAtMillis() {
		return this.request.arrivedAtMillis() + Math.min(this.request.deadlineMillis(), this.route.timeoutMillis());
	}

	/**
	 * Sends the request to a target, or ends it if no target can take it in time.
	 * @return {@code false} if it has to wait
	 */
	boolean tryPlace() {
		if (this.done) {
			return true;
		}
		return (this.route != null) ? this.placement.tryPlace() : tryStartAfterPlanWait();
	}

	/**
	 * Starts a request that waited for the first plan.
	 * @return {@code false} if it has to wait longer
	 */
	private boolean tryStartAfterPlanWait() {
		if (this.relayService.awaitsFirstPlan()) {
			return false;
		}
		start();
		return this.done || this.placement.awaitsAdmission() || !this.attempts.isEmpty();
	}

	@Override
	public boolean late() {
		return this.route != null && this.placement.late();
	}

	@Override
	public boolean returned() {
		return this.placement.returned();
	}

	@Override
	public long arrivedAtMillis() {
		return this.request.arrivedAtMillis();
	}

	PlacementStrategy.Demand demand() {
		return this.placement.demand();
	}

	long maxWaitMillis() {
		return this.placement.maxWaitMillis();
	}

	int tokensPerEvent() {
		return this.service.engine().map(ServiceSpec.EngineSpec::tokensPerEvent).orElse(1);
	}

	GenerationStatistics statistics() {
		return this.relayService.targetPool().statistics(this.service);
	}

	/**
	 * Sends the request to a target.
	 * @param chosen target to send to
	 * @param resumeFrom copy of the KV cache to resume from; empty for a new execution
	 * @param cause reason of the send, for logs and metrics
	 * @return {@code false} if the target does not accept the request any more, or the
	 * request's content is known to crash targets
	 */
	boolean trySend(TrackedTarget chosen, Optional<TargetRequest.KvCopy> resumeFrom, String cause) {
		if (this.content.culprit().isPresent()
				|| !this.relayService.targetPool().allowsSend(chosen, this.service, this.relayService.entryHosts())) {
			return false;
		}
		Optional<TrackedTarget> backupHolder = resumable() ? this.resumer.holderChoice().forBackup(chosen)
				: Optional.empty();
		RelayAttempt attempt = this.attempts.send(chosen, backupHolder, resumeFrom, cause);
		if (resumeFrom.isEmpty()) {
			this.resumer.updateSource(attempt);
		}
		return true;
	}

	boolean resumable() {
		return this.resumer.applies();
	}

	boolean streaming() {
		return this.route.kind() == RequestKind.STREAMING;
	}

	@Override
	public int priority() {
		int routePriority = (this.route != null) ? this.route.priority() : 0;
		return this.workspace.map(Workspace::priority).orElse(OptionalInt.empty()).orElse(routePriority);
	}

	long now() {
		return this.relayService.clock().millis();
	}

	GenerationResumer resumer() {
		return this.resumer;
	}

	/**
	 * Resumes the generation elsewhere if its engine is draining or stalled, or hedges a
	 * slow idempotent request.
	 */
	void poll() {
		if (this.done) {
			return;
		}
		if (this.attempts.isEmpty()) {
			this.resumer.advance();
			return;
		}
		if (this.attempts.size() > 1) {
			return;
		}
		if (resumable()) {
			this.resumer.poll();
		}
		else {
			this.attempts.hedgeIfDue();
		}
	}

	private void deadlineExceeded() {
		this.relayService.requests()
			.runOrEnd(this,
					() -> endInFailure(ResultCode.DEADLINE_EXCEEDED, "no complete response before the deadline"));
	}

	/**
	 * Ends the request without a complete response: aborts a started response, otherwise
	 * sends an error that states whether the request may have run.
	 * @param code cause of the failure
	 * @param message description of the failure, for logs and the error message
	 */
	void endInFailure(ResultCode code, String message) {
		if (responseStarted()) {
			end("cut", message, this.caller::abort);
			return;
		}
		endWithError(RetryPolicy.finalFailure(code, this.mayHaveRun || this.attempts.anyWriteStarted(), message));
	}

	/**
	 * Ends the request after a defect, in whatever state it is.
	 */
	void abandon() {
		Defects.runAll(() -> endInFailure(ResultCode.INTERNAL, "internal error"), () -> this.done = true, this::release,
				this.caller::abort);
	}

	/**
	 * Records that a target may have run the request.
	 */
	void recordPossibleRun() {
		this.mayHaveRun = true;
	}

	void endWithError(Failure failure) {
		Failure reported = (failure.ran() == Ran.NO) ? failure.withRetryAfter(this.placement.retryAfterMillis())
				: failure;
		end(failure.code().name(), failure.message(), () -> this.caller.sendError(reported));
	}

	/**
	 * Ends the request, once. Its caller is told even if anything before that fails.
	 * @param outcome kind of the end, for logs and metrics
	 * @param message description of the end, for logs
	 * @param response tells the caller
	 */
	private void end(String outcome, String message, Runnable response) {
		if (!this.done) {
			this.done = true;
			Defects.runAll(this::release, () -> recordEnd(outcome, message), response);
		}
	}

	/** Frees what the request holds; also what is left after a defect. */
	private void release() {
		Defects.runAll(this.deadlineTimer::cancel, this.placement::cancel, this.attempts::cancelAll,
				this.resumer::freeUnusedCopies, () -> this.relayService.requests().remove(this));
	}

	private void recordEnd(String outcome, String message) {
		long millis = now() - this.request.arrivedAtMillis();
		String kind = (this.route != null) ? this.route.kind().name() : "UNROUTED";
		LogEvent.REQUEST_ENDED.log(logger, this.request.id(), kind, outcome, millis, this.progress.firstEventMillis(),
				this.progress.maxEventGapMillis(), this.attempts.sendCount(), lastEventId(), message);
		this.relayService.metrics().recordEnd(kind, outcome, millis);
	}

	/**
	 * Cancels all attempts after the caller has closed its connection.
	 */
	public void callerDisconnected() {
		this.relayService.requests().run(this, this.attempts::logLateClose);
		this.relayService.requests().runOrEnd(this, () -> end("caller-gone", "the caller closed its connection", () -> {
		}));
	}

	/**
	 * Pauses or resumes reading from the targets.
	 * @param writable whether the caller's connection accepts more bytes
	 */
	public void callerWritabilityChanged(boolean writable) {
		this.relayService.requests().run(this, () -> {
			this.progress.recordReadPaused(!writable, now());
			this.attempts.setReadEnabled(writable);
		});
	}

	/**
	 * Resumes, retries or fails the request, unless another attempt is still under way.
	 * @param attempt attempt that ended without a complete response, already removed
	 * @param ran whether its target has run the request
	 * @param reason cause of the failure, for logs and the error message
	 */
	void attemptFailed(RelayAttempt attempt, Ran ran, String reason) {
		this.mayHaveRun |= ran != Ran.NO;
		LogEvent.SEND_FAILED.log(logger, this.request.id(), attempt.target().id(), ran.word(), reason);
		this.resumer.recordFailure(attempt, ran);
		if (this.done || !this.attempts.isEmpty()) {
			return;
		}
		if (resumable() && (responseStarted() || this.mayHaveRun)) {
			this.resumer.resumeAfterFailure(reason);
		}
		else if (tryObtainRetry()) {
			this.placement.placeOrEnqueue();
		}
		else {
			endInFailure(ResultCode.OVERLOADED, reason);
		}
	}

	private boolean tryObtainRetry() {
		return RetryPolicy.allowsResend(this.route, this.attempts.sendCount(), this.mayHaveRun)
				&& this.relayService.obtainsRetryPermit(this.service.name());
	}

	/**
	 * Makes an attempt whose stream has started the only one and cancels all others.
	 * @param attempt attempt that streams
	 * @param head head of its response; forwarded unless a response has already started
	 */
	void streamStarted(RelayAttempt attempt, TargetClient.ResponseHead head) {
		this.attempts.cancelAllExcept(attempt);
		this.resumer.updateSource(attempt);
		if (!responseStarted()) {
			this.progress.recordStart(now());
			this.caller.startResponse(head.status(), head.headers());
		}
		else {
			this.relayService.metrics().recordResume("done");
			LogEvent.RESUME_COMPLETED.log(logger, this.request.id(), attempt.target().id(), lastEventId(),
					silentMillis());
		}
	}

	/**
	 * Forwards an event unless the caller already has it. Rejects the attempt's response
	 * if it is no event, event ids were skipped, or an event of a generation has none.
	 * @param attempt attempt that received the event
	 * @param event the event, with its bytes unchanged
	 * @return {@code false} if the attempt was rejected
	 */
	boolean forwardEvent(RelayAttempt attempt, EventFramer.Event event) {
		boolean numbered = streaming() && this.request.traits().isPresent();
		Optional<String> fault = this.progress.fault(event, numbered, attempt.resumed());
		fault.ifPresent(attempt::rejectResponse);
		if (fault.isPresent() || this.progress.contains(event)) {
			return fault.isEmpty();
		}
		if (this.progress.recordEvent(event, now())) {
			attempt.recordFirstEvent(statistics());
			this.relayService.metrics().recordFirstEvent(demand().promptTokens(), this.progress.firstEventMillis());
		}
		this.caller.write(event.bytes());
		if (!this.caller.writable()) {
			this.progress.recordReadPaused(true, now());
			attempt.setReadEnabled(false);
		}
		return true;
	}

	void streamCompleted() {
		this.progress.recordCompletion(statistics(), demand().promptTokens(), tokensPerEvent());
		end("served", "stream complete", this.caller::end);
	}

	/**
	 * Forwards a complete response, unless its status promises callers that the request
	 * has not run, or retries an idempotent request after a failure.
	 * @param head head of the response
	 * @param body whole body
	 */
	void responseReceived(TargetClient.ResponseHead head, byte[] body) {
		if ((head.serverError() || head.refusal()) && retriesOrAwaitsOtherAttempt()) {
			return;
		}
		if (head.refusal()) {
			endWithError(RetryPolicy.refusalAfterRun(head.status()));
			return;
		}
		end(head.success() ? "served" : "failed-by-target", "status " + head.status(),
				() -> this.caller.sendResponse(head.status(), head.headers(), body));
	}

	private boolean retriesOrAwaitsOtherAttempt() {
		this.mayHaveRun = true;
		return this.route.kind() == RequestKind.IDEMPOTENT
				&& (!this.attempts.isEmpty() || (tryObtainRetry() && this.placement.tryPlace()));
	}

	boolean responseStarted() {
		return this.progress.started();
	}

	/**
	 * Returns the id of the last event that the caller has, from this response or from
	 * the one that it resumes.
	 * @return the id; 0 before the first event
	 */
	long lastEventId() {
		return this.progress.lastEventId();
	}

	/**
	 * Returns for how long the engine has sent no event although events were read.
	 * @return time in milliseconds; 0 before the response has started
	 */
	long silentMillis() {
		return responseStarted() ? this.progress.silentMillis(now()) : 0;
	}

	String id() {
		return this.request.id();
	}

	Route route() {
		return this.route;
	}

	CallerRequest request() {
		return this.request;
	}

	Optional<Workspace> workspace() {
		return this.workspace;
	}

	RequestContent content() {
		return this.content;
	}

	RequestAttempts attempts() {
		return this.attempts;
	}

	boolean done() {
		return this.done;
	}

	ServiceSpec service() {
		return this.service;
	}

}
