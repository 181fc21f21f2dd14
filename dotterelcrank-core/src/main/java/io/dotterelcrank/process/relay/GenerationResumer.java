package io.dotterelcrank.process.relay;

import java.util.Optional;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.GenerationTraits;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.version.plan.ServiceSpec;

/**
 * Resumes one generation at another engine: from the KV backup that it keeps, or from a
 * KV copy made on demand when the generation's engine is draining. Addresses the load
 * pattern of engines that are reclaimed every few seconds, with less notice than a
 * generation takes. Invariant: the generation runs at one engine at a time; it is resumed
 * only from its own KV cache, and only after its former engine has stopped
 * ({@link SourceStop}). Confined to the traffic thread.
 */
final class GenerationResumer {

	/**
	 * Min expected duration of the longest output of a generation that is resumed
	 * elsewhere, in milliseconds; a shorter one ends before it could be resumed.
	 */
	static final long MIN_RESUMABLE_MILLIS = 500;

	/**
	 * Time between two tries to resume, in milliseconds; engines update KV backups
	 * several times a second.
	 */
	static final long RETRY_INTERVAL_MILLIS = 200;

	/**
	 * Number of gap goals without an event after which a stream is resumed from its KV
	 * backup; callers give up after eight.
	 */
	static final long STALL_GAPS = 7;

	/**
	 * Time without an event after which a stream is resumed if its route sets no gap
	 * goal, in milliseconds; callers wait for 2 s at least.
	 */
	static final long DEFAULT_STALL_TIMEOUT_MILLIS = 1_200;

	/**
	 * Min age of a stream that is resumed elsewhere, in milliseconds; before that, its
	 * engine does not know the generation and has sent nothing to the KV backup.
	 */
	static final long MIN_STREAM_MILLIS = 150;

	/**
	 * Max time that a generation whose engine has stopped waits for a retry permit of
	 * another host, in milliseconds; a few round trips.
	 */
	static final long PERMIT_WAIT_MILLIS = 150;

	/** Value of an output token in prompt tokens, as the users weigh it. */
	private static final double OUTPUT_TOKEN_WEIGHT = 10;

	/** Reason to skip a resume at an engine that gets no requests for the moment. */
	private static final String HOLDER_REFUSES_WORK = "holder-refuses-work";

	private static final Logger logger = LoggerFactory.getLogger(GenerationResumer.class);

	private final RelayedRequest request;

	private final RelayService relayService;

	/** Attempt that runs the generation; {@code null} before it is sent. */
	private RelayAttempt source;

	/** Stop of the current source; {@code null} unless it is to be resumed elsewhere. */
	private SourceStop stop;

	/** Whether the holder of the source's KV backup has no room for a last copy. */
	private boolean backupRefused;

	private final KvHolderChoice holderChoice;

	private boolean kvCopyRunning;

	/** Source for which a delayed resume was last logged; {@code null} if none. */
	private RelayAttempt skipReportedFor;

	private long nextTryMillis;

	/**
	 * Until when the stopped generation waits for a retry permit; 0 if it does not wait.
	 */
	private long permitDeadlineMillis;

	GenerationResumer(RelayedRequest request, RelayService relayService) {
		this.request = request;
		this.relayService = relayService;
		this.holderChoice = new KvHolderChoice(request, relayService);
	}

	KvHolderChoice holderChoice() {
		return this.holderChoice;
	}

	/**
	 * Returns whether the generation may be resumed elsewhere.
	 * @return {@code false} if even its longest output would end before
	 */
	boolean applies() {
		return this.request.streaming() && this.request.request()
			.traits()
			.map(GenerationTraits::maxTokens)
			.filter((maxTokens) -> this.request.statistics().eventMillis() * maxTokens
					/ this.request.tokensPerEvent() >= MIN_RESUMABLE_MILLIS)
			.isPresent();
	}

	private boolean obtainsRetryPermit() {
		return this.relayService.obtainsRetryPermit(this.request.service().name());
	}

	/**
	 * Records where the generation runs.
	 * @param attempt attempt that was sent without a KV copy, or whose stream has started
	 */
	void updateSource(RelayAttempt attempt) {
		this.source = attempt;
		freeUnusedCopies();
		this.stop = null;
		this.permitDeadlineMillis = 0;
		this.backupRefused = false;
		this.kvCopyRunning = false;
	}

