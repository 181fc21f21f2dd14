package io.dotterelcrank.process.relay;

import java.util.Optional;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.version.plan.ServiceSpec;

/**
 * Lets one run go on at another engine: from the copy that an engine keeps as a backup,
 * or from one that is made when the engine that runs it is about to leave. Answers the
 * load pattern of engines that are reclaimed every few seconds, with less notice than a
 * generation takes. Invariant: the run works at one engine at a time; it is given to the
 * next one from its own memory only, and the engine before is given up as soon as the
 * next one streams. Belongs to the traffic thread.
 */
final class Continuation {

	/**
	 * Time between two tries, in milliseconds; engines send memory on several times a
	 * second.
	 */
	static final long RETRY_MILLIS = 200;

	/**
	 * Silence of a stream after which it goes on from its copy, in milliseconds; callers
	 * give up after 2 s.
	 */
	static final long SILENT_MILLIS = 1_200;

	/**
	 * Time from the first event until a copy is worth asking for, in milliseconds; an
	 * engine knows no run before, and has sent none of its memory on.
	 */
	static final long LEAST_STREAM_MILLIS = 150;

	/** Tries to go on from a backup before a copy is made instead. */
	static final int MAX_BACKUP_TRIES = 2;

	/**
	 * Part of an engine's memory up to which it is given backups, so that they leave room
	 * for new requests.
	 */
	static final double BACKUP_PART = 0.4;

	/** Prompt tokens that an output token counts for; the users value it so. */
	private static final double OUTPUT_WEIGHT = 10;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(Continuation.class);

	/** The request. */
	private final RelayedRequest relay;

	/** Where the run is, or {@code null} before it is sent. */
	private RelayAttempt source;

	/** Tries to go on from the backup. */
	private int backupTries;

	/** Whether the backup was tried after the run's engine had broken off. */
	private boolean backupTriedAfterEnd;

	/** Whether a copy is under way. */
	private boolean copying;

	/** Where the run was when it could first not be copied, or {@code null}. */
	private RelayAttempt stayedAt;

	/** When to try next, in milliseconds. */
	private long nextTryMillis;

	Continuation(RelayedRequest relay) {
		this.relay = relay;
	}

	/**
	 * Chooses the engine that is to keep a backup of a run.
	 * @param chosen engine that is to run it
	 * @return the engine, if backups are worth their memory now
	 */
	Optional<TargetRegistration> backup(TrackedTarget chosen) {
		ServiceSpec service = this.relay.service();
		if (service.engine().filter(ServiceSpec.EngineSpec::supportsKvBackups).isEmpty()) {
			return Optional.empty();
		}
		TrackedTarget holder = holder(chosen, copied(chosen));
		boolean roomy = holder != null && holder.load() != null && holder.load().memoryUsed()
				+ this.relay.demand().expectedTokens() <= BACKUP_PART * holder.load().memoryTotal();
		return roomy ? Optional.of(holder.target().registration()) : Optional.empty();
	}

	private PlacementStrategy.Demand copied(TrackedTarget runsAt) {
		return this.relay.demand().copiedFrom(runsAt.target().registration().dataCentre());
	}

	private TrackedTarget holder(TrackedTarget runsAt, PlacementStrategy.Demand copied) {
		return this.relay.targets().choose(this.relay.service(), copied, Set.of(runsAt.id())).target();
	}

	/**
	 * Takes in where the run is now.
	 * @param attempt attempt that was sent first, or whose stream has begun
	 */
	void runsAt(RelayAttempt attempt) {
		this.source = attempt;
		this.backupTries = 0;
		this.backupTriedAfterEnd = false;
		this.copying = false;
	}

	/**
	 * Returns how much is saved by copying the run before others, when an engine leaves
	 * sooner than all its runs are copied.
	 * @return size of the generation for each token to copy, output counted tenfold as it
	 * takes that much longer
	 */
	double savedPerToken() {
		return this.relay.request().traits().map((traits) -> {
			double held = traits.promptTokens() + this.relay.lastEventId();
			return (traits.promptTokens() + OUTPUT_WEIGHT * traits.maxTokens()) / Math.max(1, held);
		}).orElse(0.0);
	}

	/**
	 * Lets the run go on elsewhere if its engine is about to leave, or is silent.
	 */
	void look() {
		boolean held = this.source != null && this.source.alive()
				&& this.source.streamingMillis() >= LEAST_STREAM_MILLIS;
		if (!held || this.copying || this.relay.now() < this.nextTryMillis) {
			return;
		}
		boolean leaving = this.source.target().leaving() || !this.source.target().target().listed();
		boolean silent = this.relay.silentMillis() > SILENT_MILLIS;
		if (!leaving && !silent) {
			return;
		}
		this.nextTryMillis = this.relay.now() + RETRY_MILLIS;
		this.backupTries++;
		boolean goesOn = this.backupTries <= MAX_BACKUP_TRIES && goOnFromBackup(leaving ? "leaving" : "silent");
		boolean moves = this.relay.service().engine().filter(ServiceSpec.EngineSpec::supportsKvCopies).isPresent();
		if (!goesOn && leaving && moves) {
			copy();
		}
	}

