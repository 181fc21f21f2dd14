package io.dotterelcrank.process.sidecar;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.ExecutionContext;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.admission.AdmissionController;
import io.dotterelcrank.process.admission.PendingRequest;
import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.request.AttemptId;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.version.ConfigurationHolder;
import io.dotterelcrank.version.Setting;

/**
 * Generations of one engine. Invariants: an attempt id starts at most one generation; an
 * attempt reported as not run never starts. State is confined to the control thread;
 * tokens pass through {@link GenerationBuffer} on other threads.
 */
final class Generations {

	/** Interval between two calls of {@link #tick()}. */
	static final long TICK_MILLIS = 50;

	/** Max consecutive resumes of an engine stream that deliver no token. */
	static final int MAX_ENGINE_RESUMES = 4;

	/**
	 * Base of the exponential backoff of engine resumes; the first delay is twice this.
	 */
	static final long ENGINE_RESUME_BASE_DELAY_MILLIS = 100;

	private static final Logger logger = LoggerFactory.getLogger(Generations.class);

	private final SidecarIdentity identity;

	private final EngineClient engine;

	private final AdmissionController admission;

	private final ConfigurationHolder holder;

	private final Clock clock;

	/** Runs tasks on the control thread. */
	private final Scheduler scheduler;

	/** Runs blocking calls. */
	private final Executor io;

	private final StepSampler stepSampler;

	/** Open and recently ended generations by id; changed by the control thread only. */
	private final Map<String, TrackedGeneration> generations = new ConcurrentHashMap<>();

	/** Generations whose engine streams are interrupted. */
	private final Set<String> interruptedIds = new HashSet<>();

	/** Attempts that have ended or were reported as not run; they must never start. */
	private final Set<String> endedIds = new HashSet<>();

	Generations(SidecarIdentity identity, EngineClient engine, AdmissionController admission,
			ConfigurationHolder holder, ExecutionContext context) {
		this.identity = identity;
		this.engine = engine;
		this.admission = admission;
		this.holder = holder;
		this.clock = context.clock();
		this.scheduler = context.scheduler();
		this.io = context.io();
		this.stepSampler = new StepSampler(context.clock());
	}

	/**
	 * Handles a request for a new generation. The sidecar has checked that the target
	 * accepts new work. Duplicates are ignored.
	 * @param link link on which the request was received
	 * @param generation the request
	 */
	void generate(Link link, Generation generation) {
		String id = generation.id();
		if (this.generations.containsKey(id) || this.endedIds.contains(id)) {
			return;
		}
		if (!this.identity.model().equals(generation.model())) {
			refuse(link, id,
					Failure.notRun(ResultCode.UNKNOWN_MODEL, "this target serves the model " + this.identity.model()));
			return;
		}
		TrackedGeneration tracked = new TrackedGeneration(generation, new GenerationBuffer(id, 0));
		tracked.buffer.attach(link, 0);
		this.generations.put(id, tracked);
		long deadlineMillis = this.clock.millis() + generation.deadlineMillis();
		this.admission.state().recordTokenGap(this.stepSampler.tokenGapMillis());
		applyOutcome(this.admission.submit(new PendingRequest(id, generation.workspace(), generation.priority(),
				generation.promptTokens(), generation.maxTokens(), deadlineMillis)));
	}

	private void refuse(Link link, String id, Failure failure) {
		link.send(new Message.Failed(id, failure, this.admission.load(false)));
	}

	private void applyOutcome(AdmissionController.Outcome outcome) {
		outcome.admitted().forEach((request) -> start(request.id()));
		outcome.refused().forEach((refusal) -> fail(refusal.request().id(), refusal.failure()));
	}

	private void start(String id) {
		TrackedGeneration generation = this.generations.get(id);
		if (generation == null) {
			return;
		}
		generation.started = true;
		this.engine.generate(generation.request, new StreamListener(generation));
	}

