package io.dotterelcrank.process.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.HashRank;
import io.dotterelcrank.process.Scheduler;
import io.dotterelcrank.process.claim.ClaimKey;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.request.Call;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;

/**
 * One caller's call to a plain service at an entry host. A call that may not be repeated
 * first reserves a place, so that it is sent only to a target that answers. Invariants: a
 * new attempt follows only an attempt that did not run, or a call that is idempotent or
 * keyed; the caller hears one end. Belongs to the control thread.
 */
final class CallRequest implements Attempt {

	/** Most attempts. */
	static final int MOST_ATTEMPTS = 4;

	/**
	 * Time for which a lost target may come back to say what became of a call, in
	 * milliseconds.
	 */
	static final long RESOLVE_LIMIT_MILLIS = 5_000;

	/** Part of the deadline left to the answer's way back, as divisor. */
	private static final long MARGIN_DIVISOR = 10;

	/** Largest time left to the answer's way back, in milliseconds. */
	private static final long MOST_MARGIN_MILLIS = 200;

	/** The entry process. */
	private final Entry entry;

	/** The caller. */
	private final CallCaller caller;

	/** The request; its id is replaced with each attempt. */
	private Call call;

	/** When the caller gives up, in milliseconds. */
	private final long deadlineMillis;

	/** When the request came, in milliseconds. */
	private final long startMillis;

	/** Names of targets that have refused the request. */
	private final Set<String> tried = new HashSet<>();

	/** Target of the current attempt. */
	private TargetLink target;

	/** How far the current attempt has come. */
	private Stage stage = Stage.CONNECTING;

	/** Incarnation of the sidecar to which the call was sent; 0 if not known. */
	private long sentTo;

	/** Whether an earlier attempt may have run. */
	private boolean maybeRan;

	/** Number of attempts so far. */
	private int attempts;

	/** How the last attempt was refused, or {@code null}. */
	private Failure lastRefusal;

	/** Whether the target was named by a claim. */
	private boolean redirected;

	/** Whether the log says that the call ran to its end. */
	private boolean done;

	/** Whether a lost target is about to be given up. */
	private boolean limitArmed;

	/** Whether the caller has heard the end. */
	private boolean ended;

	/** Ends the request at its deadline. */
	private Scheduler.Timer deadline = () -> {
	};

	/** Gives up a lost target. */
	private Scheduler.Timer resolveLimit = () -> {
	};

	CallRequest(Entry entry, Call call, CallCaller caller) {
		this.entry = entry;
		this.call = call;
		this.caller = caller;
		this.startMillis = entry.clock().millis();
		this.deadlineMillis = this.startMillis + call.deadlineMillis();
	}

	/**
	 * Starts the call.
	 */
	void start() {
		long leftMillis = this.deadlineMillis - this.entry.clock().millis();
		this.deadline = this.entry.scheduler().schedule(leftMillis, this::deadlinePassed);
		attempt();
	}

	private void deadlinePassed() {
		if (!this.ended) {
			this.target.send(new Message.Cancel(this.call.id()));
			fail(new Failure(ResultCode.DEADLINE_EXCEEDED, ranWithoutAnswer(), 0, "the deadline passed"));
		}
	}

	private Ran ranWithoutAnswer() {
		return (this.stage == Stage.SENT) ? Ran.UNKNOWN : Ran.NO;
	}

	private void attempt() {
		Predicate<HostList.Host> kind = (host) -> host.service().equals(this.call.service())
				&& host.role() == HostList.Role.SERVICE;
		Optional<TargetLink> choice = this.call.keyed() ? hinted(kind)
				: this.entry.targets().choose(kind, this.call.workspace(), this.tried);
		if (choice.isEmpty()) {
			fail(noTarget(kind));
			return;
		}
		attemptAt(choice.get());
	}

	private Failure noTarget(Predicate<HostList.Host> kind) {
		if (this.lastRefusal != null) {
			return this.lastRefusal;
		}
		if (this.entry.targets().exists(kind)) {
			return Failure.notRun(ResultCode.NO_TARGET, "no target takes the request now")
				.withRetryAfter(Entry.NO_TARGET_RETRY_MILLIS);
		}
		return Failure.notRun(ResultCode.UNKNOWN_SERVICE, "no target serves " + this.call.service());
	}

