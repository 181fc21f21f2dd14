package io.dotterelcrank.process.entry;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.request.EventId;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.request.TokenSequencer;

/**
 * Request of a caller for a generation. Invariants: all tokens that the caller keeps come
 * from one generation, in order, each once; the caller gets one result. A generation is
 * restarted only while the caller keeps no token of it. Confined to the control thread.
 */
final class GenerationRequest extends AbstractRequest {

	/** Max attempts at different targets. */
	static final int MAX_ATTEMPTS = 4;

	/** How long to wait for a new session if tokens have been received. */
	static final long RESUME_TIMEOUT_MILLIS = 10_000;

	/** Tokens read by the caller from one acknowledgement to the next. */
	static final int ACKNOWLEDGE_INTERVAL_TOKENS = 32;

	/** Length of the prompt prefix in the affinity key. */
	private static final int AFFINITY_PROMPT_CHARACTERS = 256;

	private static final Logger logger = LoggerFactory.getLogger(GenerationRequest.class);

	private final GenerationListener listener;

	/** The request; its id is replaced with each attempt. */
	private Generation request;

	/** Orders the tokens of the current attempt; {@code null} before the first. */
	private TokenSequencer sequencer;

	/** Index of the first token that the caller has not read. */
	private int firstUnreadIndex;

	private int acknowledgedIndex;

	/**
	 * Whether the caller received the beginning in an earlier request, possibly through
	 * another entry process.
	 */
	private boolean resumedForCaller;

	/**
	 * First message of the current attempt while it waits for a session, otherwise
	 * {@code null}.
	 */
	private Message unsentMessage;

	/** Whether the attempt waits for a session, its first or one after a loss. */
	private boolean awaitingSession;

	/** Abandons the target if no session with it opens in time. */
	private Scheduler.ScheduledTask targetTimeout = () -> {
	};

	GenerationRequest(EntryProcess entry, RequestHandle handle, Generation request, GenerationListener listener) {
		super(entry, handle, request.deadlineMillis());
		this.request = request;
		this.listener = listener;
	}

	/**
	 * Starts a new generation.
	 */
	void start() {
		startDeadlineTimer();
		startAttempt();
	}

	/**
	 * Resumes a generation, which another entry process may have started.
	 * @param lastEvent id of the last event that the caller received
	 */
	void resume(EventId lastEvent) {
		Optional<TargetLink> found = entry().targets().find(lastEvent.target());
		if (found.isEmpty()) {
			fail(new Failure(ResultCode.GENERATION_UNKNOWN, Ran.UNKNOWN, 0,
					"the target of the generation is not known"));
			return;
		}
		startDeadlineTimer();
		beginAttempt(found.get());
		this.resumedForCaller = true;
		this.firstUnreadIndex = lastEvent.index() + 1;
		this.acknowledgedIndex = this.firstUnreadIndex;
		this.request = this.request.withId(lastEvent.generation());
		this.sequencer = TokenSequencer.of(lastEvent.generation(), this.firstUnreadIndex);
		target().attach(this);
		sendFirstMessage(resumeMessage());
	}

	/**
	 * Sends the first message of the attempt, or holds it until a session is open. Hence
	 * an attempt at a target that was never reached did not run.
	 * @param message the message
	 */
	private void sendFirstMessage(Message message) {
		if (target().open()) {
			this.unsentMessage = null;
			target().send(message);
		}
		else {
			this.unsentMessage = message;
			awaitSession();
		}
	}

	@Override
	Ran ranIfAbandoned() {
		if (this.sequencer == null) {
			return Ran.NO;
		}
		return (this.sequencer.nextIndex() > 0) ? Ran.YES : Ran.UNKNOWN;
	}

	private void startAttempt() {
		Predicate<HostList.Host> servesRequest = (host) -> host.model().equals(this.request.model())
				&& host.role() == HostList.Role.ENGINE;
		Optional<TargetLink> chosen = entry().targets().choose(servesRequest, affinityKey(), triedTargets());
		if (chosen.isEmpty() && rereadHostList(servesRequest, this::startAttempt)) {
			return;
		}
		if (chosen.isEmpty()) {
			fail(noTargetFailure(servesRequest,
					Failure.notRun(ResultCode.UNKNOWN_MODEL, "no target serves the model " + this.request.model())));
			return;
		}
		beginAttempt(chosen.get());
		this.request = this.request.withId(entry().nextId(this.request.workspace()));
		this.sequencer = TokenSequencer.of(this.request.id(), 0);
		this.firstUnreadIndex = 0;
		this.acknowledgedIndex = 0;
		long remainingMillis = remainingMillis();
		target().attach(this);
		sendFirstMessage(new Message.Generate(this.request.withDeadline(remainingMillis)));
	}

	private String affinityKey() {
		String prompt = this.request.prompt();
		return this.request.workspace() + '\0'
				+ prompt.substring(0, Math.min(AFFINITY_PROMPT_CHARACTERS, prompt.length()));
	}

	@Override
	void notifyFailed(Failure failure) {
		this.listener.failed(failure);
	}

	@Override
	void cancelTargetTimeout() {
		this.targetTimeout.cancel();
	}

	@Override
	public String id() {
		return this.request.id();
	}

	@Override
	public void handle(Message message) {
		if (endedOrCallerLeft()) {
			return;
		}
		if (message instanceof Message.Tokens tokens) {
			handleTokens(tokens);
		}
		else if (message instanceof Message.Finished finished) {
			handleFinished(finished);
		}
		else if (message instanceof Message.Failed failed) {
			handleFailure(failed.failure());
		}
	}

