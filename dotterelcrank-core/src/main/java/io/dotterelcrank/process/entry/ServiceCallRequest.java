package io.dotterelcrank.process.entry;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import io.dotterelcrank.common.RendezvousHash;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.claim.ClaimKey;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.request.ServiceCall;

/**
 * Call of a caller to a plain service. A call that must not be retried first reserves an
 * admission slot, so that it is sent only to a target that responds. Invariants: an
 * attempt that may have run is followed by another only if the call is idempotent or has
 * an idempotency key; the caller gets one result. Confined to the control thread.
 */
final class ServiceCallRequest extends AbstractRequest {

	/**
	 * How long to wait until a target with a lost session reports the outcome of the
	 * call.
	 */
	static final long QUERY_TIMEOUT_MILLIS = 5_000;

	/**
	 * Fraction of the remaining time reserved for returning the response, as a divisor.
	 */
	private static final long RESPONSE_MARGIN_DIVISOR = 10;

	/** Max time reserved for returning the response. */
	private static final long MAX_RESPONSE_MARGIN_MILLIS = 200;

	private final CallListener listener;

	/** The call; its id is replaced with each attempt. */
	private ServiceCall call;

	private Stage stage = Stage.CONNECTING;

	/** Incarnation of the sidecar to which the call was sent; 0 if not sent. */
	private long sentToIncarnation;

	/** Whether the current target was chosen because it holds the claim on the key. */
	private boolean redirectedToHolder;

	/** Whether the claim in the log is marked as completed. */
	private boolean claimCompleted;

	private boolean targetTimeoutStarted;

	/** Abandons the target if no session opens, or no outcome is reported, in time. */
	private Scheduler.ScheduledTask targetTimeout = () -> {
	};

	ServiceCallRequest(EntryProcess entry, RequestHandle handle, ServiceCall call, CallListener listener) {
		super(entry, handle, call.deadlineMillis());
		this.call = call;
		this.listener = listener;
	}

	/**
	 * Starts the call.
	 */
	void start() {
		startDeadlineTimer();
		startAttempt();
	}

	@Override
	Ran ranIfAbandoned() {
		return (this.stage == Stage.SENT) ? Ran.UNKNOWN : Ran.NO;
	}

	private void startAttempt() {
		Predicate<HostList.Host> servesRequest = (host) -> host.service().equals(this.call.service())
				&& host.role() == HostList.Role.SERVICE;
		Optional<TargetLink> chosen = this.call.hasIdempotencyKey() ? choosePartitionTarget(servesRequest)
				: entry().targets().choose(servesRequest, this.call.workspace(), triedTargets());
		if (chosen.isEmpty() && rereadHostList(servesRequest, this::startAttempt)) {
			return;
		}
		if (chosen.isEmpty()) {
			fail(noTargetFailure(servesRequest,
					Failure.notRun(ResultCode.UNKNOWN_SERVICE, "no target serves the service " + this.call.service())));
			return;
		}
		startAttemptAt(chosen.get());
	}

	/**
	 * Chooses the target that usually writes the claims of the key's partition. Any other
	 * target would be correct as well, since the log decides.
	 * @param servesRequest matches the targets that serve the request
	 * @return the target; empty if no remaining target accepts new work
	 */
	private Optional<TargetLink> choosePartitionTarget(Predicate<HostList.Host> servesRequest) {
		String partition = ClaimKey.stream(ClaimKey.of(this.call.claimKey()).partition());
		List<HostList.Host> ranked = RendezvousHash.rank(partition, entry().targets().eligibleHosts(servesRequest),
				HostList.Host::name);
		return ranked.stream()
			.filter((host) -> !triedTargets().contains(host.name()))
			.findFirst()
			.flatMap((host) -> entry().targets().find(host.name()));
	}

	private void startAttemptAt(TargetLink chosen) {
		beginAttempt(chosen);
		this.call = this.call.withId(entry().nextId(this.call.workspace()));
		this.stage = Stage.CONNECTING;
		chosen.attach(this);
		if (chosen.open()) {
			sendFirstMessage();
		}
		else {
			startTargetTimeout(EntryProcess.CONNECT_TIMEOUT_MILLIS);
		}
	}

	/**
	 * Sends the first message of the attempt. Must be called on an open session, so that
	 * the process that may have received it is known.
	 */
	private void sendFirstMessage() {
		boolean reservationNeeded = !this.call.idempotent() && !this.call.hasIdempotencyKey();
		if (reservationNeeded) {
			this.stage = Stage.RESERVING;
			target().send(new Message.Reserve(this.call.id(), this.call.workspace(), this.call.priority()));
		}
		else {
			sendCall();
		}
	}

	private void sendCall() {
		this.stage = Stage.SENT;
		this.sentToIncarnation = target().sidecarIncarnation();
		target().send(invokeMessage());
	}

	private Message invokeMessage() {
		long remainingMillis = remainingMillis();
		long marginMillis = Math.min(MAX_RESPONSE_MARGIN_MILLIS, remainingMillis / RESPONSE_MARGIN_DIVISOR);
		return new Message.Invoke(this.call.withDeadline(remainingMillis - marginMillis));
	}

	@Override
	void notifyFailed(Failure failure) {
		this.listener.failed(failure);
	}

	@Override
	public String id() {
		return this.call.id();
	}

	@Override
	public void handle(Message message) {
		if (endedOrCallerLeft()) {
			return;
		}
		cancelTargetTimeout();
		if (message instanceof Message.Reserved && this.stage == Stage.RESERVING) {
			sendCall();
		}
		else if (message instanceof Message.CallResponse response) {
			entry().targets().recordSuccess(target(), elapsedMillis());
			finish();
			this.listener.responseReceived(response.response());
		}
		else if (message instanceof Message.Failed failed) {
			handleFailure(failed.failure());
		}
		else if (message instanceof Message.ClaimedElsewhere claimed) {
			redirectToHolder(claimed);
		}
	}