	/** Frees the memory of copies from which the generation does not go on. */
	void freeUnusedCopies() {
		if (this.stop != null) {
			this.stop.freeUnusedCopy();
		}
	}

	/**
	 * Returns the benefit of copying this generation before others, for the case that an
	 * engine stops before all its generations are copied.
	 * @return weighted size of the generation per token to copy; output counts tenfold
	 * since it takes that much longer; 0 before the first plan
	 */
	double workSavedPerCopiedToken() {
		if (this.request.route() == null) {
			return 0;
		}
		return this.request.request().traits().map((traits) -> {
			double copiedTokens = traits.promptTokens() + this.request.lastEventId() * this.request.tokensPerEvent();
			return (traits.promptTokens() + OUTPUT_TOKEN_WEIGHT * traits.maxTokens()) / Math.max(1, copiedTokens);
		}).orElse(0.0);
	}

	/**
	 * Resumes the generation elsewhere if its engine is draining, no longer listed, being
	 * replaced by another version, or stalled.
	 */
	void poll() {
		if (this.stop != null) {
			advance();
			return;
		}
		boolean resumable = this.source != null && this.source.active()
				&& this.source.streamAgeMillis() >= MIN_STREAM_MILLIS;
		if (!resumable || this.kvCopyRunning || this.request.now() < this.nextTryMillis) {
			return;
		}
		if (this.source.backupHolder().isEmpty()) {
			this.relayService.loadSampler().refresh(this.source.target());
		}
		boolean leaving = this.source.target().leaving() || !this.source.target().membership().listed()
				|| this.relayService.rolloutGate().isBeingReplaced(this.source.target());
		if ((!leaving && !stalled()) || this.request.attempts().endIfCallerLeft()) {
			return;
		}
		String cause = leaving ? "leaving" : "silent";
		if (!obtainsRetryPermit()) {
			recordSkip(cause, "over-budget");
			return;
		}
		this.nextTryMillis = this.request.now() + RETRY_INTERVAL_MILLIS;
		Optional<TargetRequest.KvCopy> backup = usableBackup();
		if (backup.isPresent()) {
			startStop(backup.get(), cause);
		}
		else if (leaving && supportsKvCopies()) {
			startKvCopyIfPossible();
		}
	}

	private boolean supportsKvCopies() {
		return this.request.service().engine().filter(ServiceSpec.EngineSpec::supportsKvCopies).isPresent();
	}

	/**
	 * Returns whether the engine has sent no event for long.
	 * @return {@code false} if its stream has not started
	 */
	boolean stalled() {
		return this.request.silentMillis() > stallTimeoutMillis();
	}

	private long stallTimeoutMillis() {
		long gapGoalMillis = this.request.route().gapGoalMillis();
		return (gapGoalMillis > 0) ? STALL_GAPS * gapGoalMillis : DEFAULT_STALL_TIMEOUT_MILLIS;
	}

	/**
	 * Returns the KV backup of a generation that goes on if it is not used.
	 * @return the backup; empty if its holder may refuse it for the moment
	 */
	private Optional<TargetRequest.KvCopy> usableBackup() {
		return backup().filter((copy) -> !this.backupRefused)
			.filter((copy) -> this.relayService.targetPool()
				.find(copy.holder().id())
				.filter((holder) -> !holder.inBackoff() && acceptsResume(holder))
				.isPresent());
	}

	private Optional<TargetRequest.KvCopy> backup() {
		return this.source.backupHolder()
			.map((registration) -> new TargetRequest.KvCopy(registration, registration, this.request.id()))
			.filter(this::mayBeResumed);
	}

	/**
	 * Returns whether the holder of a copy accepts work, now or once it has room or wants
	 * requests again.
	 * @param copy the copy
	 * @return {@code false} if the holder drains or is no longer known, or its version
	 * gets no requests
	 */
	private boolean mayBeResumed(TargetRequest.KvCopy copy) {
		return this.relayService.targetPool()
			.find(copy.holder().id())
			.filter(TrackedTarget::acceptsNewWork)
			.filter(this.relayService.rolloutGate()::allows)
			.isPresent();
	}

	private boolean acceptsResume(TrackedTarget holder) {
		return this.relayService.targetPool()
			.allowsSend(holder, this.request.service(), this.relayService.entryHosts());
	}

	private void startStop(TargetRequest.KvCopy copy, String cause) {
		this.stop = SourceStop.start(this, this.request, this.relayService, this.source, copy, cause);
		advance();
	}