	/**
	 * Resumes a generation on a session, which replaces any other.
	 * @param link link of the session
	 * @param resume the generation and the index of the first token wanted
	 */
	void resume(Link link, Message.Resume resume) {
		if (!AttemptId.belongsTo(resume.id(), resume.workspace())) {
			refuse(link, resume.id(), Failure.notRun(ResultCode.GENERATION_UNKNOWN, "the generation is not known"));
			return;
		}
		TrackedGeneration generation = this.generations.get(resume.id());
		if (generation == null) {
			resumeFromPredecessor(link, resume);
			return;
		}
		if (!generation.buffer.attach(link, resume.fromIndex())) {
			refuse(link, resume.id(), resumePointUnavailable());
			return;
		}
		generation.orphanTimeout.cancel();
		LogEvent.GENERATION_RESUMED.log(logger, resume.id(), resume.fromIndex());
	}

	private static Failure resumePointUnavailable() {
		return new Failure(ResultCode.RESUME_POINT_GONE, Ran.YES, 0,
				"the tokens from the resume point on are not available");
	}

	/**
	 * Resumes the engine stream of a generation that the predecessor of this process
	 * started. A generation of which no token was received is refused instead, and is
	 * recorded as ended, so that it never starts.
	 * @param link link of the session
	 * @param resume the generation and the index of the first token wanted
	 */
	private void resumeFromPredecessor(Link link, Message.Resume resume) {
		String id = resume.id();
		boolean endedBefore = this.endedIds.contains(id);
		if (endedBefore || resume.fromIndex() == 0) {
			this.endedIds.add(id);
			scheduleRemoval(id);
			Ran ran = endedBefore ? Ran.YES : Ran.NO;
			refuse(link, id, new Failure(ResultCode.GENERATION_UNKNOWN, ran, 0, "the generation is not known"));
			return;
		}
		Generation request = new Generation(id, resume.workspace(), this.identity.model(), Priority.NORMAL, "", 0,
				Integer.MAX_VALUE, Long.MAX_VALUE);
		TrackedGeneration generation = new TrackedGeneration(request, new GenerationBuffer(id, resume.fromIndex()));
		generation.started = true;
		generation.inherited = true;
		generation.buffer.attach(link, resume.fromIndex());
		this.generations.put(id, generation);
		LogEvent.GENERATION_RESUMED.log(logger, id, resume.fromIndex());
		this.engine.resume(id, resume.fromIndex(), new StreamListener(generation));
	}

	/**
	 * Handles an acknowledgement of tokens, which may unblock the engine stream.
	 * @param link link on which the acknowledgement was received
	 * @param acknowledge generation and index of the first token that the caller has not
	 * read
	 */
	void acknowledge(Link link, Message.Acknowledge acknowledge) {
		TrackedGeneration generation = this.generations.get(acknowledge.id());
		if (generation != null) {
			generation.buffer.acknowledge(link, acknowledge.nextIndex());
		}
	}

	/**
	 * Cancels a generation, unless another session has resumed it.
	 * @param link link on which the cancellation was received
	 * @param id id of the generation
	 */
	void cancel(Link link, String id) {
		TrackedGeneration generation = this.generations.get(id);
		if (generation != null && generation.buffer.attachedToOther(link)) {
			return;
		}
		if (generation == null || generation.buffer.ended()) {
			boolean ran = generation != null || this.endedIds.contains(id);
			this.endedIds.add(id);
			scheduleRemoval(id);
			refuse(link, id, new Failure(ResultCode.CANCELLED, ran ? Ran.YES : Ran.NO, 0, "cancelled"));
			return;
		}
		cancelGeneration(generation, "cancelled by the caller");
	}

	private void cancelGeneration(TrackedGeneration generation, String message) {
		String id = generation.request.id();
		this.admission.cancel(id);
		if (generation.started) {
			cancelAtEngine(id);
		}
		fail(id, new Failure(ResultCode.CANCELLED, generation.started ? Ran.YES : Ran.NO, 0, message));
	}

	private void cancelAtEngine(String id) {
		this.io.execute(() -> {
			try {
				this.engine.cancel(id);
			}
			catch (PlatformException ex) {
				LogEvent.LOAD_UNREADABLE.log(logger, this.identity.target(), ex.getMessage());
			}
		});
	}

