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
 * One caller's generation at an entry host. Invariants: all tokens that the caller keeps
 * come from one generation, in order, each once; the caller hears one end. A generation
 * starts again only while the caller keeps no token of it. Belongs to the control thread.
 */
final class GenerationRequest extends AbstractRequest {

	/** Most attempts at different targets. */
	static final int MOST_ATTEMPTS = 4;

	/** Time for which a lost target may come back, in milliseconds. */
	static final long RESUME_LIMIT_MILLIS = 10_000;

	/** Tokens read by the caller between two acknowledgements. */
	static final int ACKNOWLEDGE_TOKENS = 32;

	/** Characters of the prompt that count for affinity. */
	private static final int AFFINITY_CHARACTERS = 256;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(GenerationRequest.class);

	/** The caller. */
	private final GenerationListener caller;

	/** The request; its id is replaced with each attempt. */
	private Generation request;

	/** Puts the tokens of the current attempt in order. */
	private TokenSequencer sequencer;

	/** Index of the first token that the caller has not read. */
	private int readIndex;

	/** Index told in the last acknowledgement. */
	private int acknowledgedIndex;

	/**
	 * Whether the caller read the beginning before, perhaps through another entry host.
	 */
	private boolean continued;

	/**
	 * First message of the current attempt, if it waits for a session, or {@code null}.
	 */
	private Message unsent;

	/** Whether the session is gone and the generation waits for a new one. */
	private boolean waiting;

	/** Gives up a lost target. */
	private Scheduler.ScheduledTask resumeLimit = () -> {
	};

	GenerationRequest(EntryProcess entry, Generation request, GenerationListener caller) {
		super(entry, request.deadlineMillis());
		this.request = request;
		this.caller = caller;
	}

	/**
	 * Starts a new generation.
	 */
	void start() {
		armDeadline();
		attempt();
	}

	/**
	 * Continues a generation that a caller read before, perhaps through another entry
	 * host.
	 * @param last id of the last event that the caller received
	 */
	void continueAfter(EventId last) {
		Optional<TargetLink> known = entry().targets().named(last.target());
		if (known.isEmpty()) {
			fail(new Failure(ResultCode.GENERATION_UNKNOWN, Ran.UNKNOWN, 0, "the target is not known"));
			return;
		}
		armDeadline();
		nextAttempt(known.get());
		this.continued = true;
		this.readIndex = last.index() + 1;
		this.acknowledgedIndex = this.readIndex;
		this.request = this.request.withId(last.generation());
		this.sequencer = TokenSequencer.of(last.generation(), this.readIndex);
		target().begin(this);
		sendFirst(resumeMessage());
	}

	/**
	 * Sends the attempt's first message, or keeps it until a session is open, so that an
	 * attempt at a target that was never reached did not run.
	 * @param message the message
	 */
	private void sendFirst(Message message) {
		if (target().open()) {
			this.unsent = null;
			target().send(message);
		}
		else {
			this.unsent = message;
			waitForSession();
		}
	}

	@Override
	Ran ranWithoutAnswer() {
		if (this.sequencer == null) {
			return Ran.NO;
		}
		return (this.sequencer.nextIndex() > 0) ? Ran.YES : Ran.UNKNOWN;
	}

	private void attempt() {
		Predicate<HostList.Host> kind = (host) -> host.model().equals(this.request.model())
				&& host.role() == HostList.Role.ENGINE;
		Optional<TargetLink> choice = entry().targets().choose(kind, affinity(), tried());
		if (choice.isEmpty() && readsList(kind, this::attempt)) {
			return;
		}
		if (choice.isEmpty()) {
			fail(noTarget(kind, Failure.notRun(ResultCode.UNKNOWN_MODEL, "no target serves " + this.request.model())));
			return;
		}
		nextAttempt(choice.get());
		this.request = this.request.withId(entry().nextId(this.request.workspace()));
		this.sequencer = TokenSequencer.of(this.request.id(), 0);
		this.readIndex = 0;
		this.acknowledgedIndex = 0;
		long leftMillis = leftMillis();
		target().begin(this);
		sendFirst(new Message.Generate(this.request.withDeadline(leftMillis)));
	}

	private String affinity() {
		String prompt = this.request.prompt();
		return this.request.workspace() + '\0' + prompt.substring(0, Math.min(AFFINITY_CHARACTERS, prompt.length()));
	}

	@Override
	void tell(Failure failure) {
		this.caller.failed(failure);
	}

	@Override
	void cancelLimit() {
		this.resumeLimit.cancel();
	}

	@Override
	public String id() {
		return this.request.id();
	}

	@Override
	public void received(Message message) {
		if (ended()) {
			return;
		}
		if (message instanceof Message.Tokens tokens) {
			takeTokens(tokens);
		}
		else if (message instanceof Message.Finished finished) {
			takeEnd(finished);
		}
		else if (message instanceof Message.Failed failed) {
			takeFailure(failed.failure());
		}
	}

