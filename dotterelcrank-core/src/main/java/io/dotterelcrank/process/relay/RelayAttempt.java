package io.dotterelcrank.process.relay;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.OptionalLong;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.GenerationTraits;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;

/**
 * One attempt of a request at one target. Invariant: it reports at most one result to its
 * {@link RelayedRequest}. Confined to the traffic thread.
 */
final class RelayAttempt implements TargetClient.Listener, ResponseMemory.Holder {

	/** Max size of a response body that is buffered, in bytes. */
	static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

	/** Max size of an event, in bytes. */
	static final int MAX_EVENT_BYTES = 1024 * 1024;

	/** Backoff of a target after a refusal or the first failed connection. */
	static final long INITIAL_BACKOFF_MILLIS = 1_000;

	/**
	 * Age of an event stream, in milliseconds, from which on the start of its request
	 * counts as successful.
	 */
	static final long SETTLED_MILLIS = 1_000;

	private static final Logger logger = LoggerFactory.getLogger(RelayAttempt.class);

	private final RelayedRequest request;

	private final TrackedTarget target;

	/** Empty if no engine keeps a KV backup of the generation. */
	private final Optional<TrackedTarget> backupHolder;

	/** Whether the attempt resumes a generation from a KV copy or backup. */
	private final boolean resumed;

	/** Counted at the target until the attempt ends. */
	private final OutstandingRequest outstandingRequest;

	/**
	 * Prompt tokens to be prefilled before the first event, those known to be queued
	 * included; without a load report, only those this host has sent.
	 */
	private final long prefillTokens;

	/** By the clock of the process. */
	private final long sentMillis;

	/** Used only for event streams. */
	private final EventFramer framer = new EventFramer();

	private final RelayService relayService;

	/** Body of a response that is no event stream. */
	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private TargetClient.Exchange exchange = TargetClient.Exchange.Starting.INSTANCE;

	/** {@code null} before the response has started. */
	private TargetClient.ResponseHead head;

	/** When the event stream started; -1 before. */
	private long streamStartedMillis = -1;

	/** Whether the event stream has brought an event. */
	private boolean eventReceived;

	/** Highest event id that the stream has brought; empty before the first. */
	private OptionalLong highestEventId = OptionalLong.empty();

	/** Whether the event stream has lasted long enough to count as a success. */
	private boolean settled;

	/** Whether an outcome was recorded. */
	private boolean outcomeRecorded;

	/** Whether the target was asked to stop, so that its failure says nothing of it. */
	private boolean stopExpected;

	/** Whether the target may still respond. */
	private boolean active = true;

	RelayAttempt(RelayedRequest request, TrackedTarget target, Optional<TrackedTarget> backupHolder, boolean resumed,
			RelayService relayService) {
		this.request = request;
		this.target = target;
		this.backupHolder = backupHolder;
		this.resumed = resumed;
		this.relayService = relayService;
		this.sentMillis = request.now();
		long expectedTotalTokens = request.request().traits().map(GenerationTraits::expectedTotalTokens).orElse(0L);
		long promptTokens = request.request().traits().map(GenerationTraits::promptTokens).orElse(0L);
		this.prefillTokens = target.pendingPrefillTokens(1) + promptTokens;
		this.outstandingRequest = target.recordSend(promptTokens, expectedTotalTokens);
		backupHolder.ifPresent((holder) -> holder.recordBackup(this, expectedTotalTokens));
	}

	void setExchange(TargetClient.Exchange started) {
		this.exchange = started;
	}

	TrackedTarget target() {
		return this.target;
	}

	Optional<TargetRegistration> backupHolder() {
		return this.backupHolder.map((holder) -> holder.membership().registration());
	}

	/**
	 * Returns the time since the event stream started.
	 * @return time in milliseconds; -1 if it has not started
	 */
	long streamAgeMillis() {
		return (this.streamStartedMillis < 0) ? -1 : this.request.now() - this.streamStartedMillis;
	}

	boolean resumed() {
		return this.resumed;
	}

	boolean active() {
		return this.active;
	}

	/**
	 * Returns whether another target than the expected one has responded.
	 * @return {@code false} before the response
	 */
	boolean misdirected() {
		return this.head != null && this.head.misdirected();
	}

	/**
	 * Records the time until the first event.
	 * @param statistics statistics of the service
	 */
	void recordFirstEvent(GenerationStatistics statistics) {
		long millis = this.request.now() - this.sentMillis;
		this.target.recordFirstEvent(this.prefillTokens, millis, statistics);
		statistics.recordFirstEvent(this.prefillTokens, millis);
	}

	long sentMillis() {
		return this.sentMillis;
	}