	/**
	 * Finds the target that writes the claims of the key's partition. Any other target
	 * would do as well: the log decides.
	 * @param kind which targets serve the request
	 * @return the target, or nothing if no target takes new work
	 */
	private Optional<TargetLink> hinted(Predicate<HostList.Host> kind) {
		String partition = ClaimKey.stream(ClaimKey.of(this.call.claimKey()).partition());
		List<HostList.Host> ranked = HashRank.rank(partition, this.entry.targets().candidates(kind),
				HostList.Host::name);
		return ranked.stream()
			.filter((host) -> !this.tried.contains(host.name()))
			.findFirst()
			.flatMap((host) -> this.entry.targets().named(host.name()));
	}

	private void attemptAt(TargetLink choice) {
		this.attempts++;
		this.target = choice;
		this.tried.add(choice.host().name());
		this.call = this.call.withId(this.entry.nextId());
		this.stage = Stage.CONNECTING;
		choice.begin(this);
		if (choice.open()) {
			sendFirst();
		}
		else {
			armLimit(this.entry.connectLimitMillis());
		}
	}

	/**
	 * Sends the attempt's first message. That happens only on an open session, so that
	 * the process that may have received it is known.
	 */
	private void sendFirst() {
		boolean reserve = !this.call.idempotent() && !this.call.keyed();
		if (reserve) {
			this.stage = Stage.RESERVING;
			this.target.send(new Message.Reserve(this.call.id(), this.call.service(), this.call.workspace()));
		}
		else {
			sendCall();
		}
	}

	private void sendCall() {
		this.stage = Stage.SENT;
		this.sentTo = this.target.peerIncarnation();
		this.target.send(invocation());
	}

	private Message invocation() {
		long leftMillis = this.deadlineMillis - this.entry.clock().millis();
		long marginMillis = Math.min(MOST_MARGIN_MILLIS, leftMillis / MARGIN_DIVISOR);
		return new Message.Invoke(this.call.withDeadline(leftMillis - marginMillis));
	}

	@Override
	public String id() {
		return this.call.id();
	}

	@Override
	public void received(Message message) {
		if (this.ended) {
			return;
		}
		cancelLimit();
		if (message instanceof Message.Reserved && this.stage == Stage.RESERVING) {
			sendCall();
		}
		else if (message instanceof Message.Answer answer) {
			this.entry.targets().succeeded(this.target, this.entry.clock().millis() - this.startMillis);
			finish();
			this.caller.answered(answer.reply());
		}
		else if (message instanceof Message.Failed failed) {
			takeFailure(failed.failure());
		}
		else if (message instanceof Message.ClaimedElsewhere claimed) {
			follow(claimed);
		}
	}

	/**
	 * Asks the target that holds the claim for the outcome.
	 * @param claimed who holds the claim
	 */
	private void follow(Message.ClaimedElsewhere claimed) {
		Optional<TargetLink> holder = this.entry.targets().named(claimed.target());
		this.done |= claimed.done();
		this.maybeRan = true;
		if (holder.isEmpty() || this.attempts >= MOST_ATTEMPTS) {
			fail(claimLost());
			return;
		}
		this.target.end(this.call.id());
		this.redirected = true;
		attemptAt(holder.get());
	}

	private Failure claimLost() {
		return this.done
				? new Failure(ResultCode.KEY_ANSWER_GONE, Ran.YES, 0, "the call ran; its answer is no longer kept")
				: Failure.unknown(ResultCode.KEY_OUTCOME_UNKNOWN, "the target that holds the key cannot be reached");
	}

	private void takeFailure(Failure failure) {
		boolean lostWithKey = this.call.keyed() && failure.code() == ResultCode.TARGET_LOST;
		boolean safe = failure.ran() == Ran.NO || this.call.idempotent() || lostWithKey;
		boolean another = failure.code().anotherTargetMayServe() || failure.code() == ResultCode.TARGET_FAILED;
		if (failure.code() == ResultCode.TARGET_LOST || failure.code() == ResultCode.TARGET_FAILED) {
			this.entry.targets().failed(this.target);
		}
		this.maybeRan |= failure.ran() != Ran.NO;
		this.maybeRan &= !settledByHolder(failure);
		this.lastRefusal = failure;
		boolean unconfirmed = failure.code() == ResultCode.CLAIM_UNCONFIRMED;
		if (safe && another && !unconfirmed && !this.redirected && mayTryAgain(failure)) {
			this.target.end(this.call.id());
			attempt();
			return;
		}
		fail(failure);
	}