	private void takeTokens(Message.Tokens tokens) {
		sessionWorks();
		if (this.sequencer.hasGapBefore(tokens.id(), tokens.firstIndex())) {
			target().send(resumeMessage());
			return;
		}
		int index = this.sequencer.nextIndex();
		List<String> fresh = this.sequencer.accept(tokens.id(), tokens.firstIndex(), tokens.tokens());
		if (fresh.isEmpty()) {
			return;
		}
		if (index == 0) {
			entry().targets().succeeded(target(), sinceStartMillis());
		}
		this.caller.tokens(target().host().name(), this.request.id(), index, fresh);
		if (!this.caller.streaming()) {
			read(this.sequencer.nextIndex());
		}
	}

	private void takeEnd(Message.Finished finished) {
		sessionWorks();
		this.sequencer.end(finished.id(), finished.count());
		if (!this.sequencer.complete()) {
			target().send(resumeMessage());
			return;
		}
		finish();
		this.caller.finished(finished.count(), finished.reason());
	}

	private void takeFailure(Failure failure) {
		sessionWorks();
		boolean kept = this.continued || this.caller.streaming() && this.sequencer.nextIndex() > 0;
		boolean lost = failure.code() == ResultCode.GENERATION_LOST || failure.code() == ResultCode.GENERATION_UNKNOWN;
		if (lost) {
			entry().targets().failed(target());
		}
		noteFailure(failure);
		boolean tryAgain = !kept && (lost || failure.code().retryableOnAnotherTarget());
		if (tryAgain && mayTryAgain(failure)) {
			startAgain();
			return;
		}
		fail((kept && lost && !this.continued) ? lostFailure(failure.message()) : failure);
	}

	private void startAgain() {
		target().end(this);
		if (this.sequencer.nextIndex() > 0) {
			this.caller.restarted();
		}
		attempt();
	}

	private static Failure lostFailure(String message) {
		return new Failure(ResultCode.GENERATION_LOST, Ran.YES, 0, message);
	}

	@Override
	public void linkLost() {
		if (!ended()) {
			waitForSession();
		}
	}

	private void waitForSession() {
		if (this.waiting) {
			return;
		}
		this.waiting = true;
		long limitMillis = keepsTokens() ? RESUME_LIMIT_MILLIS : EntryProcess.CONNECT_LIMIT_MILLIS;
		this.resumeLimit = entry().scheduler().schedule(limitMillis, this::giveTargetUp);
	}

	private boolean keepsTokens() {
		return this.sequencer.nextIndex() > 0;
	}

	private void sessionWorks() {
		this.waiting = false;
		this.resumeLimit.cancel();
	}

	private void giveTargetUp() {
		if (!ended() && this.waiting) {
			this.waiting = false;
			cancelAttempt();
			takeFailure(unreached());
		}
	}

	private Failure unreached() {
		String message = "the target could not be reached in time";
		if (keepsTokens()) {
			return lostFailure(message);
		}
		return (this.unsent != null) ? Failure.notRun(ResultCode.TARGET_LOST, message)
				: Failure.mayHaveRun(ResultCode.TARGET_LOST, message);
	}

	@Override
	public void sessionBegan(long incarnation) {
		if (ended()) {
			return;
		}
		if (this.unsent != null) {
			sessionWorks();
			sendFirst(this.unsent);
		}
		else if (this.waiting) {
			LogEvent.GENERATION_RESUMED.log(logger, this.request.id(), this.sequencer.nextIndex());
			target().send(resumeMessage());
		}
	}

	private Message resumeMessage() {
		return new Message.Resume(this.request.id(), this.request.workspace(), this.sequencer.nextIndex());
	}

	/**
	 * Takes in how far the caller has read, so that the sidecar may send more.
	 * @param nextIndex index of the first token not read
	 */
	void read(int nextIndex) {
		this.readIndex = Math.max(this.readIndex, nextIndex);
		if (!ended() && this.readIndex - this.acknowledgedIndex >= ACKNOWLEDGE_TOKENS) {
			this.acknowledgedIndex = this.readIndex;
			target().send(new Message.Acknowledge(this.request.id(), this.readIndex));
		}
	}

	/**
	 * Gives the request up, since its caller is gone. A caller that streams may come back
	 * for a time, here or at another entry host.
	 */
	void callerGone() {
		if (ended()) {
			return;
		}
		if (this.caller.streaming() && target() != null) {
			long waitMillis = entry().reconnectMillis();
			entry().scheduler().schedule(waitMillis, this::cancelUnlessTakenOver);
		}
		else {
			cancelAttempt();
		}
		finish();
	}

	private void cancelUnlessTakenOver() {
		if (!target().has(id())) {
			target().send(new Message.Cancel(id()));
		}
	}

}