	private void handleTokens(Message.Tokens tokens) {
		stopAwaitingSession();
		if (this.sequencer.hasGapBefore(tokens.id(), tokens.firstIndex())) {
			target().send(resumeMessage());
			return;
		}
		int index = this.sequencer.nextIndex();
		List<String> newTokens = this.sequencer.accept(tokens.id(), tokens.firstIndex(), tokens.tokens());
		if (newTokens.isEmpty()) {
			return;
		}
		if (index == 0) {
			entry().targets().recordSuccess(target(), elapsedMillis());
		}
		this.listener.tokens(target().host().name(), this.request.id(), index, newTokens);
		if (!this.listener.streaming()) {
			acknowledge(this.sequencer.nextIndex());
		}
	}

	private void handleFinished(Message.Finished finished) {
		stopAwaitingSession();
		this.sequencer.end(finished.id(), finished.count());
		if (!this.sequencer.complete()) {
			target().send(resumeMessage());
			return;
		}
		finish();
		this.listener.finished(finished.count(), finished.reason());
	}

	private void handleFailure(Failure failure) {
		stopAwaitingSession();
		boolean callerKeepsTokens = this.resumedForCaller
				|| this.listener.streaming() && this.sequencer.nextIndex() > 0;
		boolean lost = failure.code() == ResultCode.GENERATION_LOST || failure.code() == ResultCode.GENERATION_UNKNOWN;
		if (lost) {
			entry().targets().recordFailure(target());
		}
		recordFailure(failure);
		boolean retryable = !callerKeepsTokens && (lost || failure.code().retryableOnAnotherTarget());
		if (retryable && tryAcquireRetry(failure)) {
			restart();
			return;
		}
		// A generation of which the caller has tokens is lost, also if the target does
		// not know it.
		fail((callerKeepsTokens && lost && !this.resumedForCaller) ? generationLost(failure.message()) : failure);
	}

	private void restart() {
		target().detach(this);
		if (this.sequencer.nextIndex() > 0) {
			this.listener.restarted();
		}
		startAttempt();
	}

	private static Failure generationLost(String message) {
		return new Failure(ResultCode.GENERATION_LOST, Ran.YES, 0, message);
	}

	@Override
	public void sessionLost() {
		if (!endedOrCallerLeft()) {
			awaitSession();
		}
	}

	private void awaitSession() {
		if (this.awaitingSession) {
			return;
		}
		this.awaitingSession = true;
		long timeoutMillis = tokensReceived() ? RESUME_TIMEOUT_MILLIS : EntryProcess.CONNECT_TIMEOUT_MILLIS;
		this.targetTimeout = entry().scheduler().schedule(timeoutMillis, this::abandonTarget);
	}

	private boolean tokensReceived() {
		return this.sequencer.nextIndex() > 0;
	}

	private void stopAwaitingSession() {
		this.awaitingSession = false;
		this.targetTimeout.cancel();
	}

	private void abandonTarget() {
		if (!endedOrCallerLeft() && this.awaitingSession) {
			this.awaitingSession = false;
			cancelAttempt();
			handleFailure(targetUnreachable());
		}
	}

	private Failure targetUnreachable() {
		String message = "the target could not be reached in time";
		if (tokensReceived()) {
			return generationLost(message);
		}
		return (this.unsentMessage != null) ? Failure.notRun(ResultCode.TARGET_LOST, message)
				: Failure.mayHaveRun(ResultCode.TARGET_LOST, message);
	}

	@Override
	public void sessionOpened(long sidecarIncarnation) {
		if (endedOrCallerLeft()) {
			return;
		}
		if (this.unsentMessage != null) {
			stopAwaitingSession();
			sendFirstMessage(this.unsentMessage);
		}
		else if (this.awaitingSession) {
			LogEvent.GENERATION_RESUMED.log(logger, this.request.id(), this.sequencer.nextIndex());
			target().send(resumeMessage());
		}
	}

	private Message resumeMessage() {
		return new Message.Resume(this.request.id(), this.request.workspace(), this.sequencer.nextIndex());
	}

	/**
	 * Records how far the caller has read, and acknowledges it to the sidecar at
	 * intervals, so that the sidecar does not block the engine stream.
	 * @param nextUnreadIndex index of the first token not read
	 */
	void acknowledge(int nextUnreadIndex) {
		this.firstUnreadIndex = Math.max(this.firstUnreadIndex, nextUnreadIndex);
		if (!ended() && this.firstUnreadIndex - this.acknowledgedIndex >= ACKNOWLEDGE_INTERVAL_TOKENS) {
			this.acknowledgedIndex = this.firstUnreadIndex;
			target().send(new Message.Acknowledge(this.request.id(), this.firstUnreadIndex));
		}
	}

	/**
	 * Cancels the attempt. A streaming caller may reconnect for a time, here or at
	 * another entry process, before the attempt is cancelled.
	 */
	@Override
	void abandonForCaller() {
		if (this.listener.streaming() && target() != null) {
			long waitMillis = entry().callerReconnectMillis();
			entry().scheduler().schedule(waitMillis, this::cancelUnlessResumed);
		}
		else {
			cancelAttempt();
		}
	}

	private void cancelUnlessResumed() {
		if (!target().hasAttempt(id())) {
			target().send(new Message.Cancel(id()));
		}
	}

}
