package io.dotterelcrank.process.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.ExecutionContext;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.admission.AdmissionController;
import io.dotterelcrank.process.admission.PendingRequest;
import io.dotterelcrank.process.claim.ClaimKey;
import io.dotterelcrank.process.claim.ClaimLedger;
import io.dotterelcrank.process.claim.Claims;
import io.dotterelcrank.process.platform.ServiceClient;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.request.ServiceResponse;

/**
 * Calls to one plain service. Invariants: an attempt is sent to the service at most once;
 * a call with an idempotency key is sent only after its claim on the key was won; an
 * attempt reported as not run is never sent. Confined to the control thread.
 */
final class Calls {

	/**
	 * How long ended attempts are kept; longer than any deadline.
	 */
	static final long RETENTION_MILLIS = 900_000;

	/** How long a reserved admission slot waits for its call. */
	static final long RESERVATION_TIMEOUT_MILLIS = 5_000;

	/** Max total size of the response bodies kept for duplicate requests. */
	static final long MAX_CACHED_RESPONSE_BYTES = 8L * 1024 * 1024;

	private final SidecarIdentity identity;

	private final ServiceClient service;

	private final AdmissionController admission;

	private final Claims claims;

	private final Clock clock;

	/** Runs tasks on the control thread. */
	private final Scheduler scheduler;

	/** Open and recently ended attempts by id. */
	private final Map<String, CallAttempt> attempts = new HashMap<>();

	private long cachedResponseBytes;

	Calls(SidecarIdentity identity, ServiceClient service, AdmissionController admission, Claims claims,
			ExecutionContext context) {
		this.identity = identity;
		this.service = service;
		this.admission = admission;
		this.claims = claims;
		this.clock = context.clock();
		this.scheduler = context.scheduler();
	}

	/**
	 * Handles a request to reserve an admission slot. Duplicates are ignored.
	 * @param link link on which the request was received
	 * @param reserve the request
	 */
	void reserve(Link link, Message.Reserve reserve) {
		if (this.attempts.containsKey(reserve.id())) {
			return;
		}
		CallAttempt attempt = register(reserve.id(), link);
		attempt.onAdmitted = () -> {
			attempt.send(new Message.Reserved(reserve.id()));
			this.scheduler.schedule(RESERVATION_TIMEOUT_MILLIS, () -> expireReservation(attempt));
		};
		submit(reserve.id(), reserve.workspace(), reserve.priority(), RESERVATION_TIMEOUT_MILLIS);
	}

	private void expireReservation(CallAttempt attempt) {
		if (attempt.stage == Stage.RESERVED) {
			fail(attempt, Failure.notRun(ResultCode.DEADLINE_EXCEEDED,
					"the call for the reserved admission slot did not arrive in time"));
		}
	}

	/**
	 * Handles a call, which may follow a reservation. Duplicates are ignored.
	 * @param link link on which the call was received
	 * @param call the call
	 */
	void invoke(Link link, ServiceCall call) {
		CallAttempt attempt = this.attempts.get(call.id());
		if (attempt != null && attempt.stage == Stage.RESERVED) {
			attempt.setCall(call, this.clock.millis());
			claimOrSend(attempt);
			return;
		}
		if (attempt != null) {
			return;
		}
		CallAttempt newAttempt = register(call.id(), link);
		newAttempt.setCall(call, this.clock.millis());
		newAttempt.onAdmitted = () -> claimOrSend(newAttempt);
		submit(call.id(), call.workspace(), call.priority(), call.deadlineMillis());
	}

	/**
	 * Returns whether an attempt is tracked.
	 * @param id id of the attempt
	 * @return {@code true} if it was received before and has not been removed
	 */
	boolean isKnown(String id) {
		return this.attempts.containsKey(id);
	}

	private CallAttempt register(String id, Link link) {
		CallAttempt attempt = new CallAttempt(id, link);
		this.attempts.put(id, attempt);
		return attempt;
	}