	private boolean goOnFromBackup(String cause) {
		Optional<TrackedTarget> holder = this.source.backup().flatMap((entry) -> this.relay.targets().find(entry.id()));
		if (holder.isEmpty() || holder.get().avoided()) {
			return false;
		}
		TargetRegistration entry = holder.get().target().registration();
		return goOn(new TargetRequest.KvCopy(entry, entry, this.relay.id()), cause);
	}

	private boolean goOn(TargetRequest.KvCopy copy, String cause) {
		Optional<TrackedTarget> holder = this.relay.targets().find(copy.holder().id());
		if (holder.isEmpty() || !this.relay.budgetAllows()) {
			String reason = holder.isEmpty() ? "holder-gone" : "over-budget";
			LogEvent.RESUME_SKIPPED.log(logger, this.relay.id(), this.source.target().id(), copy.holder().id(), cause,
					reason);
			this.relay.metrics().handover(reason);
			return false;
		}
		LogEvent.RESUME_STARTED.log(logger, this.relay.id(), this.source.target().id(), copy.holder().id(), cause,
				this.relay.lastEventId());
		this.relay.metrics().handover("begun");
		this.relay.send(holder.get(), Optional.of(copy), cause);
		return true;
	}

	private void copy() {
		TrackedTarget holder = holderNow();
		if (holder == null || !this.relay.budgetAllows()) {
			stays((holder != null) ? "over-budget" : "no-holder");
			return;
		}
		if (this.source.target().beginMove()) {
			copyTo(holder.target().registration());
		}
		else {
			this.nextTryMillis = this.relay.now();
		}
	}

	/**
	 * Chooses the engine that a run is copied to now. Where none has room for the whole
	 * generation, one that holds its prompt is tried: without a copy the run is lost.
	 * @return the engine, or {@code null} if none has any room
	 */
	private TrackedTarget holderNow() {
		TrackedTarget runsAt = this.source.target();
		TrackedTarget holder = holder(runsAt, copied(runsAt));
		return (holder != null) ? holder : holder(runsAt, copied(runsAt).promptOnly());
	}

	private void stays(String reason) {
		if (this.stayedAt != this.source) {
			this.stayedAt = this.source;
			LogEvent.RESUME_SKIPPED.log(logger, this.relay.id(), this.source.target().id(), "-", "leaving", reason);
			this.relay.metrics().handover(reason);
		}
	}

	private void copyTo(TargetRegistration holder) {
		RelayAttempt from = this.source;
		this.copying = true;
		long startedMillis = this.relay.now();
		TargetClient.CopyRequest request = new TargetClient.CopyRequest(this.relay.id(),
				from.target().target().registration(), holder);
		this.relay.client().copyKv(request, (answer) -> {
			LogEvent.KV_COPY_ENDED.log(logger, this.relay.id(), from.target().id(), holder.id(), answer.outcome(),
					this.relay.now() - startedMillis);
			this.relay.metrics().handover("copy-" + answer.outcome());
			from.target().endMove();
			if (!this.relay.done() && this.source == from) {
				this.copying = false;
				copied(holder, answer);
			}
		});
	}

	/**
	 * A copy was made, or not, while the run went on. The holder reads the tokens that
	 * were produced meanwhile, so that the caller sees no pause.
	 * @param holder engine that is to hold the copy
	 * @param answer outcome of the copy
	 */
	private void copied(TargetRegistration holder, TargetClient.CopyResult answer) {
		if (answer.outcome() == TargetClient.CopyOutcome.COPIED && answer.handle().isPresent()) {
			TargetRequest.KvCopy copy = new TargetRequest.KvCopy(holder, this.source.target().target().registration(),
					answer.handle().get());
			this.nextTryMillis = this.relay.now() + RETRY_MILLIS;
			if (goOn(copy, "moved")) {
				return;
			}
		}
		if (!this.source.alive() && !broken()) {
			this.relay.runLost("the engine broke off while the run was copied: " + answer.outcome());
		}
	}

	/**
	 * The connection of the run's engine has ended before its answer.
	 * @return whether the run goes on, or may still do so
	 */
	boolean broken() {
		if (this.copying) {
			return true;
		}
		boolean first = !this.backupTriedAfterEnd;
		this.backupTriedAfterEnd = true;
		return first && goOnFromBackup("broken");
	}

}
