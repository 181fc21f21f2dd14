package io.dotterelcrank.process.relay;

import java.util.Optional;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.GenerationTraits;
import io.dotterelcrank.version.plan.ServiceSpec;

/**
 * Resumes one generation at another engine: from the KV backup that it keeps, or from a
 * KV copy made on demand when the generation's engine is draining. Addresses the load
 * pattern of engines that are reclaimed every few seconds, with less notice than a
 * generation takes. Invariant: the generation runs at one engine at a time; it is resumed
 * only from its own KV cache, and the former engine is cancelled as soon as the next one
 * streams. Confined to the traffic thread.
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
	 * Max time that a generation whose engine has failed waits for a retry permit of
	 * another host, in milliseconds; a few round trips.
	 */
	static final long PERMIT_WAIT_MILLIS = 150;

	/** Max number of tries to resume from the KV backup before a KV copy is made. */
	static final int MAX_BACKUP_TRIES = 2;

	/** Value of an output token in prompt tokens, as the users weigh it. */
	private static final double OUTPUT_TOKEN_WEIGHT = 10;

	private static final Logger logger = LoggerFactory.getLogger(GenerationResumer.class);

	private final RelayedRequest request;

	private final RelayService relayService;

	/** Attempt that runs the generation; {@code null} before it is sent. */
	private RelayAttempt source;

	/** Tries to resume from the KV backup of the current source. */
	private int backupTries;

	/** Whether the KV backup was tried after the current source failed. */
	private boolean backupTriedAfterFailure;

	private boolean kvCopyRunning;

	/** Source for which a delayed resume was last logged; {@code null} if none. */
	private RelayAttempt skipReportedFor;

	private long nextTryMillis;

	/**
	 * Until when the failed generation waits for a retry permit; 0 if it does not wait.
	 */
	private long permitDeadlineMillis;

	GenerationResumer(RelayedRequest request, RelayService relayService) {
		this.request = request;
		this.relayService = relayService;
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
	 * Chooses the engine that keeps a KV backup of the generation.
	 * @param chosen engine that will run the generation
	 * @return the engine, or empty if the service supports no KV backups or no engine is
	 * known to have enough free memory
	 */
	Optional<TrackedTarget> chooseBackupHolder(TrackedTarget chosen) {
		ServiceSpec service = this.request.service();
		if (service.engine().filter(ServiceSpec.EngineSpec::supportsKvBackups).isEmpty()) {
			return Optional.empty();
		}
		double usedFraction = this.relayService.targetPool().usedMemoryFraction(service);
		TrackedTarget holder = chooseHolder(chosen,
				kvCopyDemand(chosen).withMaxMemoryFraction(BackupPolicy.maxMemoryFraction(usedFraction)));
		return Optional.ofNullable(holder).filter((engine) -> engine.load() != null);
	}

	/**
	 * Returns the resources that a KV backup or KV copy of the generation needs.
	 * @param engine engine that runs the generation
	 * @return demand that prefers the engine's data centre
	 */
	private PlacementStrategy.Demand kvCopyDemand(TrackedTarget engine) {
		double copySecondsPerToken = this.request.service()
			.engine()
			.map(ServiceSpec.EngineSpec::copySecondsPerToken)
			.orElse(0.0);
		return this.request.demand().forKvCopy(engine.membership().registration().dataCentre(), copySecondsPerToken);
	}

	/**
	 * Chooses another engine to hold a KV backup or KV copy of the generation.
	 * @param engine engine that runs the generation
	 * @param demand resources that the backup or copy needs
	 * @return the chosen engine, or {@code null} if none has the capacity
	 */
	private TrackedTarget chooseHolder(TrackedTarget engine, PlacementStrategy.Demand demand) {
		return this.relayService.targetPool().chooseHolder(this.request.service(), demand, engine).orElse(null);
	}

	/**
	 * Records where the generation runs.
	 * @param attempt attempt that was sent without a KV copy, or whose stream has started
	 */
	void updateSource(RelayAttempt attempt) {
		this.source = attempt;
		this.backupTries = 0;
		this.backupTriedAfterFailure = false;
		this.kvCopyRunning = false;
	}

	/**
	 * Returns the benefit of copying this generation before others, for the case that an
	 * engine stops before all its generations are copied.
	 * @return weighted size of the generation per token to copy; output counts tenfold
	 * since it takes that much longer
	 */
	double workSavedPerCopiedToken() {
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
		boolean stalled = this.request.silentMillis() > stallTimeoutMillis();
		if (!leaving && !stalled) {
			return;
		}
		if (!obtainsRetryPermit()) {
			recordSkip(leaving ? "leaving" : "silent", "over-budget");
			return;
		}
		this.nextTryMillis = this.request.now() + RETRY_INTERVAL_MILLIS;
		this.backupTries++;
		boolean resumed = this.backupTries <= MAX_BACKUP_TRIES && tryResumeFromBackup(leaving ? "leaving" : "silent");
		boolean supportsKvCopies = this.request.service()
			.engine()
			.filter(ServiceSpec.EngineSpec::supportsKvCopies)
			.isPresent();
		if (!resumed && leaving && supportsKvCopies) {
			startKvCopyIfPossible();
		}
	}

	private long stallTimeoutMillis() {
		long gapGoalMillis = this.request.route().gapGoalMillis();
		return (gapGoalMillis > 0) ? STALL_GAPS * gapGoalMillis : DEFAULT_STALL_TIMEOUT_MILLIS;
	}

	private boolean tryResumeFromBackup(String cause) {
		Optional<TrackedTarget> holder = this.source.backupHolder()
			.flatMap((registration) -> this.relayService.targetPool().find(registration.id()));
		if (holder.isEmpty() || holder.get().inBackoff()) {
			return false;
		}
		TargetRegistration registration = holder.get().membership().registration();
		return tryResume(new TargetRequest.KvCopy(registration, registration, this.request.id()), cause);
	}

	private boolean tryResume(TargetRequest.KvCopy copy, String cause) {
		Optional<TrackedTarget> holder = this.relayService.targetPool().find(copy.holder().id());
		String skipReason = null;
		if (holder.isEmpty()) {
			skipReason = "holder-gone";
		}
		else if (!obtainsRetryPermit()) {
			skipReason = "over-budget";
		}
		else if (!this.request.trySend(holder.get(), Optional.of(copy), cause)) {
			skipReason = "holder-refuses-work";
		}
		if (skipReason != null) {
			LogEvent.RESUME_SKIPPED.log(logger, this.request.id(), this.source.target().id(), copy.holder().id(), cause,
					skipReason);
			this.relayService.metrics().recordResume(skipReason);
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
		TrackedTarget holder = chooseKvCopyHolder();
		if (holder == null) {
			recordSkip("leaving", "no-holder");
			return;
		}
		if (this.source.target().tryReserveKvCopy()) {
			sendCopyRequest(holder.membership().registration());
		}
		else {
			this.nextTryMillis = this.request.now();
		}
	}

	/**
	 * Chooses the engine that gets the KV copy. If no engine has enough free memory for
	 * the whole generation, memory for its prompt is enough: without a KV copy the
	 * generation is lost.
	 * @return the engine, or {@code null} if none has enough free memory
	 */
	private TrackedTarget chooseKvCopyHolder() {
		TrackedTarget engine = this.source.target();
		TrackedTarget holder = chooseHolder(engine, kvCopyDemand(engine));
		return (holder != null) ? holder : chooseHolder(engine, kvCopyDemand(engine).forPromptOnly());
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
				from.target().membership().registration(), holder);
		this.relayService.targetClient().copyKv(copyRequest, (result) -> {
			LogEvent.KV_COPY_ENDED.log(logger, this.request.id(), from.target().id(), holder.id(), result.outcome(),
					this.request.now() - startedMillis);
			this.relayService.metrics().recordResume("copy-" + result.outcome());
			from.target().releaseKvCopy();
			this.relayService.requests().schedulePoll();
			if (!this.request.done() && this.source == from) {
				this.kvCopyRunning = false;
				kvCopyEnded(holder, result);
			}
		});
	}

	/**
	 * Resumes the generation from its KV copy. The generation kept running meanwhile, and
	 * the engine that holds the copy prefills the tokens it produced, so that the caller
	 * sees no pause. Without a copy, a generation whose engine has failed is resumed from
	 * its KV backup or lost.
	 * @param holder engine that was to hold the copy
	 * @param result outcome of the copy
	 */
	private void kvCopyEnded(TargetRegistration holder, TargetClient.CopyResult result) {
		if (result.outcome() == TargetClient.CopyOutcome.COPIED && result.handle().isPresent()) {
			TargetRequest.KvCopy copy = new TargetRequest.KvCopy(holder,
					this.source.target().membership().registration(), result.handle().get());
			this.nextTryMillis = this.request.now() + RETRY_INTERVAL_MILLIS;
			if (tryResume(copy, "moved")) {
				return;
			}
		}
		if (!this.source.active() && !tryResumeAfterFailure()) {
			this.request.generationLost("the engine failed while the KV cache was being copied: " + result.outcome());
		}
	}

	/**
	 * Resumes the generation from its KV backup after its attempt has failed, once per
	 * source.
	 * @return whether it is resumed, or may still be once a running KV copy ends or a
	 * retry permit arrives
	 */
	boolean tryResumeAfterFailure() {
		if (this.kvCopyRunning) {
			return true;
		}
		boolean firstFailure = !this.backupTriedAfterFailure;
		this.backupTriedAfterFailure = true;
		if (firstFailure && this.source.backupHolder().isPresent() && !obtainsRetryPermit()) {
			this.permitDeadlineMillis = this.request.now() + PERMIT_WAIT_MILLIS;
			return true;
		}
		return firstFailure && tryResumeFromBackup("broken");
	}

	/**
	 * Resumes a failed generation that waits for a retry permit, or gives it up.
	 */
	void pollRetryPermit() {
		boolean expired = this.request.now() >= this.permitDeadlineMillis;
		if (this.permitDeadlineMillis > 0 && (expired || obtainsRetryPermit())) {
			this.permitDeadlineMillis = 0;
			if (!tryResumeFromBackup("broken")) {
				this.request.generationLost("the engine failed and the generation could not be resumed");
			}
		}
	}

}