	/**
	 * Tells whether the target that holds the key says that nothing ran under it.
	 * @param failure how the attempt at that target failed
	 * @return {@code true} if the target has looked at its claim
	 */
	private boolean settledByHolder(Failure failure) {
		boolean looked = failure.code() == ResultCode.TARGET_LOST || failure.code() == ResultCode.KEY_REUSED;
		return this.redirected && failure.ran() == Ran.NO && looked;
	}

	private boolean mayTryAgain(Failure failure) {
		boolean free = failure.code() == ResultCode.DATA_CENTRE_OUT || failure.code() == ResultCode.TARGET_LEAVING;
		return free || this.attempts < MOST_ATTEMPTS && this.entry.retryBudget().spend();
	}

	@Override
	public void linkLost() {
		if (this.ended) {
			return;
		}
		if (this.stage == Stage.RESERVING || this.call.idempotent() && !this.call.keyed()) {
			giveTargetUp();
		}
		else if (!this.limitArmed) {
			armLimit(RESOLVE_LIMIT_MILLIS);
		}
	}

	private void armLimit(long limitMillis) {
		cancelLimit();
		this.limitArmed = true;
		this.resolveLimit = this.entry.scheduler().schedule(limitMillis, this::giveTargetUp);
	}

	private void cancelLimit() {
		this.limitArmed = false;
		this.resolveLimit.cancel();
	}

	/**
	 * Gives up a target that cannot be reached. An attempt that was only reserving did
	 * not run, since the call itself was never sent.
	 */
	private void giveTargetUp() {
		if (this.ended) {
			return;
		}
		this.target.send(new Message.Cancel(this.call.id()));
		if (this.redirected) {
			fail(claimLost());
			return;
		}
		boolean notSent = this.stage != Stage.SENT;
		this.maybeRan |= !notSent;
		boolean keyed = this.call.keyed();
		this.tried.remove(this.target.host().name());
		if ((notSent || keyed || this.call.idempotent()) && this.attempts < MOST_ATTEMPTS
				&& this.entry.retryBudget().spend()) {
			this.target.end(this.call.id());
			attempt();
			return;
		}
		fail(new Failure(ResultCode.TARGET_LOST, notSent ? Ran.NO : Ran.UNKNOWN, 0,
				"the target could not be reached in time"));
	}

	@Override
	public void sessionBegan(long incarnation) {
		if (this.ended) {
			return;
		}
		if (this.stage == Stage.CONNECTING) {
			cancelLimit();
			sendFirst();
			return;
		}
		if (this.stage == Stage.SENT && this.sentTo != incarnation) {
			cancelLimit();
			this.maybeRan = true;
			takeFailure(new Failure(ResultCode.TARGET_LOST, Ran.UNKNOWN, 0, "the target's process was replaced"));
			return;
		}
		armLimit(RESOLVE_LIMIT_MILLIS);
		this.target.send(new Message.Resolve(this.call.id()));
	}

	/**
	 * Tells the caller how the request failed. If an earlier attempt may have run, the
	 * answer cannot be that the request did not run.
	 * @param failure how the last attempt failed
	 */
	private void fail(Failure failure) {
		boolean doubtful = failure.ran() == Ran.NO && this.maybeRan;
		finish();
		this.caller.failed(doubtful ? failure.withRan(Ran.UNKNOWN) : failure);
	}

	private void finish() {
		this.ended = true;
		this.deadline.cancel();
		cancelLimit();
		if (this.target != null) {
			this.target.end(this.call.id());
		}
		this.entry.ended(this);
	}

	/**
	 * How far an attempt has come.
	 */
	private enum Stage {

		/** Waits for a session; nothing has been sent. */
		CONNECTING,

		/** Waits for a place; the call itself has not been sent. */
		RESERVING,

		/** The call has been sent. */
		SENT

	}

}