	private void submit(String id, String workspace, Priority priority, long remainingMillis) {
		long deadlineMillis = this.clock.millis() + remainingMillis;
		applyOutcome(this.admission.submit(new PendingRequest(id, workspace, priority, 0, 0, deadlineMillis)));
	}

	private void applyOutcome(AdmissionController.Outcome outcome) {
		for (PendingRequest request : outcome.admitted()) {
			CallAttempt attempt = this.attempts.get(request.id());
			attempt.stage = Stage.RESERVED;
			attempt.onAdmitted.run();
		}
		outcome.refused().forEach((refusal) -> fail(this.attempts.get(refusal.request().id()), refusal.failure()));
	}

	private void claimOrSend(CallAttempt attempt) {
		if (attempt.call.hasIdempotencyKey()) {
			attempt.stage = Stage.CLAIMING;
			long remainingMillis = attempt.deadlineMillis - this.clock.millis();
			this.claims.claim(attempt.call.withDeadline(remainingMillis), new ClaimListener(attempt));
		}
		else {
			sendToService(attempt);
		}
	}

	private void sendToService(CallAttempt attempt) {
		long remainingMillis = attempt.deadlineMillis - this.clock.millis();
		if (remainingMillis <= 0) {
			releaseClaim(attempt);
			fail(attempt, Failure.notRun(ResultCode.DEADLINE_EXCEEDED, "the deadline passed before the call was sent"));
			return;
		}
		attempt.stage = Stage.SENT;
		this.service.invoke(attempt.call.withDeadline(remainingMillis), new ServiceClient.Listener() {

			@Override
			public void responseReceived(ServiceResponse response) {
				Calls.this.scheduler.execute(() -> complete(attempt, response));
			}

			@Override
			public void failed(boolean reached, String message) {
				Calls.this.scheduler.execute(() -> handleServiceFailure(attempt, reached, message));
			}

		});
	}

	private void complete(CallAttempt attempt, ServiceResponse response) {
		if (attempt.call.hasIdempotencyKey()) {
			this.claims.recordCompleted(ClaimKey.of(attempt.call.claimKey()), attempt.id);
		}
		finish(attempt, response, new Message.CallResponse(attempt.id, response, this.admission.load(false)));
	}

	private void handleServiceFailure(CallAttempt attempt, boolean reached, String message) {
		if (!reached) {
			releaseClaim(attempt);
			fail(attempt, Failure.notRun(ResultCode.TARGET_LOST, message));
			return;
		}
		fail(attempt, Failure.mayHaveRun(ResultCode.TARGET_FAILED, message));
	}

	private void releaseClaim(CallAttempt attempt) {
		if (attempt.call.hasIdempotencyKey()) {
			this.claims.release(ClaimKey.of(attempt.call.claimKey()), attempt.id);
		}
	}

	private void fail(CallAttempt attempt, Failure failure) {
		finish(attempt, null, new Message.Failed(attempt.id, failure, this.admission.load(false)));
	}

	private void finish(CallAttempt attempt, ServiceResponse response, Message result) {
		if (attempt.stage == Stage.ENDED) {
			return;
		}
		boolean admitted = attempt.stage != Stage.WAITING;
		attempt.stage = Stage.ENDED;
		attempt.result = result;
		attempt.send(result);
		attempt.resultListeners.forEach((listener) -> listener.accept(attempt));
		attempt.resultListeners.clear();
		cacheResponse(attempt, response);
		this.scheduler.schedule(RETENTION_MILLIS, () -> remove(attempt));
		if (admitted) {
			applyOutcome(this.admission.finish(attempt.id, response != null));
		}
	}

	/**
	 * Keeps a response for duplicate requests. Above {@link #MAX_CACHED_RESPONSE_BYTES}
	 * only the fact that the call ran is kept.
	 * @param attempt the attempt
	 * @param response the response, or {@code null} if the attempt failed
	 */
	private void cacheResponse(CallAttempt attempt, ServiceResponse response) {
		long bytes = (response != null) ? response.body().length : 0;
		if (response != null && this.cachedResponseBytes + bytes > MAX_CACHED_RESPONSE_BYTES) {
			attempt.result = new Message.Failed(attempt.id, responseNotCached(), this.admission.load(false));
			return;
		}
		attempt.cachedResponseBytes = bytes;
		this.cachedResponseBytes += bytes;
	}

