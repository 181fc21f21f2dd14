package io.dotterelcrank.process.relay;

import java.util.Optional;
import java.util.stream.Stream;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.version.plan.ServiceSpec;

/**
 * Stops the engine that runs a generation before the generation goes on elsewhere. The
 * engine is asked for a last KV copy, before which the run ends; closing its connection
 * is no certain stop. Addresses engines that go on after their connection is closed, that
 * are preempted or paused, or whose connection breaks while they run on, and holders
 * without room: another one is named while the caller waits. Invariant: the generation
 * counts as stopped only if its engine has said so or closed the stream after it was
 * asked, or cannot be reached. Confined to the traffic thread.
 */
final class SourceStop {

	/** Time until an engine that gave no clear answer is asked again, in milliseconds. */
	static final long RETRY_INTERVAL_MILLIS = 200;

	/**
	 * Time for which the end of a stream may be on its way after its engine has said that
	 * it does not run the generation, in milliseconds.
	 */
	static final long STREAM_END_MILLIS = 200;

	/**
	 * Time after which an engine that is reached but does not answer is not asked any
	 * more, in milliseconds; longer than the timeout of a call.
	 */
	static final long ANSWER_TIMEOUT_MILLIS = 4_000;

	/**
	 * Time from which on an engine counts as gone if no connection to it could be opened,
	 * in milliseconds; a single connection may fail, though the engine is at work.
	 */
	static final long UNREACHABLE_MILLIS = 400;

	/** Failed connections in a row after which an engine counts as gone. */
	static final int MIN_FAILED_CONNECTIONS = 2;

	/**
	 * Age of a stream from which on its KV backup exists, in milliseconds; engines update
	 * backups several times a second.
	 */
	static final long MIN_BACKUP_MILLIS = 1_000;

	private static final Logger logger = LoggerFactory.getLogger(SourceStop.class);

	private final GenerationResumer resumer;

	private final RelayedRequest request;

	private final RelayService relayService;

	private final RelayAttempt source;

	/** Engine that is to hold the last copy. */
	private TargetRegistration holder;

	/** Whether that engine has no room, so that another one is named next. */
	private boolean holderFull;

	private final String cause;

	private final long startedMillis;

	/** Made before the stop; empty once it was used. */
	private Optional<TargetRequest.KvCopy> earlierCopy;

	/** Made after the stop; empty until then, and once it was used. */
	private Optional<TargetRequest.KvCopy> lastCopy = Optional.empty();

	/** Copies that were used in vain, as their holder refused the generation. */
	private final RefusedCopies refusedCopies;

	/** Copy that was taken last; empty before, and if it was given back. */
	private Optional<TargetRequest.KvCopy> taken = Optional.empty();

	private boolean awaitsAnswer;

	private boolean stopped;

	/** Whether the engine runs on, as the holder has no room for a last copy. */
	private boolean refused;

	/** Number of failed connections since the engine was last reached. */
	private int failedConnections;

	/** Whether a call had no answer, so that the engine may stop later. */
	private boolean unanswered;

	/** When the next step may be taken. */
	private long nextStepMillis;

	/** Whether the engine may have stopped and keep memory that was not copied. */
	private boolean copyOutstanding;

	/** When a stopped engine may be asked for its memory again. */
	private long nextCopyMillis;

	private SourceStop(GenerationResumer resumer, RelayedRequest request, RelayService relayService,
			RelayAttempt source, TargetRequest.KvCopy earlierCopy, String cause) {
		this.resumer = resumer;
		this.request = request;
		this.relayService = relayService;
		this.source = source;
		this.holder = earlierCopy.holder();
		this.earlierCopy = Optional.of(earlierCopy);
		this.cause = cause;
		this.refusedCopies = new RefusedCopies(request);
		this.startedMillis = request.now();
	}

	/**
	 * Starts to stop an engine. If the generation has a backup, its connection is closed
	 * before: most engines then do not run it any more when they are asked, and make no
	 * last copy, which would delay the copies of generations without a backup. An engine
	 * without KV copies only loses its connection.
	 * @param resumer told of each answer
	 * @param request the request
	 * @param relayService service of the request
	 * @param source attempt at the engine
	 * @param earlierCopy copy or backup from which the generation can go on
	 * @param cause reason of the resume, for logs and metrics
	 * @return the stop
	 */
	static SourceStop start(GenerationResumer resumer, RelayedRequest request, RelayService relayService,
			RelayAttempt source, TargetRequest.KvCopy earlierCopy, String cause) {
		SourceStop stop = new SourceStop(resumer, request, relayService, source, earlierCopy, cause);
		boolean answers = request.service().engine().filter(ServiceSpec.EngineSpec::supportsKvCopies).isPresent();
		boolean backup = earlierCopy.handleOwner().equals(earlierCopy.holder());
		if (source.active() && (!answers || (backup && source.streamAgeMillis() >= MIN_BACKUP_MILLIS))) {
			source.cancel();
		}
		if (answers) {
			stop.ask();
		}
		else {
			stop.stopped = true;
		}
		return stop;
	}

