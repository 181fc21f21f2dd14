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
 * One caller's call to a plain service at an entry host. A call that may not be repeated
 * first reserves a place, so that it is sent only to a target that answers. Invariants: a
 * new attempt follows only an attempt that did not run, or a call that is idempotent or
 * keyed; the caller hears one end. Belongs to the control thread.
 */
final class CallRequest extends AbstractRequest {

	/**
	 * Time for which a lost target may come back to say what became of a call, in
	 * milliseconds.
	 */
	static final long RESOLVE_LIMIT_MILLIS = 5_000;

	/** Part of the deadline left to the answer's way back, as divisor. */
	private static final long MARGIN_DIVISOR = 10;

	/** Largest time left to the answer's way back, in milliseconds. */
	private static final long MOST_MARGIN_MILLIS = 200;

	/** The caller. */
	private final CallListener caller;

	/** The request; its id is replaced with each attempt. */
	private ServiceCall call;

	/** How far the current attempt has come. */
	private Stage stage = Stage.CONNECTING;

	/** Incarnation of the sidecar to which the call was sent; 0 if not known. */
	private long sentTo;

	/** Whether the target was named by a claim. */
	private boolean redirected;

	/** Whether the log says that the call ran to its end. */
	private boolean done;

	/** Whether a lost target is about to be given up. */
	private boolean limitArmed;

	/** Gives up a lost target. */
	private Scheduler.ScheduledTask resolveLimit = () -> {
	};

	CallRequest(EntryProcess entry, ServiceCall call, CallListener caller) {
		super(entry, call.deadlineMillis());
		this.call = call;
		this.caller = caller;
	}

	/**
	 * Starts the call.
	 */
	void start() {
		armDeadline();
		attempt();
	}

	@Override
	Ran ranWithoutAnswer() {
		return (this.stage == Stage.SENT) ? Ran.UNKNOWN : Ran.NO;
	}

	private void attempt() {
		Predicate<HostList.Host> kind = (host) -> host.service().equals(this.call.service())
				&& host.role() == HostList.Role.SERVICE;
		Optional<TargetLink> choice = this.call.keyed() ? hinted(kind)
				: entry().targets().choose(kind, this.call.workspace(), tried());
		if (choice.isEmpty() && readsList(kind, this::attempt)) {
			return;
		}
		if (choice.isEmpty()) {
			fail(noTarget(kind, Failure.notRun(ResultCode.UNKNOWN_SERVICE, "no target serves " + this.call.service())));
			return;
		}
		attemptAt(choice.get());
	}

	/**
	 * Finds the target that writes the claims of the key's partition. Any other target
	 * would do as well: the log decides.
	 * @param kind which targets serve the request
	 * @return the target, or nothing if no target takes new work
	 */
	private Optional<TargetLink> hinted(Predicate<HostList.Host> kind) {
		String partition = ClaimKey.stream(ClaimKey.of(this.call.claimKey()).partition());
		List<HostList.Host> ranked = RendezvousHash.rank(partition, entry().targets().candidates(kind),
				HostList.Host::name);
		return ranked.stream()
			.filter((host) -> !tried().contains(host.name()))
			.findFirst()
			.flatMap((host) -> entry().targets().named(host.name()));
	}

	private void attemptAt(TargetLink choice) {
		nextAttempt(choice);
		this.call = this.call.withId(entry().nextId(this.call.workspace()));
		this.stage = Stage.CONNECTING;
		choice.begin(this);
		if (choice.open()) {
			sendFirst();
		}
		else {
			armLimit(EntryProcess.CONNECT_LIMIT_MILLIS);
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
			target().send(new Message.Reserve(this.call.id(), this.call.workspace(), this.call.priority()));
		}
		else {
			sendCall();
		}
	}

	private void sendCall() {
		this.stage = Stage.SENT;
		this.sentTo = target().peerIncarnation();
		target().send(invocation());
	}