	/**
	 * Detaches the generations of a closed link. Those that no session resumes in time
	 * are cancelled.
	 * @param link the closed link
	 */
	void linkClosed(Link link) {
		for (TrackedGeneration generation : List.copyOf(this.generations.values())) {
			if (generation.buffer.detach(link)) {
				scheduleOrphanCancellation(generation);
			}
		}
	}

	private void scheduleOrphanCancellation(TrackedGeneration generation) {
		long orphanMillis = this.holder.current().value(Setting.ORPHAN_MILLIS, this.identity.subject());
		generation.orphanTimeout.cancel();
		generation.orphanTimeout = this.scheduler.schedule(orphanMillis, () -> {
			if (!generation.buffer.attached() && !generation.buffer.ended()) {
				cancelGeneration(generation, "no entry host resumed the generation in time");
			}
		});
	}

	/**
	 * Sends pending tokens, since a link has become writable.
	 */
	void linkWritable() {
		this.generations.values().forEach((generation) -> generation.buffer.sendPending());
	}

	private void fail(String id, Failure failure) {
		TrackedGeneration generation = this.generations.get(id);
		if (generation != null && !generation.buffer.ended()) {
			generation.buffer.fail(failure, this.admission.load(false));
			cleanUp(generation, false);
		}
	}

	private void finish(TrackedGeneration generation, String reason) {
		if (!generation.buffer.ended()) {
			this.admission.state().recordProgress(generation.request.id(), generation.buffer.nextIndex());
			generation.buffer.finish(reason, this.admission.load(false));
			cleanUp(generation, true);
		}
	}

	private void cleanUp(TrackedGeneration generation, boolean completed) {
		String id = generation.request.id();
		this.endedIds.add(id);
		this.stepSampler.remove(id);
		this.interruptedIds.remove(id);
		updateInterruptedCount();
		scheduleRemoval(id);
		applyOutcome(this.admission.finish(id, completed && !generation.inherited));
	}

	private void scheduleRemoval(String id) {
		long resumableMillis = this.holder.current().value(Setting.ORPHAN_MILLIS, this.identity.subject());
		this.scheduler.schedule(resumableMillis, () -> this.generations.remove(id));
		this.scheduler.schedule(Math.max(resumableMillis, Calls.RETENTION_MILLIS), () -> this.endedIds.remove(id));
	}

	/**
	 * Reports the progress of the generations and the step time of the engine to the
	 * admission state, and admits waiting requests.
	 */
	void tick() {
		int batch = this.admission.state().requestCount();
		for (TrackedGeneration generation : this.generations.values()) {
			if (generation.started && !generation.buffer.ended()) {
				this.admission.state().recordProgress(generation.request.id(), generation.buffer.nextIndex());
			}
		}
		double stepMillis = this.stepSampler.takeMedian();
		if (stepMillis >= 0 && this.admission.state().recordStepTime(batch, stepMillis)) {
			LogEvent.TARGET_COLD.log(logger, this.identity.target(), (long) stepMillis);
		}
		this.admission.state().recordTokenGap(this.stepSampler.tokenGapMillis());
		applyOutcome(this.admission.admitWaiting());
	}

	private void handleStreamFailure(TrackedGeneration generation, EngineClient.StreamFailure failure, String message) {
		if (generation.buffer.ended()) {
			return;
		}
		int produced = generation.buffer.nextIndex();
		if (failure == EngineClient.StreamFailure.NOT_REACHED
				|| failure == EngineClient.StreamFailure.UNKNOWN_GENERATION) {
			this.admission.state().restartRamp();
		}
		switch (failure) {
			case REFUSED, NOT_REACHED -> fail(generation.request.id(), Failure.notRun(ResultCode.TARGET_LOST, message));
			case INTERRUPTED -> retryEngineStream(generation, message);
			case UNKNOWN_GENERATION -> failAsLost(generation, produced, message);
		}
	}