	private void remove(CallAttempt attempt) {
		this.attempts.remove(attempt.id);
		this.cachedResponseBytes -= attempt.cachedResponseBytes;
	}

	private static Failure responseNotCached() {
		return new Failure(ResultCode.KEY_ANSWER_GONE, Ran.YES, 0, "the call ran, but its response is no longer kept");
	}

	/**
	 * Reports the outcome of an attempt to a newer session. An unknown attempt is
	 * reported as not received. It cannot arrive later, since the older sessions that
	 * could deliver it are fenced.
	 * @param link link of the newer session
	 * @param id id of the attempt
	 */
	void reportOutcome(Link link, String id) {
		CallAttempt attempt = this.attempts.get(id);
		if (attempt == null) {
			link.send(new Message.Failed(id, Failure.notRun(ResultCode.NOT_RECEIVED, "the call was not received"),
					this.admission.load(false)));
			return;
		}
		attempt.link = link;
		if (attempt.stage == Stage.ENDED) {
			link.send(attempt.result);
		}
		else if (attempt.stage == Stage.RESERVED && attempt.call == null) {
			fail(attempt, Failure.notRun(ResultCode.NOT_RECEIVED, "the call was not received"));
		}
	}

	/**
	 * Cancels an attempt unless it has been sent to the service. An unknown attempt is
	 * recorded as cancelled, so that it is not started if it arrives later.
	 * @param link link on which the cancellation was received
	 * @param id id of the attempt
	 */
	void cancel(Link link, String id) {
		CallAttempt attempt = this.attempts.get(id);
		if (attempt == null) {
			CallAttempt unknown = register(id, link);
			unknown.stage = Stage.WAITING;
			fail(unknown, Failure.notRun(ResultCode.CANCELLED, "cancelled"));
			return;
		}
		if (attempt.stage == Stage.WAITING) {
			this.admission.cancel(id);
		}
		if (attempt.stage == Stage.CLAIMING) {
			this.claims.abandon(ClaimKey.of(attempt.call.claimKey()), id);
		}
		if (attempt.stage != Stage.SENT && attempt.stage != Stage.ENDED) {
			fail(attempt, Failure.notRun(ResultCode.CANCELLED, "cancelled"));
		}
	}

	/**
	 * Ends the calls that wait for a closed link whose entry process abandons them with
	 * the session. Whoever still asks for a reserved one learns that its call was not
	 * received.
	 * @param link the closed link
	 */
	void linkClosed(Link link) {
		for (CallAttempt attempt : List.copyOf(this.attempts.values())) {
			if (attempt.link == link && attempt.endsWithSession()) {
				this.admission.cancel(attempt.id);
				fail(attempt, Failure.notRun(ResultCode.NOT_RECEIVED, "the call was not received"));
			}
		}
	}

	/**
	 * Admits waiting calls that fit now, and refuses those that waited too long.
	 */
	void admitWaiting() {
		applyOutcome(this.admission.admitWaiting());
	}

	/**
	 * Returns the number of calls that have not ended.
	 * @return attempts in any stage before {@link Stage#ENDED}
	 */
	int openCount() {
		return (int) this.attempts.values().stream().filter((attempt) -> attempt.stage != Stage.ENDED).count();
	}

	/**
	 * Returns the number of tracked attempts.
	 * @return open and ended attempts
	 */
	int size() {
		return this.attempts.size();
	}

	/**
	 * Progress of an attempt.
	 */
	private enum Stage {

		/** Waits for admission. */
		WAITING,

		/** Admitted. The call itself may be missing after a reservation. */
		RESERVED,

		/** Waits for the result of its claim on the idempotency key. */
		CLAIMING,

		/** Sent to the service. */
		SENT,

		/** Response or failure sent to the entry process. */
		ENDED

	}

	/**
	 * One attempt of a call at this target.
	 */
	private static final class CallAttempt {

		private final String id;

