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
 * Base of all requests: limits attempts, observes retry budget and deadline, and reports
 * one result to the caller. Invariant: once an attempt may have run, the request is not
 * reported as not run. Confined to the control thread.
 */
abstract class AbstractRequest implements AttemptHandler {

	/** Max attempts of a request, including the first. */
	static final int MAX_ATTEMPTS = 4;

	private final EntryProcess entry;

	private final RequestHandle handle;

	/** Time of arrival. */
	private final long startMillis;

	/** By the clock of this process. */
	private final long deadlineMillis;

	/** Names of targets not to be chosen again. */
	private final Set<String> triedTargets = new HashSet<>();

	/** Target of the current attempt, or {@code null} before the first. */
	private TargetLink target;

	private int attemptCount;

	/** Failure of the last attempt, or {@code null}. */
	private Failure lastFailure;

	/** Whether an attempt so far may have run. */
	private boolean requestMayHaveRun;

	/** Whether this request has triggered a read of the host list. */
	private boolean hostListReread;

	/** Whether the result was reported, or the caller has disconnected. */
	private boolean ended;

	/** Ends the request at its deadline. */
	private Scheduler.ScheduledTask deadlineTimer = () -> {
	};

	AbstractRequest(EntryProcess entry, RequestHandle handle, long timeoutMillis) {
		this.entry = entry;
		this.handle = handle;
		this.startMillis = entry.clock().millis();
		this.deadlineMillis = this.startMillis + timeoutMillis;
	}

	/**
	 * Reports the failure of the request to the caller.
	 * @param failure the failure
	 */
	abstract void notifyFailed(Failure failure);

	/**
	 * Returns whether the current attempt ran, if it is abandoned now without a response.
	 * @return {@link Ran#UNKNOWN} if it may have run
	 */
	abstract Ran ranIfAbandoned();

	/**
	 * Cancels the timeout after which an unreachable target is abandoned.
	 */
	abstract void cancelTargetTimeout();

	/**
	 * Cancels the current attempt at its target, unless another request has taken over
	 * its id.
	 */
	void cancelAttempt() {
		if (this.target != null && this.target.isAttached(this)) {
			this.target.send(new Message.Cancel(id()));
		}
	}

	/**
	 * Starts the timer that fails the request at its deadline.
	 */
	void startDeadlineTimer() {
		this.deadlineTimer = this.entry.scheduler().schedule(remainingMillis(), () -> {
			if (!this.ended) {
				cancelAttempt();
				fail(new Failure(ResultCode.DEADLINE_EXCEEDED, ranIfAbandoned(), 0, "the deadline passed"));
			}
		});
	}

	/**
	 * Begins an attempt. The target is not chosen again for this request.
	 * @param chosen target of the attempt
	 */
	void beginAttempt(TargetLink chosen) {
		this.attemptCount++;
		this.target = chosen;
		this.triedTargets.add(chosen.host().name());
	}

	/**
	 * Reads the host list again if no known target serves the request: one may have been
	 * listed since the last read. Done at most once per request, and only before its
	 * first failure.
	 * @param servesRequest matches the targets that serve the request
	 * @param retry called after the list was read
	 * @return whether the list is being read
	 */
	boolean rereadHostList(Predicate<HostList.Host> servesRequest, Runnable retry) {
		boolean listed = this.entry.targets().anyServes(servesRequest);
		if (listed || this.hostListReread || this.lastFailure != null || this.entry.hostListFresh()) {
			return false;
		}
		this.hostListReread = true;
		this.entry.readHostList((success) -> {
			if (endedOrCallerLeft()) {
				return;
			}
			if (success) {
				retry.run();
			}
			else {
				fail(Failure.notRun(ResultCode.NOT_READY, "the host list could not be read")
					.withRetryAfter(EntryProcess.HOST_LIST_INTERVAL_MILLIS));
			}
		});
		return true;
	}

