package io.dotterelcrank.process.entry;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;

/**
 * What requests of all kinds do alike: count attempts, keep to the retry budget and the
 * deadline, and tell the caller one end. Invariant: once an attempt may have run, the
 * caller is not told that the request did not run. Belongs to the control thread.
 */
abstract class AbstractRequest implements Attempt {

	/** Most attempts. */
	static final int MOST_ATTEMPTS = 4;

	/** The entry process. */
	private final EntryProcess entry;

	/** When the request came, in milliseconds. */
	private final long startMillis;

	/** When the caller gives up, in milliseconds. */
	private final long deadlineMillis;

	/** Names of targets that have refused the request. */
	private final Set<String> tried = new HashSet<>();

	/** Target of the current attempt, or {@code null} before the first. */
	private TargetLink target;

	/** Number of attempts so far. */
	private int attempts;

	/** How the last attempt failed, or {@code null}. */
	private Failure lastFailure;

	/** Whether an earlier attempt may have run. */
	private boolean maybeRan;

	/** Whether the host list was read for this request. */
	private boolean listChecked;

	/** Whether the caller has heard the end. */
	private boolean ended;

	/** Ends the request at its deadline. */
	private Scheduler.ScheduledTask deadline = () -> {
	};

	AbstractRequest(EntryProcess entry, long leftMillis) {
		this.entry = entry;
		this.startMillis = entry.clock().millis();
		this.deadlineMillis = this.startMillis + leftMillis;
	}

	/**
	 * Tells the caller how the request failed.
	 * @param failure how
	 */
	abstract void tell(Failure failure);

	/**
	 * Tells whether the current attempt ran, when no answer has come.
	 * @return what is known
	 */
	abstract Ran ranWithoutAnswer();

	/**
	 * Cancels what waits for a lost target.
	 */
	abstract void cancelLimit();

	/**
	 * Gives the current attempt up at its target, if there is one and no other request
	 * has taken it over.
	 */
	void cancelAttempt() {
		if (this.target != null && this.target.carries(this)) {
			this.target.send(new Message.Cancel(id()));
		}
	}

	/**
	 * Ends the request at its deadline, if it has not ended before.
	 */
	void armDeadline() {
		this.deadline = this.entry.scheduler().schedule(leftMillis(), () -> {
			if (!this.ended) {
				cancelAttempt();
				fail(new Failure(ResultCode.DEADLINE_EXCEEDED, ranWithoutAnswer(), 0, "the deadline passed"));
			}
		});
	}

	/**
	 * Begins an attempt.
	 * @param choice its target
	 */
	void nextAttempt(TargetLink choice) {
		this.attempts++;
		this.target = choice;
		this.tried.add(choice.host().name());
	}

	/**
	 * Reads the host list again if it names no target of a kind, which may just not have
	 * been read yet. Happens once for a request.
	 * @param kind which targets serve the request
	 * @param again tries again after the list was read
	 * @return whether the list is being read
	 */
	boolean readsList(Predicate<HostList.Host> kind, Runnable again) {
		boolean named = this.entry.targets().exists(kind);
		if (named || this.listChecked || this.lastFailure != null || this.entry.listFresh()) {
			return false;
		}
		this.listChecked = true;
		this.entry.readHostList((read) -> {
			if (this.ended) {
				return;
			}
			if (read) {
				again.run();
			}
			else {
				fail(Failure.notRun(ResultCode.NOT_READY, "the host list cannot be read")
					.withRetryAfter(EntryProcess.HOST_LIST_MILLIS));
			}
		});
		return true;
	}

	/**
	 * Says why no target was found.
	 * @param kind which targets serve the request
	 * @param unknown what to say if none does
	 * @return the last failure, if there was one
	 */
	Failure noTarget(Predicate<HostList.Host> kind, Failure unknown) {
		if (this.lastFailure != null) {
			return this.lastFailure;
		}
		if (this.entry.targets().exists(kind)) {
			return Failure.notRun(ResultCode.NO_TARGET, "no target takes the request now")
				.withRetryAfter(EntryProcess.NO_TARGET_RETRY_MILLIS);
		}
		return unknown;
	}

	/**
	 * Takes in how an attempt failed.
	 * @param failure how
	 */
	void noteFailure(Failure failure) {
		this.maybeRan |= failure.ran() != Ran.NO;
		this.lastFailure = failure;
	}

	/**
	 * Asks for another attempt. Refusals because of a removal or a stop cost nothing and
	 * are not charged to the retry budget.
	 * @param failure how the attempt failed
	 * @return whether another attempt is allowed
	 */
	boolean mayTryAgain(Failure failure) {
		boolean free = failure.code() == ResultCode.DATA_CENTRE_OUT || failure.code() == ResultCode.TARGET_LEAVING;
		return free || mayTryAgain();
	}

	/**
	 * Asks for another attempt that counts as a retry.
	 * @return whether another attempt is allowed
	 */
	boolean mayTryAgain() {
		return this.attempts < MOST_ATTEMPTS && this.entry.retryBudget().tryAcquire();
	}

	/**
	 * Tells the caller how the request failed. If an earlier attempt may have run, the
	 * answer cannot be that the request did not run.
	 * @param failure how the last attempt failed
	 */
	void fail(Failure failure) {
		boolean doubtful = failure.ran() == Ran.NO && this.maybeRan;
		finish();
		tell(doubtful ? failure.withRan(Ran.UNKNOWN) : failure);
	}

	/**
	 * Ends the request; nothing more is heard of its attempts.
	 */
	void finish() {
		this.ended = true;
		this.deadline.cancel();
		cancelLimit();
		if (this.target != null) {
			this.target.end(this);
		}
		this.entry.ended(this);
	}

	/**
	 * Sets whether an earlier attempt may have run.
	 * @param value whether it may
	 */
	void maybeRan(boolean value) {
		this.maybeRan = value;
	}

	boolean maybeRan() {
		return this.maybeRan;
	}

	EntryProcess entry() {
		return this.entry;
	}

	long leftMillis() {
		return this.deadlineMillis - this.entry.clock().millis();
	}

	long sinceStartMillis() {
		return this.entry.clock().millis() - this.startMillis;
	}

	Set<String> tried() {
		return this.tried;
	}

	TargetLink target() {
		return this.target;
	}

	int attempts() {
		return this.attempts;
	}

	boolean ended() {
		return this.ended;
	}

}