	/**
	 * Sends the call to the target that holds the claim, to get the outcome from it.
	 * @param claim target that holds the claim
	 */
	private void redirectToHolder(Message.ClaimedElsewhere claim) {
		Optional<TargetLink> holder = entry().targets().find(claim.target());
		this.claimCompleted |= claim.done();
		setRequestMayHaveRun(true);
		if (holder.isEmpty() || attemptCount() >= MAX_ATTEMPTS) {
			fail(holderUnreachable());
			return;
		}
		target().detach(this);
		this.redirectedToHolder = true;
		startAttemptAt(holder.get());
	}

	private Failure holderUnreachable() {
		return this.claimCompleted
				? new Failure(ResultCode.KEY_ANSWER_GONE, Ran.YES, 0,
						"the call ran, but its response is no longer kept")
				: Failure.mayHaveRun(ResultCode.KEY_OUTCOME_UNKNOWN,
						"the target that claimed the idempotency key could not be reached");
	}

	private void handleFailure(Failure failure) {
		boolean lostKeyedCall = this.call.hasIdempotencyKey() && failure.code() == ResultCode.TARGET_LOST;
		boolean safeToRetry = failure.ran() == Ran.NO || this.call.idempotent() || lostKeyedCall;
		boolean retryableElsewhere = failure.code().retryableOnAnotherTarget()
				|| failure.code() == ResultCode.TARGET_FAILED;
		if (failure.code() == ResultCode.TARGET_LOST || failure.code() == ResultCode.TARGET_FAILED) {
			entry().targets().recordFailure(target());
		}
		recordFailure(failure);
		setRequestMayHaveRun(requestMayHaveRun() && !holderConfirmsNotRun(failure));
		boolean claimUnconfirmed = failure.code() == ResultCode.CLAIM_UNCONFIRMED;
		if (safeToRetry && retryableElsewhere && !claimUnconfirmed && !this.redirectedToHolder
				&& tryAcquireRetry(failure)) {
			target().detach(this);
			startAttempt();
			return;
		}
		fail(failure);
	}

	/**
	 * Returns whether the target that holds the claim has confirmed that this call did
	 * not run: its service could not be reached, or the key was used with other content.
	 * @param failure failure of the attempt at that target
	 * @return {@code false} for failures before that target has checked the claim
	 */
	private boolean holderConfirmsNotRun(Failure failure) {
		boolean claimChecked = failure.code() == ResultCode.TARGET_LOST || failure.code() == ResultCode.KEY_REUSED;
		return this.redirectedToHolder && failure.ran() == Ran.NO && claimChecked;
	}

	@Override
	public void sessionLost() {
		if (endedOrCallerLeft()) {
			return;
		}
		// The call was not sent, or may run twice: no need to query its outcome.
		if (this.stage == Stage.RESERVING || this.call.idempotent() && !this.call.hasIdempotencyKey()) {
			abandonTarget();
		}
		else if (!this.targetTimeoutStarted) {
			startTargetTimeout(QUERY_TIMEOUT_MILLIS);
		}
	}

	private void startTargetTimeout(long timeoutMillis) {
		cancelTargetTimeout();
		this.targetTimeoutStarted = true;
		this.targetTimeout = entry().scheduler().schedule(timeoutMillis, this::abandonTarget);
	}

	@Override
	void cancelTargetTimeout() {
		this.targetTimeoutStarted = false;
		this.targetTimeout.cancel();
	}

	/**
	 * Abandons a target that cannot be reached; the request may still choose it again. An
	 * attempt that only reserved an admission slot did not run, since the call itself was
	 * never sent.
	 */
	private void abandonTarget() {
		if (endedOrCallerLeft()) {
			return;
		}
		cancelAttempt();
		if (this.redirectedToHolder) {
			fail(holderUnreachable());
			return;
		}
		boolean notSent = this.stage != Stage.SENT;
		setRequestMayHaveRun(requestMayHaveRun() || !notSent);
		boolean keyed = this.call.hasIdempotencyKey();
		triedTargets().remove(target().host().name());
		if ((notSent || keyed || this.call.idempotent()) && tryAcquireRetry()) {
			target().detach(this);
			startAttempt();
			return;
		}
		fail(new Failure(ResultCode.TARGET_LOST, notSent ? Ran.NO : Ran.UNKNOWN, 0,
				"the target could not be reached in time"));
	}

	@Override
	public void sessionOpened(long sidecarIncarnation) {
		if (endedOrCallerLeft()) {
			return;
		}
		if (this.stage == Stage.CONNECTING) {
			cancelTargetTimeout();
			sendFirstMessage();
			return;
		}
		if (this.stage == Stage.SENT && this.sentToIncarnation != sidecarIncarnation) {
			cancelTargetTimeout();
			setRequestMayHaveRun(true);
			handleFailure(
					new Failure(ResultCode.TARGET_LOST, Ran.UNKNOWN, 0, "the sidecar of the target was replaced"));
			return;
		}
		startTargetTimeout(QUERY_TIMEOUT_MILLIS);
		target().send(new Message.QueryOutcome(this.call.id()));
	}

	/**
	 * Progress of an attempt.
	 */
	private enum Stage {

		/** Waits for a session; nothing has been sent. */
		CONNECTING,

		/** Waits for an admission slot; the call itself has not been sent. */
		RESERVING,

		/** The call has been sent and may have run. */
		SENT

	}

}