	private void ask() {
		nameAnotherHolderIfFull();
		this.awaitsAnswer = true;
		this.source.setStopExpected(true);
		long startedMillis = this.request.now();
		TargetClient.CopyRequest copyRequest = new TargetClient.CopyRequest(this.request.id(),
				this.source.target().membership().registration(), this.holder, true);
		this.relayService.targetClient()
			.copyKv(copyRequest, (result) -> this.relayService.requests()
				.run(this.request, () -> handleResult(result, this.request.now() - startedMillis)));
	}

	private void nameAnotherHolderIfFull() {
		if (this.holderFull) {
			this.holderFull = false;
			KvHolderChoice choice = this.resumer.holderChoice();
			choice.recordFull(this.holder);
			choice.forCopy(this.source.target()).ifPresent((other) -> this.holder = other);
		}
	}

	private void handleResult(TargetClient.CopyResult result, long millis) {
		this.awaitsAnswer = false;
		LogEvent.SOURCE_STOP_ENDED.log(logger, this.request.id(), this.source.target().id(), this.cause,
				result.outcome(), millis);
		this.relayService.metrics().recordResume("stop-" + result.outcome());
		handleAnswer(result);
		if (this.request.done() || !this.resumer.isCurrent(this)) {
			freeUnusedCopy();
		}
		else {
			this.resumer.advance();
		}
	}

	private void handleAnswer(TargetClient.CopyResult result) {
		boolean connected = result.outcome() != TargetClient.CopyOutcome.UNREACHABLE;
		this.failedConnections = connected ? 0 : this.failedConnections + 1;
		this.unanswered |= result.outcome() == TargetClient.CopyOutcome.UNANSWERED;
		switch (result.outcome()) {
			case COPIED -> recordStopped(result);
			case NO_ROOM -> recordNoRoom(result);
			case UNKNOWN_RUN -> recordUnknownRun();
			case UNREACHABLE -> recordUnreachable();
			// It may have stopped, or a copy that was begun before goes on.
			default -> recordCopyOutstanding();
		}
		this.nextCopyMillis = this.request.now() + RETRY_INTERVAL_MILLIS;
		if (!this.stopped) {
			this.nextStepMillis = this.request.now() + RETRY_INTERVAL_MILLIS;
			this.source.setStopExpected(this.unanswered);
		}
	}

	private void recordCopyOutstanding() {
		this.copyOutstanding = true;
		if (this.stopped) {
			this.refusedCopies.startWaiting();
		}
	}

	private void recordStopped(TargetClient.CopyResult result) {
		this.stopped = true;
		this.copyOutstanding = false;
		this.lastCopy = result.handle()
			.map((handle) -> new TargetRequest.KvCopy(this.holder, this.source.target().membership().registration(),
					handle));
	}

	/**
	 * An engine that has stopped names the memory that it keeps. Without a name, the
	 * holder was found to be full before, and the generation runs on.
	 * @param result answer of the engine
	 */
	private void recordNoRoom(TargetClient.CopyResult result) {
		this.holderFull = true;
		if (result.handle().isPresent()) {
			this.stopped = true;
			recordCopyOutstanding();
		}
		this.refused = !this.stopped;
	}

	private void recordUnknownRun() {
		this.stopped = true;
		this.copyOutstanding = false;
		// A stream that was not stopped has ended by itself.
		this.source.setStopExpected(this.unanswered);
		this.nextStepMillis = this.source.active() ? this.request.now() + STREAM_END_MILLIS : 0;
	}

	private void recordUnreachable() {
		boolean gone = this.failedConnections >= MIN_FAILED_CONNECTIONS
				&& this.request.now() - this.startedMillis >= UNREACHABLE_MILLIS;
		this.stopped |= gone && (!this.source.active() || this.resumer.stalled());
	}

