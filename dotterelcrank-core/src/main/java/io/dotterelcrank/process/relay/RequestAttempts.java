package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Defects;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.version.plan.Workspace;

/**
 * The attempts of one request. Invariant: contains exactly the attempts without a final
 * result. Confined to the traffic thread.
 */
final class RequestAttempts {

	/** Max priority value passed to an engine; 0 is the most urgent. */
	private static final int MAX_ENGINE_PRIORITY = 9;

	private static final Logger logger = LoggerFactory.getLogger(RequestAttempts.class);

	private final RelayedRequest request;

	private final CallerChannel caller;

	private final RelayService relayService;

	private final List<RelayAttempt> active = new ArrayList<>();

	private final Set<String> triedTargetIds = new HashSet<>();

	private int sendCount;

	RequestAttempts(RelayedRequest request, CallerChannel caller, RelayService relayService) {
		this.request = request;
		this.caller = caller;
		this.relayService = relayService;
	}

	/**
	 * Sends the request to a target.
	 * @param target target to send to
	 * @param backupHolder holder of the generation's KV backup
	 * @param resumeFrom copy of the KV cache to resume from; empty for a new execution
	 * @param cause reason of the send, for logs and metrics
	 * @return the attempt
	 */
	RelayAttempt send(TrackedTarget target, Optional<TrackedTarget> backupHolder,
			Optional<TargetRequest.KvCopy> resumeFrom, String cause) {
		this.sendCount++;
		if (this.sendCount > 1) {
			this.relayService.retryBudget(this.request.service().name()).recordRetry();
		}
		if (target.cold()) {
			target.coldRateLimiter().recordSend();
		}
		this.triedTargetIds.add(target.id());
		RelayAttempt attempt = new RelayAttempt(this.request, target, backupHolder, resumeFrom.isPresent(),
				this.relayService);
		this.active.add(attempt);
		try {
			recordSend(target, backupHolder, cause);
		}
		catch (Throwable ex) {
			attempt.cancel();
			throw ex;
		}
		try {
			attempt.setExchange(this.relayService.targetClient().send(targetRequest(attempt, resumeFrom), attempt));
		}
		catch (Throwable ex) {
			attempt.startFailed();
			throw ex;
		}
		return attempt;
	}

	private void recordSend(TrackedTarget target, Optional<TrackedTarget> backupHolder, String cause) {
		LogEvent.REQUEST_SENT.log(logger, this.request.id(), target.id(), this.request.service().name(), this.sendCount,
				cause, backupHolder.map(TrackedTarget::id).orElse("-"), this.relayService.plan().version(),
				target.load(), target.versionText());
		this.relayService.metrics().recordSend(cause);
		this.relayService.rolloutGate().recordSend(target);
		if (target.rateGate().limit().named()) {
			this.relayService.metrics().recordLimitedSend();
		}
		target.rateGate().recordSend();
	}

	/**
	 * Sends the request to a second target if the first one is slow, the retry budget
	 * allows and one has the capacity.
	 */
	void hedgeIfDue() {
		long millis = this.request.now() - first().sentMillis();
		if (!RetryPolicy.hedgeDue(this.request.route(), millis, this.sendCount) || endIfCallerLeft()
				|| !this.relayService.obtainsRetryPermit(this.request.service().name())) {
			return;
		}
		TargetPool.Choice choice = this.relayService.targetPool()
			.choose(this.request.service(), this.request.demand(), this.triedTargetIds);
		if (choice.target() != null) {
			this.request.trySend(choice.target(), Optional.empty(), "hedge");
		}
	}

	private TargetRequest targetRequest(RelayAttempt attempt, Optional<TargetRequest.KvCopy> resumeFrom) {
		long remainingMillis = Math.max(1, this.request.request().deadlineAtMillis() - this.request.now());
		OptionalLong resumeAfterEventId = resumeFrom.isPresent() ? OptionalLong.of(this.request.lastEventId())
				: OptionalLong.empty();
		return new TargetRequest(this.request.request(), attempt.target().membership().registration(),
				this.request.workspace().map(Workspace::name), remainingMillis, enginePriority(), resumeFrom,
				resumeAfterEventId, attempt.backupHolder());
	}

	private OptionalInt enginePriority() {
		return this.request.service().engine().isPresent()
				? OptionalInt.of(Math.min(MAX_ENGINE_PRIORITY, this.request.priority())) : OptionalInt.empty();
	}

	/**
	 * Records what a target made of the request.
	 * @param target target of an attempt
	 * @param failed whether its response was an error of its own, broke off or cannot be
	 * used
	 * @param millis time from the send to the response or first event, in milliseconds
	 */
	void recordOutcome(TrackedTarget target, boolean failed, long millis) {
		this.relayService.rolloutGate().recordOutcome(target, this.request.route().name(), failed, millis);
	}

	/**
	 * Reads what has arrived from the caller, and ends the request if its connection is
	 * closed.
	 * @return {@code true} if the request has ended
	 */
	boolean endIfCallerLeft() {
		if (!this.caller.readArrived()) {
			this.request.callerDisconnected();
		}
		return this.request.done();
	}

	/**
	 * Logs the attempts whose targets may work on a request that its caller had left
	 * before it was sent.
	 */
	void logLateClose() {
		long lateMillis = this.relayService.threadLateness().millis();
		if (lateMillis >= ThreadLateness.LOGGED_MILLIS) {
			this.active.stream()
				.filter(RelayAttempt::writeStarted)
				.forEach((attempt) -> LogEvent.CLOSE_READ_LATE.log(logger, this.request.id(), attempt.target().id(),
						this.request.now() - attempt.sentMillis(), lateMillis));
		}
	}

	void remove(RelayAttempt attempt) {
		this.active.remove(attempt);
	}

	void cancelAll() {
		abandonAll(this.active.stream());
	}

	void cancelAllExcept(RelayAttempt attempt) {
		abandonAll(this.active.stream().filter((other) -> other != attempt));
	}

	private static void abandonAll(Stream<RelayAttempt> attempts) {
		Defects.runAll(attempts.<Runnable>map((attempt) -> attempt::abandon).toArray(Runnable[]::new));
	}

	/**
	 * Pauses or resumes reading from the targets.
	 * @param enabled whether to read
	 */
	void setReadEnabled(boolean enabled) {
		this.active.forEach((attempt) -> attempt.setReadEnabled(enabled));
	}

	/**
	 * Returns the oldest attempt.
	 * @return the attempt
	 * @throws IndexOutOfBoundsException if there is none
	 */
	RelayAttempt first() {
		return this.active.get(0);
	}

	boolean isEmpty() {
		return this.active.isEmpty();
	}

	int size() {
		return this.active.size();
	}

	boolean anyWriteStarted() {
		return this.active.stream().anyMatch(RelayAttempt::writeStarted);
	}

	/**
	 * Returns the targets the request was ever sent to.
	 * @return ids of the targets
	 */
	Set<String> triedTargetIds() {
		return this.triedTargetIds;
	}

	/**
	 * Returns the number of sends, those of ended attempts included.
	 * @return number of sends
	 */
	int sendCount() {
		return this.sendCount;
	}

}