		/** Link of the newest session that asked for the result. */
		private Link link;

		/** {@code null} while only an admission slot is reserved. */
		private ServiceCall call;

		private Stage stage = Stage.WAITING;

		private Runnable onAdmitted = () -> {
		};

		/** By the clock of this process. */
		private long deadlineMillis;

		/** Message to send if the outcome is queried later; {@code null} while open. */
		private Message result;

		private long cachedResponseBytes;

		/** Pass the result on to other attempts with the same idempotency key. */
		private final List<Consumer<CallAttempt>> resultListeners = new ArrayList<>();

		CallAttempt(String id, Link link) {
			this.id = id;
			this.link = link;
		}

		private void setCall(ServiceCall receivedCall, long nowMillis) {
			this.call = receivedCall;
			this.deadlineMillis = nowMillis + receivedCall.deadlineMillis();
		}

		/**
		 * Returns whether the attempt was not sent, and is a reservation or may be sent
		 * elsewhere without asking for its outcome.
		 * @return {@code true} if it ends with the session of its entry process
		 */
		private boolean endsWithSession() {
			boolean unsent = this.stage == Stage.WAITING || this.stage == Stage.RESERVED;
			return unsent && (this.call == null || (this.call.idempotent() && !this.call.hasIdempotencyKey()));
		}

		private void send(Message message) {
			this.link.send(message);
		}

	}

	/**
	 * Handles the result of a claim on an idempotency key.
	 */
	private final class ClaimListener implements Claims.Listener {

		private final CallAttempt attempt;

		ClaimListener(CallAttempt attempt) {
			this.attempt = attempt;
		}

		@Override
		public void won() {
			if (this.attempt.stage == Stage.CLAIMING) {
				sendToService(this.attempt);
			}
			else {
				releaseClaim(this.attempt);
			}
		}

		@Override
		public void lost(ClaimLedger.Holder claimHolder) {
			if (!claimHolder.claim().digest().equals(this.attempt.call.contentDigest())) {
				fail(this.attempt,
						Failure.notRun(ResultCode.KEY_REUSED, "the idempotency key was used with other content"));
				return;
			}
			boolean heldByThisTarget = claimHolder.claim().target().equals(Calls.this.identity.target());
			if (!heldByThisTarget) {
				finish(this.attempt, null, new Message.ClaimedElsewhere(this.attempt.id, claimHolder.claim().target(),
						claimHolder.done()));
				return;
			}
			CallAttempt holderAttempt = Calls.this.attempts.get(claimHolder.claim().claimId());
			boolean heldByThisProcess = claimHolder.claim().incarnation() == Calls.this.identity.incarnation();
			if (heldByThisProcess && holderAttempt != null) {
				awaitResult(holderAttempt);
				return;
			}
			fail(this.attempt,
					claimHolder.done() ? responseNotCached() : Failure.mayHaveRun(ResultCode.KEY_OUTCOME_UNKNOWN,
							"the process that claimed the idempotency key no longer runs"));
		}

		private void awaitResult(CallAttempt holder) {
			if (holder.stage == Stage.ENDED) {
				copyResult(holder);
				return;
			}
			holder.resultListeners.add(this::copyResult);
			long remainingMillis = this.attempt.deadlineMillis - Calls.this.clock.millis();
			Calls.this.scheduler.schedule(remainingMillis,
					() -> fail(this.attempt, Failure.mayHaveRun(ResultCode.KEY_IN_PROGRESS,
							"an earlier request with this idempotency key is still running")));
		}

		private void copyResult(CallAttempt holder) {
			if (holder.result instanceof Message.CallResponse response) {
				finish(this.attempt, response.response(),
						new Message.CallResponse(this.attempt.id, response.response(), response.load()));
			}
			else if (holder.result instanceof Message.Failed failed) {
				fail(this.attempt, failed.failure());
			}
		}

		@Override
		public void unconfirmed() {
			fail(this.attempt, Failure.notRun(ResultCode.CLAIM_UNCONFIRMED,
					"the log did not confirm the claim on the idempotency key in time"));
		}

	}

}