	/**
	 * Returns whether a stop is that of the engine that runs the generation.
	 * @param candidate the stop
	 * @return {@code false} if the generation goes on elsewhere or the stop has failed
	 */
	boolean isCurrent(SourceStop candidate) {
		return this.stop == candidate;
	}

	/**
	 * Takes the next step of a resume: asks the engine to stop, resumes the generation
	 * from the newest copy once it has stopped, or gives it up.
	 */
	void advance() {
		boolean resuming = this.request.attempts().size() > (sourceActive() ? 1 : 0);
		if (this.stop == null || resuming || this.request.done()) {
			return;
		}
		this.stop.poll();
		if (this.stop.failed()) {
			stopFailed();
			return;
		}
		if (!this.stop.allowsResume()) {
			return;
		}
		while (this.stop.hasCopy()) {
			if ((!obtainsRetryPermit() && awaitsRetryPermit())
					|| tryResume(this.stop.takeCopy().orElseThrow(), this.stop.cause())) {
				return;
			}
		}
		if (!this.stop.mayBringCopy() && !sourceActive()) {
			this.request.endInFailure(ResultCode.TARGET_LOST,
					"the engine has stopped and the generation could not be resumed");
		}
	}

	/**
	 * Returns whether the stopped generation waits until a refused resume is made again.
	 * @return {@code false} once it is due
	 */
	boolean pauses() {
		return this.stop != null && this.stop.pauses();
	}

	private boolean sourceActive() {
		return this.source != null && this.source.active();
	}

	private boolean awaitsRetryPermit() {
		if (this.permitDeadlineMillis == 0) {
			this.permitDeadlineMillis = this.request.now() + PERMIT_WAIT_MILLIS;
		}
		return this.request.now() < this.permitDeadlineMillis;
	}

	private void stopFailed() {
		this.backupRefused = this.stop.refused();
		if (this.backupRefused) {
			this.source.backupHolder().ifPresent(this.holderChoice::recordFull);
		}
		recordSkip("unstopped", this.stop.refused() ? "holder-full" : "source-unresponsive");
		this.stop = null;
		this.nextTryMillis = this.request.now() + RETRY_INTERVAL_MILLIS;
		if (!sourceActive()) {
			this.request.endInFailure(ResultCode.TARGET_LOST, "the engine does not say whether it has stopped");
		}
	}

	/**
	 * Returns why the generation cannot be resumed from a copy now.
	 * @param copy the copy
	 * @return the reason, or {@code null} if it can be
	 */
	private String skipReason(TargetRequest.KvCopy copy) {
		Optional<TrackedTarget> holder = this.relayService.targetPool().find(copy.holder().id());
		if (holder.isEmpty()) {
			return "holder-gone";
		}
		if (!obtainsRetryPermit()) {
			return "over-budget";
		}
		return acceptsResume(holder.get()) ? null : HOLDER_REFUSES_WORK;
	}

	private void giveBackCopy() {
		this.stop.giveBackCopy();
		this.permitDeadlineMillis = 0;
	}

	private boolean logSkip(TargetRequest.KvCopy copy, String cause, String reason) {
		if (reason != null) {
			LogEvent.RESUME_SKIPPED.log(logger, this.request.id(), this.source.target().id(), copy.holder().id(), cause,
					reason);
			this.relayService.metrics().recordResume(reason);
		}
		return reason != null;
	}

	private boolean tryResume(TargetRequest.KvCopy copy, String cause) {
		String reason = skipReason(copy);
		if (reason == null) {
			TrackedTarget holder = this.relayService.targetPool().find(copy.holder().id()).orElseThrow();
			reason = this.request.trySend(holder, Optional.of(copy), cause) ? null : "content-refused";
		}
		if (logSkip(copy, cause, reason)) {
			if (HOLDER_REFUSES_WORK.equals(reason) && mayBeResumed(copy)) {
				giveBackCopy();
			}
			return false;
		}
		LogEvent.RESUME_STARTED.log(logger, this.request.id(), this.source.target().id(), copy.holder().id(), cause,
				this.request.lastEventId());
		this.relayService.metrics().recordResume("begun");
		return true;
	}

	/**
	 * Starts a KV copy unless no engine has memory for it or the source is sending
	 * another copy; the last case is checked again at the next poll.
	 */
	private void startKvCopyIfPossible() {
		Optional<TargetRegistration> holder = this.holderChoice.forCopy(this.source.target());
		if (holder.isEmpty()) {
			recordSkip("leaving", "no-holder");
			return;
		}
		if (this.source.target().tryReserveKvCopy()) {
			sendCopyRequest(holder.get());
		}
		else {
			this.nextTryMillis = this.request.now();
		}
	}

