package io.dotterelcrank.process.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.LogEvent;
import io.dotterelcrank.process.Scheduler;
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
final class GenerationRequest implements Attempt {

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

	/** The entry process. */
	private final Entry entry;

	/** The caller. */
	private final GenerationCaller caller;

	/** The request; its id is replaced with each attempt. */
	private Generation request;

	/** When the caller gives up, in milliseconds. */
	private final long deadlineMillis;

	/** When the request came, in milliseconds. */
	private final long startMillis;

	/** Names of targets that have refused the request. */
	private final Set<String> tried = new HashSet<>();

	/** Target of the current attempt. */
	private TargetLink target;

	/** Puts the tokens of the current attempt in order. */
	private TokenSequencer sequencer;

	/** Number of attempts so far. */
	private int attempts;

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

	/** How the last attempt was refused, or {@code null}. */
	private Failure lastRefusal;

	/** Whether an earlier attempt may have run. */
	private boolean maybeRan;

	/** Whether the caller has heard the end. */
	private boolean ended;

	/** Whether the session is gone and the generation waits for a new one. */
	private boolean waiting;

	/** Ends the request at its deadline. */
	private Scheduler.Timer deadline = () -> {
	};

	/** Gives up a lost target. */
	private Scheduler.Timer resumeLimit = () -> {
	};

	GenerationRequest(Entry entry, Generation request, GenerationCaller caller) {
		this.entry = entry;
		this.request = request;
		this.caller = caller;
		this.startMillis = entry.clock().millis();
		this.deadlineMillis = this.startMillis + request.deadlineMillis();
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
		Optional<TargetLink> known = this.entry.targets().named(last.target());
		if (known.isEmpty()) {
			fail(new Failure(ResultCode.GENERATION_UNKNOWN, Ran.UNKNOWN, 0, "the target is not known"));
			return;
		}
		armDeadline();
		this.target = known.get();
		this.continued = true;
		this.readIndex = last.index() + 1;
		this.acknowledgedIndex = this.readIndex;
		this.request = this.request.withId(last.generation());
		this.sequencer = TokenSequencer.of(last.generation(), this.readIndex);
		this.target.begin(this);
		sendFirst(resumeMessage());
	}

	/**
	 * Sends the attempt's first message, or keeps it until a session is open, so that an
	 * attempt at a target that was never reached did not run.
	 * @param message the message
	 */
	private void sendFirst(Message message) {
		if (this.target.open()) {
			this.unsent = null;
			this.target.send(message);
		}
		else {
			this.unsent = message;
			waitForSession();
		}
	}

	private void armDeadline() {
		long leftMillis = this.deadlineMillis - this.entry.clock().millis();
		this.deadline = this.entry.scheduler().schedule(leftMillis, this::deadlinePassed);
	}

	private void deadlinePassed() {
		if (!this.ended) {
			cancelAttempt();
			fail(new Failure(ResultCode.DEADLINE_EXCEEDED, ranSoFar(), 0, "the deadline passed"));
		}
	}

	private Ran ranSoFar() {
		if (this.sequencer == null) {
			return Ran.NO;
		}
		return (this.sequencer.nextIndex() > 0) ? Ran.YES : Ran.UNKNOWN;
	}

	private void attempt() {
		Predicate<HostList.Host> kind = (host) -> host.model().equals(this.request.model())
				&& host.role() == HostList.Role.ENGINE;
		Optional<TargetLink> choice = this.entry.targets().choose(kind, affinity(), this.tried);
		if (choice.isEmpty()) {
			fail(noTarget(kind));
			return;
		}
		this.attempts++;
		this.target = choice.get();
		this.tried.add(this.target.host().name());
		this.request = this.request.withId(this.entry.nextId());
		this.sequencer = TokenSequencer.of(this.request.id(), 0);
		this.readIndex = 0;
		this.acknowledgedIndex = 0;
		long leftMillis = this.deadlineMillis - this.entry.clock().millis();
		this.target.begin(this);
		sendFirst(new Message.Generate(this.request.withDeadline(leftMillis)));
	}

	private Failure noTarget(Predicate<HostList.Host> kind) {
		if (this.lastRefusal != null) {
			return this.lastRefusal;
		}
		if (this.entry.targets().exists(kind)) {
			return Failure.notRun(ResultCode.NO_TARGET, "no target takes the request now")
				.withRetryAfter(Entry.NO_TARGET_RETRY_MILLIS);
		}
		return Failure.notRun(ResultCode.UNKNOWN_MODEL, "no target serves " + this.request.model());
	}

	private String affinity() {
		String prompt = this.request.prompt();
		return this.request.workspace() + '\0' + prompt.substring(0, Math.min(AFFINITY_CHARACTERS, prompt.length()));
	}

	@Override
	public String id() {
		return this.request.id();
	}