	boolean writeStarted() {
		return this.exchange.writeStarted();
	}

	void setReadEnabled(boolean enabled) {
		this.exchange.setReadEnabled(enabled);
	}

	/**
	 * Changes whether the target was asked to stop the request.
	 * @param expected whether it may stop
	 */
	void setStopExpected(boolean expected) {
		this.stopExpected = expected;
		this.exchange.setStopExpected(expected);
	}

	/**
	 * Cancels the exchange with the target without reporting a result.
	 */
	void cancel() {
		try {
			detach();
		}
		finally {
			this.exchange.cancel();
		}
	}

	/**
	 * Cancels the exchange, since the request has ended or another attempt streams. A
	 * target that was slow to respond is recorded with the time that it has taken so far,
	 * unless it had a part of the work from another or has not received the request.
	 */
	void abandon() {
		boolean slow = writeStarted() && this.request.now()
				- this.sentMillis >= this.request.route().latencyGoalMillis() * RetryPolicy.HEDGE_AFTER_GOAL_FRACTION;
		try {
			if (slow && !this.outcomeRecorded && !this.resumed) {
				recordOutcome(false);
			}
		}
		finally {
			cancel();
		}
	}

	private void recordOutcome(boolean failed) {
		this.outcomeRecorded = true;
		this.request.attempts().recordOutcome(this.target, failed, this.request.now() - this.sentMillis);
	}

	private void detach() {
		this.active = false;
		responseMemory().release(this);
		this.target.recordEnd(this.outstandingRequest);
		this.backupHolder.ifPresent((holder) -> holder.recordBackupEnd(this));
		this.request.attempts().remove(this);
	}

	private ResponseMemory responseMemory() {
		return this.relayService.targetPool().responseMemory();
	}

	/**
	 * Ends the attempt if the target client has failed to start it; nobody knows whether
	 * the target has received the request.
	 */
	void startFailed() {
		this.request.recordPossibleRun();
		detach();
	}

	/**
	 * Runs a step of the response, unless the attempt has ended. After a defect the rest
	 * of the response is of no use.
	 * @param step what to run
	 */
	private void run(Runnable step) {
		if (!this.active) {
			return;
		}
		this.relayService.requests().runOrEnd(this.request, () -> {
			try {
				step.run();
			}
			catch (Throwable ex) {
				this.request.recordPossibleRun();
				throw ex;
			}
		});
	}

	@Override
	public void beforeWrite() {
		run(this.request.attempts()::endIfCallerLeft);
		run(this::endIfTimedOut);
	}

	/**
	 * Ends the request if its time is over. The timer of the deadline may run after the
	 * connection to the target is seen open.
	 */
	private void endIfTimedOut() {
		if (this.request.now() >= this.request.timeoutAtMillis()) {
			this.request.endInFailure(ResultCode.DEADLINE_EXCEEDED,
					"the deadline passed before the request was written");
		}
	}

	@Override
	public void head(TargetClient.ResponseHead received) {
		run(() -> handleHead(received));
	}

	private void handleHead(TargetClient.ResponseHead received) {
		if (!received.misdirected() && received.ran() != Ran.NO) {
			this.request.recordPossibleRun();
		}
		this.head = received;
		boolean fromTarget = !received.misdirected() && (received.requestLimit().named() || received.confirmed());
		if (fromTarget) {
			this.target.rateGate().update(received.requestLimit(), this.sentMillis);
		}
		if (!received.misdirected() && (received.confirmed() || received.ran() == Ran.NO)) {
			this.target.rateGate().pause(received.pauseMillis());
		}
		if (received.leaving() && !received.misdirected()) {
			this.target.recordLeaving();
		}
		if (!received.misdirected()) {
			this.request.content().recordResponse(this.target, this.sentMillis);
		}
		if (received.misdirected() || received.ran() == Ran.NO) {
			if (!this.resumed) {
				this.target.backOff(INITIAL_BACKOFF_MILLIS);
			}
			cancel();
			this.request.attemptFailed(this, Ran.NO, "refused with status " + received.status());
		}
		else if ((received.success() || received.refusal()) && !received.confirmed()) {
			rejectResponse("status " + received.status() + " not confirmed by the target");
		}
		else if (this.request.responseStarted() && !isEventStream()) {
			rejectResponse("status " + received.status() + " instead of the rest of the stream");
		}
		else if (isEventStream()) {
			this.outstandingRequest.recordPrefillDone();
			this.streamStartedMillis = this.request.now();
			this.target.recordSuccess(this.request.now() - this.sentMillis);
			this.request.streamStarted(this, received);
		}
	}

	private boolean isEventStream() {
		return this.head.success() && this.head.eventStream();
	}