	private void recordSkip(String cause, String reason) {
		if (this.skipReportedFor != this.source) {
			this.skipReportedFor = this.source;
			LogEvent.RESUME_SKIPPED.log(logger, this.request.id(), this.source.target().id(), "-", cause, reason);
			this.relayService.metrics().recordResume(reason);
		}
	}

	private void sendCopyRequest(TargetRegistration holder) {
		RelayAttempt from = this.source;
		this.kvCopyRunning = true;
		long startedMillis = this.request.now();
		TargetClient.CopyRequest copyRequest = new TargetClient.CopyRequest(this.request.id(),
				from.target().membership().registration(), holder, false);
		this.relayService.targetClient()
			.copyKv(copyRequest, (result) -> this.relayService.requests()
				.run(this.request, () -> handleCopyResult(from, holder, result, startedMillis)));
	}

	private void handleCopyResult(RelayAttempt from, TargetRegistration holder, TargetClient.CopyResult result,
			long startedMillis) {
		from.target().releaseKvCopy();
		LogEvent.KV_COPY_ENDED.log(logger, this.request.id(), from.target().id(), holder.id(), result.outcome(),
				this.request.now() - startedMillis);
		this.relayService.metrics().recordResume("copy-" + result.outcome());
		this.relayService.requests().schedulePoll();
		if (!this.request.done() && this.source == from) {
			this.kvCopyRunning = false;
			kvCopyEnded(holder, result);
		}
	}

	/**
	 * Stops the engine once a KV copy is made, after which the generation is resumed. The
	 * generation kept running meanwhile, so that the last copy, or the holder's prefill,
	 * is short. Without a copy, a generation whose engine has failed is resumed from its
	 * KV backup or lost.
	 * @param holder engine that was to hold the copy
	 * @param result outcome of the copy
	 */
	private void kvCopyEnded(TargetRegistration holder, TargetClient.CopyResult result) {
		if (result.outcome() == TargetClient.CopyOutcome.NO_ROOM) {
			this.holderChoice.recordFull(holder);
		}
		if (result.outcome() == TargetClient.CopyOutcome.COPIED && result.handle().isPresent()) {
			TargetRequest.KvCopy copy = new TargetRequest.KvCopy(holder,
					this.source.target().membership().registration(), result.handle().get());
			this.nextTryMillis = this.request.now() + RETRY_INTERVAL_MILLIS;
			boolean skipped = logSkip(copy, "moved", skipReason(copy));
			if (!skipped || (!sourceActive() && mayBeResumed(copy))) {
				startStop(copy, "moved");
				return;
			}
		}
		if (!sourceActive()) {
			resumeAfterFailure("the engine failed while the KV cache was being copied: " + result.outcome());
		}
	}

	/**
	 * Records that an attempt has failed. A resumed one that may run becomes the one that
	 * is to be stopped; one that was refused is made again after a pause.
	 * @param attempt the attempt
	 * @param ran whether its engine has run the request
	 */
	void recordFailure(RelayAttempt attempt, Ran ran) {
		if (this.stop == null || this.request.done()) {
			return;
		}
		if (attempt == this.source) {
			if (ran == Ran.UNKNOWN) {
				// A response that this host has rejected says nothing of the engine.
				this.stop.recordStreamEnd();
			}
		}
		else if (ran != Ran.NO) {
			this.request.attempts().cancelAllExcept(attempt);
			updateSource(attempt);
		}
		else if (!attempt.misdirected()) {
			giveBackCopy();
		}
	}

	/**
	 * Resumes the generation after all its attempts have failed, unless a KV copy is
	 * still being made. Its engine may run on behind a broken connection, and is stopped
	 * first.
	 * @param reason cause of the failure, for logs and the error message
	 */
	void resumeAfterFailure(String reason) {
		if (this.stop != null) {
			advance();
			return;
		}
		if (this.kvCopyRunning) {
			return;
		}
		Optional<TargetRequest.KvCopy> backup = backup();
		if (backup.isEmpty()) {
			this.request.endInFailure(ResultCode.TARGET_LOST, reason);
			return;
		}
		startStop(backup.get(), "broken");
	}

}