	private void retryEngineStream(TrackedGeneration generation, String message) {
		generation.consecutiveResumes++;
		this.interruptedIds.add(generation.request.id());
		updateInterruptedCount();
		if (generation.consecutiveResumes > MAX_ENGINE_RESUMES) {
			cancelAtEngine(generation.request.id());
			failAsLost(generation, generation.buffer.nextIndex(), message);
			return;
		}
		long delayMillis = ENGINE_RESUME_BASE_DELAY_MILLIS << generation.consecutiveResumes;
		this.scheduler.schedule(delayMillis, () -> {
			if (!generation.buffer.ended()) {
				this.engine.resume(generation.request.id(), generation.buffer.nextIndex(),
						new StreamListener(generation));
			}
		});
	}

	private void updateInterruptedCount() {
		this.admission.state().recordInterruptedStreams(this.interruptedIds.size());
	}

	private void streamRecovered(TrackedGeneration generation) {
		generation.consecutiveResumes = 0;
		if (this.interruptedIds.remove(generation.request.id())) {
			updateInterruptedCount();
		}
	}

	private void failAsLost(TrackedGeneration generation, int produced, String message) {
		LogEvent.GENERATION_LOST.log(logger, generation.request.id(), produced, message);
		Ran ran = (produced > 0) ? Ran.YES : Ran.UNKNOWN;
		fail(generation.request.id(), new Failure(ResultCode.GENERATION_LOST, ran, 0, message));
	}

	/**
	 * Returns the number of generations that are not delivered to the end.
	 * @return generations waiting, running, or not yet sent completely to the attached
	 * session
	 */
	int openCount() {
		return (int) this.generations.values()
			.stream()
			.filter((generation) -> !generation.buffer.ended()
					|| generation.buffer.attached() && !generation.buffer.endSent())
			.count();
	}

	/**
	 * Returns whether this process started a generation.
	 * @param id id of the generation
	 * @return {@code false} for unknown generations and for tracked ones inherited from
	 * its predecessor
	 */
	boolean startedByThisProcess(String id) {
		TrackedGeneration generation = this.generations.get(id);
		return (generation != null) ? !generation.inherited : this.endedIds.contains(id);
	}

	/**
	 * Returns the number of tracked generations.
	 * @return open ones and ended ones that can still be resumed
	 */
	int size() {
		return this.generations.size();
	}

	/**
	 * State of a generation. Confined to the control thread, except for the buffer.
	 */
	private static final class TrackedGeneration {

		private final Generation request;

		private final GenerationBuffer buffer;

		/** Whether it was sent to the engine. */
		private boolean started;

		/** Whether the predecessor of this process started it. */
		private boolean inherited;

		/** Resumes of the engine stream since the last token. */
		private int consecutiveResumes;

		/** Cancels the generation if no session resumes it in time. */
		private Scheduler.ScheduledTask orphanTimeout = () -> {
		};

		TrackedGeneration(Generation request, GenerationBuffer buffer) {
			this.request = request;
			this.buffer = buffer;
		}

	}

	/**
	 * Handles the engine stream of one generation, on a thread of the engine client.
	 */
	private final class StreamListener implements EngineClient.Listener {

		private final TrackedGeneration generation;

		/** Whether this stream has delivered a token. */
		private boolean tokenReceived;

		StreamListener(TrackedGeneration generation) {
			this.generation = generation;
		}

		@Override
		public void token(int index, String text) {
			if (!this.tokenReceived) {
				this.tokenReceived = true;
				Generations.this.scheduler.execute(() -> streamRecovered(this.generation));
			}
			Generations.this.stepSampler.recordToken(this.generation.request.id());
			this.generation.buffer.append(index, text);
			this.generation.buffer.awaitFreeSpace();
		}

		@Override
		public void finished(int count, String reason) {
			Generations.this.scheduler.execute(() -> {
				if (count == this.generation.buffer.nextIndex()) {
					Generations.this.finish(this.generation, reason);
				}
				else {
					Generations.this.handleStreamFailure(this.generation, EngineClient.StreamFailure.INTERRUPTED,
							"the stream ended before all tokens were received");
				}
			});
		}

		@Override
		public void failed(EngineClient.StreamFailure failure, String message) {
			Generations.this.scheduler
				.execute(() -> Generations.this.handleStreamFailure(this.generation, failure, message));
		}

	}

}