	@Override
	public void body(byte[] piece) {
		run(() -> handleBody(piece));
	}

	private void handleBody(byte[] piece) {
		if (isEventStream()) {
			for (EventFramer.Event event : this.framer.append(piece)) {
				if (!this.active || !this.request.forwardEvent(this, event)) {
					return;
				}
				if (!this.eventReceived && !this.resumed) {
					recordOutcome(false);
				}
				this.eventReceived = true;
				recordEventId(event.id());
			}
			hold(this.framer.remainingBytes(), MAX_EVENT_BYTES);
			if (this.active && !this.settled && this.eventReceived && streamAgeMillis() >= SETTLED_MILLIS) {
				this.settled = true;
				this.request.content().recordSuccess();
			}
			return;
		}
		this.body.writeBytes(piece);
		hold(this.body.size(), MAX_RESPONSE_BYTES);
	}

	private void recordEventId(OptionalLong id) {
		if (id.isPresent()) {
			this.highestEventId = OptionalLong.of(Math.max(id.getAsLong(), this.highestEventId.orElse(0)));
		}
	}

	private void hold(int bytes, int maxBytes) {
		if (bytes > maxBytes) {
			LogEvent.RESPONSE_TOO_LARGE.log(logger, this.request.id(), this.target.id(), bytes,
					responseMemory().heldBytes());
			rejectResponse("response too large: " + bytes + " bytes");
			return;
		}
		responseMemory().hold(this, bytes);
	}

	@Override
	public void giveUp() {
		run(this::handleLackOfMemory);
	}

	private void handleLackOfMemory() {
		LogEvent.RESPONSE_TOO_LARGE.log(logger, this.request.id(), this.target.id(), responseMemory().heldBytes(this),
				responseMemory().heldBytes());
		cancel();
		this.request.attemptFailed(this, Ran.YES, "too little memory for the response");
	}

	@Override
	public void complete() {
		run(this::handleCompletion);
	}

	private void handleCompletion() {
		if (isEventStream() && this.framer.remainingBytes() > 0) {
			recordLossWhileStarting();
			rejectResponse("stream ended inside an event");
			return;
		}
		byte[] wholeBody = this.body.toByteArray();
		if (NestedResponse.isIn(wholeBody, this.request.id())) {
			rejectResponse("a second response inside the body");
			return;
		}
		if (this.highestEventId.isPresent() && this.highestEventId.getAsLong() < this.request.lastEventId()) {
			rejectResponse("stream ended at event id " + this.highestEventId.getAsLong() + " though its caller has "
					+ this.request.lastEventId());
			return;
		}
		detach();
		if (!isEventStream() || this.eventReceived) {
			this.request.content().recordSuccess();
		}
		if (isEventStream()) {
			this.request.streamCompleted();
			return;
		}
		if (this.head.refusal()) {
			LogEvent.REFUSAL_NOT_CONFIRMED.log(logger, this.request.id(), this.target.id(), this.head.status());
		}
		recordOutcome(this.head.serverError());
		if (this.head.serverError()) {
			this.target.recordFailure();
		}
		else {
			this.target.recordSuccess(this.request.now() - this.sentMillis);
		}
		this.request.responseReceived(this.head, wholeBody);
	}

	/**
	 * Cancels the exchange and fails the attempt, since its response is unusable.
	 * @param reason why the response is unusable, for logs and the error message
	 */
	void rejectResponse(String reason) {
		this.exchange.cancel();
		failed(Ran.YES, reason);
	}

	@Override
	public void failed(Ran ran, String reason) {
		run(() -> handleFailure(ran, reason));
	}

	private void handleFailure(Ran ran, String reason) {
		if (this.stopExpected) {
			detach();
			this.request.attemptFailed(this, ran, reason);
			return;
		}
		if (ran == Ran.UNKNOWN) {
			recordLossWhileStarting();
		}
		detach();
		if (ran == Ran.NO) {
			this.target.connectionFailed(INITIAL_BACKOFF_MILLIS);
		}
		this.target.recordFailure();
		if (ran != Ran.NO && !this.target.leavingAsAnnounced()) {
			recordOutcome(true);
		}
		this.request.attemptFailed(this, ran, reason);
	}

	private void recordLossWhileStarting() {
		if (streamAgeMillis() < SETTLED_MILLIS && !this.target.leavingAsAnnounced()) {
			LogEvent.LOST_WHILE_STARTING.log(logger, this.request.id(), this.target.id(), streamAgeMillis(),
					this.request.content().sharedParts(), this.request.content().fingerprint());
			this.request.content().recordLoss(this.target);
		}
	}

}