	/**
	 * Frees the memory of a last copy from which the generation does not go on.
	 */
	void freeUnusedCopy() {
		Stream.concat(this.lastCopy.stream(), this.refusedCopies.stream())
			.filter((copy) -> !copy.handleOwner().equals(copy.holder()) && !this.taken.equals(Optional.of(copy)))
			.distinct()
			.forEach((copy) -> this.relayService.targetClient().freeKvCopy(copy.handleOwner(), copy.handle()));
		this.lastCopy = Optional.empty();
		this.refusedCopies.clear();
	}

	/**
	 * Asks the engine again if its last answer was not clear, or if it has stopped and
	 * keeps memory from which the generation may go on.
	 */
	void poll() {
		boolean stopDue = !this.stopped && !failed() && this.request.now() >= this.nextStepMillis;
		boolean copyDue = awaitsCopy() && this.request.now() >= this.nextCopyMillis;
		if (!this.awaitsAnswer && (stopDue || copyDue)) {
			ask();
		}
	}

	/**
	 * Returns whether the stopped generation has nothing better to go on from than memory
	 * that its engine keeps.
	 * @return {@code false} once its caller gives up
	 */
	private boolean awaitsCopy() {
		return this.stopped && this.copyOutstanding && this.lastCopy.isEmpty() && this.earlierCopy.isEmpty()
				&& this.refusedCopies.callerWaits();
	}

	/**
	 * Records that the stream has ended without the end of the generation.
	 */
	void recordStreamEnd() {
		this.stopped |= this.awaitsAnswer;
		this.nextStepMillis = 0;
	}

	/**
	 * Returns whether the generation may go on elsewhere.
	 * @return {@code false} while its engine may run it, or the end of its stream may be
	 * on its way
	 */
	boolean allowsResume() {
		return this.stopped && this.request.now() >= this.nextStepMillis;
	}

	/**
	 * Returns whether the engine is not asked any more although it may run the
	 * generation.
	 * @return {@code true} after some seconds without a clear answer, or if its stream
	 * goes on since the holder has no room
	 */
	boolean failed() {
		boolean late = this.request.now() - this.startedMillis >= ANSWER_TIMEOUT_MILLIS;
		return !this.stopped && (late || (!this.awaitsAnswer && this.refused && this.source.active()));
	}

	/**
	 * Returns whether the holder has no room for a last copy.
	 * @return {@code true} if the engine has said so and runs on
	 */
	boolean refused() {
		return this.refused;
	}

	/**
	 * Takes the copy from which to resume.
	 * @return the newest copy that was not yet taken, else one whose holder refused it a
	 * while ago, or empty
	 */
	Optional<TargetRequest.KvCopy> takeCopy() {
		Optional<TargetRequest.KvCopy> copy = this.lastCopy.or(() -> this.earlierCopy);
		if (this.lastCopy.isPresent()) {
			this.lastCopy = Optional.empty();
		}
		else if (this.earlierCopy.isPresent()) {
			this.earlierCopy = Optional.empty();
		}
		else {
			copy = this.refusedCopies.take();
		}
		this.taken = copy;
		return copy;
	}

	/**
	 * Gives the copy that was taken last back, since its holder does not go on with the
	 * generation now; it keeps the memory and may do so later.
	 */
	void giveBackCopy() {
		this.taken.ifPresent((copy) -> this.refusedCopies.add(copy, pausedMillis(copy.holder())));
		this.taken = Optional.empty();
	}

	private long pausedMillis(TargetRegistration target) {
		return this.relayService.targetPool()
			.find(target.id())
			.map((tracked) -> tracked.rateGate().pausedMillis())
			.orElse(0L);
	}

	/**
	 * Returns whether another copy can be taken, now or later.
	 * @return {@code false} if all were used, and refused for as long as callers wait
	 */
	boolean mayBringCopy() {
		return this.awaitsAnswer || this.lastCopy.isPresent() || this.earlierCopy.isPresent()
				|| this.refusedCopies.pending() || awaitsCopy();
	}

	/**
	 * Returns whether a copy can be taken now.
	 * @return {@code false} if all known ones were used, or refused a moment ago
	 */
	boolean hasCopy() {
		return this.lastCopy.isPresent() || this.earlierCopy.isPresent() || this.refusedCopies.due();
	}

	/**
	 * Returns whether a refused copy is to be tried again, but not yet.
	 * @return {@code false} once it is due
	 */
	boolean pauses() {
		return this.refusedCopies.pending() && !this.refusedCopies.due();
	}

	String cause() {
		return this.cause;
	}

}