	private Message invocation() {
		long leftMillis = leftMillis();
		long marginMillis = Math.min(MOST_MARGIN_MILLIS, leftMillis / MARGIN_DIVISOR);
		return new Message.Invoke(this.call.withDeadline(leftMillis - marginMillis));
	}

	@Override
	void tell(Failure failure) {
		this.caller.failed(failure);
	}

	@Override
	public String id() {
		return this.call.id();
	}

	@Override
	public void received(Message message) {
		if (ended()) {
			return;
		}
		cancelLimit();
		if (message instanceof Message.Reserved && this.stage == Stage.RESERVING) {
			sendCall();
		}
		else if (message instanceof Message.CallResponse answer) {
			entry().targets().succeeded(target(), sinceStartMillis());
			finish();
			this.caller.answered(answer.response());
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
		Optional<TargetLink> holder = entry().targets().named(claimed.target());
		this.done |= claimed.done();
		maybeRan(true);
		if (holder.isEmpty() || attempts() >= MOST_ATTEMPTS) {
			fail(claimLost());
			return;
		}
		target().end(this);
		this.redirected = true;
		attemptAt(holder.get());
	}

	private Failure claimLost() {
		return this.done
				? new Failure(ResultCode.KEY_ANSWER_GONE, Ran.YES, 0, "the call ran; its answer is no longer kept")
				: Failure.mayHaveRun(ResultCode.KEY_OUTCOME_UNKNOWN, "the target that holds the key cannot be reached");
	}

	private void takeFailure(Failure failure) {
		boolean lostWithKey = this.call.keyed() && failure.code() == ResultCode.TARGET_LOST;
		boolean safe = failure.ran() == Ran.NO || this.call.idempotent() || lostWithKey;
		boolean another = failure.code().retryableOnAnotherTarget() || failure.code() == ResultCode.TARGET_FAILED;
		if (failure.code() == ResultCode.TARGET_LOST || failure.code() == ResultCode.TARGET_FAILED) {
			entry().targets().failed(target());
		}
		noteFailure(failure);
		maybeRan(maybeRan() && !settledByHolder(failure));
		boolean unconfirmed = failure.code() == ResultCode.CLAIM_UNCONFIRMED;
		if (safe && another && !unconfirmed && !this.redirected && mayTryAgain(failure)) {
			target().end(this);
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

	@Override
	public void linkLost() {
		if (ended()) {
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
		this.resolveLimit = entry().scheduler().schedule(limitMillis, this::giveTargetUp);
	}

	@Override
	void cancelLimit() {
		this.limitArmed = false;
		this.resolveLimit.cancel();
	}

	/**
	 * Gives up a target that cannot be reached. An attempt that was only reserving did
	 * not run, since the call itself was never sent.
	 */
	private void giveTargetUp() {
		if (ended()) {
			return;
		}
		cancelAttempt();
		if (this.redirected) {
			fail(claimLost());
			return;
		}
		boolean notSent = this.stage != Stage.SENT;
		maybeRan(maybeRan() || !notSent);
		boolean keyed = this.call.keyed();
		tried().remove(target().host().name());
		if ((notSent || keyed || this.call.idempotent()) && mayTryAgain()) {
			target().end(this);
			attempt();
			return;
		}
		fail(new Failure(ResultCode.TARGET_LOST, notSent ? Ran.NO : Ran.UNKNOWN, 0,
				"the target could not be reached in time"));
	}

	@Override
	public void sessionBegan(long incarnation) {
		if (ended()) {
			return;
		}
		if (this.stage == Stage.CONNECTING) {
			cancelLimit();
			sendFirst();
			return;
		}
		if (this.stage == Stage.SENT && this.sentTo != incarnation) {
			cancelLimit();
			maybeRan(true);
			takeFailure(new Failure(ResultCode.TARGET_LOST, Ran.UNKNOWN, 0, "the target's process was replaced"));
			return;
		}
		armLimit(RESOLVE_LIMIT_MILLIS);
		target().send(new Message.QueryOutcome(this.call.id()));
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