	@Override
	public void received(Message message) {
		if (this.ended) {
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
		if (this.sequencer.gapBefore(tokens.id(), tokens.firstIndex())) {
			this.target.send(resumeMessage());
			return;
		}
		int index = this.sequencer.nextIndex();
		List<String> fresh = this.sequencer.accept(tokens.id(), tokens.firstIndex(), tokens.tokens());
		if (fresh.isEmpty()) {
			return;
		}
		if (index == 0) {
			this.entry.targets().succeeded(this.target, this.entry.clock().millis() - this.startMillis);
		}
		this.caller.tokens(this.target.host().name(), this.request.id(), index, fresh);
		if (!this.caller.streams()) {
			read(this.sequencer.nextIndex());
		}
	}

	private void takeEnd(Message.Finished finished) {
		sessionWorks();
		this.sequencer.end(finished.id(), finished.count());
		if (!this.sequencer.complete()) {
			this.target.send(resumeMessage());
			return;
		}
		finish();
		this.caller.finished(finished.count(), finished.reason());
	}

	private void takeFailure(Failure failure) {
		sessionWorks();
		boolean kept = this.continued || this.caller.streams() && this.sequencer.nextIndex() > 0;
		boolean lost = failure.code() == ResultCode.GENERATION_LOST || failure.code() == ResultCode.GENERATION_UNKNOWN;
		if (lost) {
			this.entry.targets().failed(this.target);
		}
		this.maybeRan |= failure.ran() != Ran.NO;
		this.lastRefusal = failure;
		boolean tryAgain = !kept && (lost || failure.code().anotherTargetMayServe());
		if (tryAgain && mayTryAgain(failure)) {
			startAgain();
			return;
		}
		fail((kept && lost && !this.continued) ? lostFailure(failure.message()) : failure);
	}

	/**
	 * Refusals because of a removal or a stop cost nothing and are not charged to the
	 * retry budget.
	 * @param failure how the attempt failed
	 * @return whether another attempt is allowed
	 */
	private boolean mayTryAgain(Failure failure) {
		boolean free = failure.code() == ResultCode.DATA_CENTRE_OUT || failure.code() == ResultCode.TARGET_LEAVING;
		return free || this.attempts < MOST_ATTEMPTS && this.entry.retryBudget().spend();
	}

	private void startAgain() {
		this.target.end(this.request.id());
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
		if (!this.ended) {
			waitForSession();
		}
	}

	private void waitForSession() {
		if (this.waiting) {
			return;
		}
		this.waiting = true;
		long limitMillis = keepsTokens() ? RESUME_LIMIT_MILLIS : this.entry.connectLimitMillis();
		this.resumeLimit = this.entry.scheduler().schedule(limitMillis, this::giveTargetUp);
	}

	private boolean keepsTokens() {
		return this.sequencer.nextIndex() > 0;
	}

	private void sessionWorks() {
		this.waiting = false;
		this.resumeLimit.cancel();
	}

	private void giveTargetUp() {
		if (!this.ended && this.waiting) {
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
				: Failure.unknown(ResultCode.TARGET_LOST, message);
	}

	@Override
	public void sessionBegan(long incarnation) {
		if (this.ended) {
			return;
		}
		if (this.unsent != null) {
			sessionWorks();
			sendFirst(this.unsent);
		}
		else if (this.waiting) {
			LogEvent.GENERATION_RESUMED.log(logger, this.request.id(), this.sequencer.nextIndex());
			this.target.send(resumeMessage());
		}
	}

	private Message resumeMessage() {
		return new Message.Resume(this.request.id(), this.request.workspace(), this.sequencer.nextIndex(), true);
	}

	/**
	 * Takes in how far the caller has read, so that the sidecar may send more.
	 * @param nextIndex index of the first token not read
	 */
	void read(int nextIndex) {
		this.readIndex = Math.max(this.readIndex, nextIndex);
		if (!this.ended && this.readIndex - this.acknowledgedIndex >= ACKNOWLEDGE_TOKENS) {
			this.acknowledgedIndex = this.readIndex;
			this.target.send(new Message.Acknowledge(this.request.id(), this.readIndex));
		}
	}

	/**
	 * Gives the request up, since its caller is gone.
	 */
	void callerGone() {
		if (!this.ended) {
			cancelAttempt();
			finish();
		}
	}

	private void cancelAttempt() {
		if (this.target != null) {
			this.target.send(new Message.Cancel(this.request.id()));
		}
	}

	private void fail(Failure failure) {
		boolean doubtful = failure.ran() == Ran.NO && this.maybeRan;
		finish();
		this.caller.failed(doubtful ? failure.withRan(Ran.UNKNOWN) : failure);
	}

	private void finish() {
		this.ended = true;
		this.deadline.cancel();
		this.resumeLimit.cancel();
		if (this.target != null) {
			this.target.end(this.request.id());
		}
		this.entry.ended(this);
	}

}