	/**
	 * Returns the failure to report if no target can be chosen.
	 * @param servesRequest matches the targets that serve the request
	 * @param unknownFailure failure to report if no known target serves the request
	 * @return the failure of the last attempt if there was one
	 */
	Failure noTargetFailure(Predicate<HostList.Host> servesRequest, Failure unknownFailure) {
		if (this.lastFailure != null) {
			return this.lastFailure;
		}
		if (this.entry.targets().anyServes(servesRequest)) {
			return Failure.notRun(ResultCode.NO_TARGET, "no target accepts the request now")
				.withRetryAfter(EntryProcess.NO_TARGET_RETRY_AFTER_MILLIS);
		}
		return unknownFailure;
	}

	/**
	 * Records the failure of an attempt.
	 * @param failure the failure
	 */
	void recordFailure(Failure failure) {
		this.requestMayHaveRun |= failure.ran() != Ran.NO;
		this.lastFailure = failure;
	}

	/**
	 * Requests another attempt. A retry after a refusal by a target that is draining or
	 * out of service is cheap and always allowed: it is not charged to the retry budget.
	 * @param failure failure of the last attempt
	 * @return whether another attempt is allowed
	 */
	boolean tryAcquireRetry(Failure failure) {
		boolean notCharged = failure.code() == ResultCode.DATA_CENTRE_OUT
				|| failure.code() == ResultCode.TARGET_LEAVING;
		return notCharged || tryAcquireRetry();
	}

	/**
	 * Requests another attempt, charged to the retry budget.
	 * @return whether another attempt is allowed
	 */
	boolean tryAcquireRetry() {
		return this.attemptCount < MAX_ATTEMPTS && this.entry.retryBudget().tryAcquire();
	}

	/**
	 * Ends the request with a failure. If an earlier attempt may have run, the request is
	 * not reported as not run.
	 * @param failure failure of the last attempt
	 */
	void fail(Failure failure) {
		boolean ranUncertain = failure.ran() == Ran.NO && this.requestMayHaveRun;
		finish();
		notifyFailed(ranUncertain ? failure.withRan(Ran.UNKNOWN) : failure);
	}

	/**
	 * Ends the request: stops its timers and detaches its attempt.
	 */
	void finish() {
		this.ended = true;
		this.deadlineTimer.cancel();
		cancelTargetTimeout();
		if (this.target != null) {
			this.target.detach(this);
		}
		this.entry.requestEnded(this);
	}

	/**
	 * Ends the request, since its caller has disconnected. Has no effect once it has
	 * ended.
	 */
	void callerDisconnected() {
		if (!this.ended) {
			abandonForCaller();
			finish();
		}
	}

	/**
	 * Cancels the current attempt, since the caller has disconnected.
	 */
	void abandonForCaller() {
		cancelAttempt();
	}

	/**
	 * Returns whether the request has ended, and ends it if its caller has left.
	 * @return {@code true} if nothing may be sent for the caller
	 */
	boolean endedOrCallerLeft() {
		if (this.handle.callerLeft()) {
			callerDisconnected();
		}
		return this.ended;
	}

	/**
	 * Sets whether an attempt so far may have run.
	 * @param value {@code false} if it is known that none has run
	 */
	void setRequestMayHaveRun(boolean value) {
		this.requestMayHaveRun = value;
	}

	boolean requestMayHaveRun() {
		return this.requestMayHaveRun;
	}

	EntryProcess entry() {
		return this.entry;
	}

	long remainingMillis() {
		return this.deadlineMillis - this.entry.clock().millis();
	}

	long elapsedMillis() {
		return this.entry.clock().millis() - this.startMillis;
	}

	Set<String> triedTargets() {
		return this.triedTargets;
	}

	TargetLink target() {
		return this.target;
	}

	int attemptCount() {
		return this.attemptCount;
	}

	boolean ended() {
		return this.ended;
	}

}
