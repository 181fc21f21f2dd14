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
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.admission.AdmissionController;
import io.dotterelcrank.process.admission.PendingRequest;
import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.request.AttemptId;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.version.ConfigurationHolder;
import io.dotterelcrank.version.Setting;

/**
 * The generations of one engine. Invariants: an attempt id starts at most one generation;
 * an attempt answered as not run never starts. State belongs to the control thread;
 * tokens pass through {@link GenerationBuffer} on other threads.
 */
final class Generations {

	/** Time between looks at progress and step times, in milliseconds. */
	static final long TICK_MILLIS = 50;

	/** Attempts to resume an interrupted engine stream. */
	static final int ENGINE_RESUMES = 4;

	/** First delay before the engine stream is resumed, in milliseconds. */
	static final long ENGINE_RESUME_MILLIS = 100;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(Generations.class);

	/** Who this sidecar is. */
	private final SidecarIdentity identity;

	/** The engine. */
	private final EngineClient engine;

	/** Admits requests. */
	private final AdmissionController admission;

	/** Configuration in force. */
	private final ConfigurationHolder holder;

	/** Clock of the process. */
	private final Clock clock;

	/** Runs the decisions. */
	private final Scheduler scheduler;

	/** Runs the calls, which block. */
	private final Executor io;

	/** Measures step times. */
	private final StepSampler sampler;

	/** Generations known, by id; changed by the control thread only. */
	private final Map<String, Entry> entries = new ConcurrentHashMap<>();

	/** Ids of generations whose engine streams are interrupted. */
	private final Set<String> interrupted = new HashSet<>();

	/** Ids of ended attempts, which must not start again. */
	private final Set<String> spent = new HashSet<>();

	Generations(SidecarIdentity identity, EngineClient engine, AdmissionController admission,
			ConfigurationHolder holder, ExecutionContext threads) {
		this.identity = identity;
		this.engine = engine;
		this.admission = admission;
		this.holder = holder;
		this.clock = threads.clock();
		this.scheduler = threads.scheduler();
		this.io = threads.io();
		this.sampler = new StepSampler(threads.clock());
	}

	/**
	 * Takes in a request, which the caller has checked against the operators' removals.
	 * @param link link that it came on
	 * @param generation the request
	 */
	void generate(Link link, Generation generation) {
		String id = generation.id();
		if (this.entries.containsKey(id) || this.spent.contains(id)) {
			return;
		}
		if (!this.identity.model().equals(generation.model())) {
			refuse(link, id, Failure.notRun(ResultCode.UNKNOWN_MODEL, "this target serves " + this.identity.model()));
			return;
		}
		Entry entry = new Entry(generation, new GenerationBuffer(id, 0));
		entry.buffer.attach(link, 0);
		this.entries.put(id, entry);
		long deadlineMillis = this.clock.millis() + generation.deadlineMillis();
		this.admission.state().recordTokenGap(this.sampler.silentMillis());
		apply(this.admission.submit(new PendingRequest(id, generation.workspace(), generation.priority(),
				generation.promptTokens(), generation.maxTokens(), deadlineMillis)));
	}

	private void refuse(Link link, String id, Failure failure) {
		link.send(new Message.Failed(id, failure, this.admission.load(false)));
	}

	private void apply(AdmissionController.Outcome outcome) {
		outcome.admitted().forEach((candidate) -> start(candidate.id()));
		outcome.refused().forEach((refusal) -> end(refusal.candidate().id(), refusal.failure()));
	}

	private void start(String id) {
		Entry entry = this.entries.get(id);
		if (entry == null) {
			return;
		}
		entry.started = true;
		this.engine.generate(entry.request, new Stream(entry));
	}

	/**
	 * Continues a generation on another session.
	 * @param link link of the session
	 * @param resume what is wanted
	 */
	void resume(Link link, Message.Resume resume) {
		if (!AttemptId.belongsTo(resume.id(), resume.workspace())) {
			refuse(link, resume.id(), Failure.notRun(ResultCode.GENERATION_UNKNOWN, "no such generation"));
			return;
		}
		Entry entry = this.entries.get(resume.id());
		if (entry == null) {
			resumeUnknown(link, resume);
			return;
		}
		if (!entry.buffer.attach(link, resume.fromIndex())) {
			refuse(link, resume.id(), gone());
			return;
		}
		entry.orphaned.cancel();
		LogEvent.GENERATION_RESUMED.log(logger, resume.id(), resume.fromIndex());
	}

	private static Failure gone() {
		return new Failure(ResultCode.RESUME_POINT_GONE, Ran.YES, 0, "tokens after the resume point are not kept");
	}

	/**
	 * Resumes from the engine a generation that a predecessor of this sidecar started.
	 * @param link link of the session
	 * @param resume what is wanted
	 */
	private void resumeUnknown(Link link, Message.Resume resume) {
		String id = resume.id();
		boolean ended = this.spent.contains(id);
		if (ended || resume.fromIndex() == 0) {
			this.spent.add(id);
			scheduleForget(id);
			Ran ran = ended ? Ran.YES : Ran.NO;
			refuse(link, id, new Failure(ResultCode.GENERATION_UNKNOWN, ran, 0, "no such generation"));
			return;
		}
		Generation request = new Generation(id, resume.workspace(), this.identity.model(), Priority.NORMAL, "", 0,
				Integer.MAX_VALUE, Long.MAX_VALUE);
		Entry entry = new Entry(request, new GenerationBuffer(id, resume.fromIndex()));
		entry.started = true;
		entry.inherited = true;
		entry.buffer.attach(link, resume.fromIndex());
		this.entries.put(id, entry);
		LogEvent.GENERATION_RESUMED.log(logger, id, resume.fromIndex());
		this.engine.resume(id, resume.fromIndex(), new Stream(entry));
	}

	/**
	 * Takes in how far a caller has read.
	 * @param link link that it came on
	 * @param acknowledge how far
	 */
	void acknowledge(Link link, Message.Acknowledge acknowledge) {
		Entry entry = this.entries.get(acknowledge.id());
		if (entry != null) {
			entry.buffer.acknowledge(link, acknowledge.nextIndex());
		}
	}

	/**
	 * Gives a generation up, unless another session has taken it over.
	 * @param link link that asks
	 * @param id id of the generation
	 */
	void cancel(Link link, String id) {
		Entry entry = this.entries.get(id);
		if (entry != null && entry.buffer.takenOverFrom(link)) {
			return;
		}
		if (entry == null || entry.buffer.ended()) {
			boolean ran = entry != null || this.spent.contains(id);
			this.spent.add(id);
			scheduleForget(id);
			refuse(link, id, new Failure(ResultCode.CANCELLED, ran ? Ran.YES : Ran.NO, 0, "cancelled"));
			return;
		}
		cancelEntry(entry, "cancelled by the caller");
	}

	private void cancelEntry(Entry entry, String message) {
		String id = entry.request.id();
		this.admission.cancel(id);
		if (entry.started) {
			cancelAtEngine(id);
		}
		end(id, new Failure(ResultCode.CANCELLED, entry.started ? Ran.YES : Ran.NO, 0, message));
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
	 * Takes in that a link has closed: its generations wait for a session to resume them.
	 * @param link the link
	 */
	void closed(Link link) {
		for (Entry entry : List.copyOf(this.entries.values())) {
			if (entry.buffer.detach(link)) {
				orphan(entry);
			}
		}
	}

	private void orphan(Entry entry) {
		long waitMillis = this.holder.current().value(Setting.ORPHAN_MILLIS, this.identity.subject());
		entry.orphaned.cancel();
		entry.orphaned = this.scheduler.schedule(waitMillis, () -> {
			if (!entry.buffer.attached() && !entry.buffer.ended()) {
				cancelEntry(entry, "no entry host resumed the generation in time");
			}
		});
	}

	/**
	 * Takes in that a link has room for more tokens.
	 */
	void writable() {
		this.entries.values().forEach((entry) -> entry.buffer.pump());
	}

	private void end(String id, Failure failure) {
		Entry entry = this.entries.get(id);
		if (entry != null && !entry.buffer.ended()) {
			entry.buffer.fail(failure, this.admission.load(false));
			ended(entry, false);
		}
	}

	private void finished(Entry entry, String reason) {
		if (!entry.buffer.ended()) {
			this.admission.state().progressed(entry.request.id(), entry.buffer.nextIndex());
			entry.buffer.finish(reason, this.admission.load(false));
			ended(entry, true);
		}
	}

	private void ended(Entry entry, boolean complete) {
		String id = entry.request.id();
		this.spent.add(id);
		this.sampler.ended(id);
		this.interrupted.remove(id);
		noteInterrupted();
		scheduleForget(id);
		apply(this.admission.finish(id, complete && !entry.inherited));
	}

	private void scheduleForget(String id) {
		long keepMillis = this.holder.current().value(Setting.ORPHAN_MILLIS, this.identity.subject());
		this.scheduler.schedule(keepMillis, () -> this.entries.remove(id));
		this.scheduler.schedule(Math.max(keepMillis, Calls.MEMORY_MILLIS), () -> this.spent.remove(id));
	}

	/**
	 * Looks at progress, step times and waiting requests.
	 */
	void tick() {
		int batch = this.admission.state().count();
		for (Entry entry : this.entries.values()) {
			if (entry.started && !entry.buffer.ended()) {
				this.admission.state().progressed(entry.request.id(), entry.buffer.nextIndex());
			}
		}
		double stepMillis = this.sampler.sample();
		if (stepMillis >= 0 && this.admission.state().stepObserved(batch, stepMillis)) {
			LogEvent.TARGET_COLD.log(logger, this.identity.target(), (long) stepMillis);
		}
		this.admission.state().recordTokenGap(this.sampler.silentMillis());
		apply(this.admission.admitWaiting());
	}

	private void broken(Entry entry, EngineClient.StreamFailure end, String message) {
		if (entry.buffer.ended()) {
			return;
		}
		int produced = entry.buffer.nextIndex();
		if (end == EngineClient.StreamFailure.NOT_REACHED || end == EngineClient.StreamFailure.UNKNOWN_GENERATION) {
			this.admission.state().restarted();
		}
		switch (end) {
			case REFUSED, NOT_REACHED -> end(entry.request.id(), Failure.notRun(ResultCode.TARGET_LOST, message));
			case INTERRUPTED -> resumeFromEngine(entry, message);
			case UNKNOWN_GENERATION -> lose(entry, produced, message);
		}
	}

	private void resumeFromEngine(Entry entry, String message) {
		entry.engineResumes++;
		this.interrupted.add(entry.request.id());
		noteInterrupted();
		if (entry.engineResumes > ENGINE_RESUMES) {
			cancelAtEngine(entry.request.id());
			lose(entry, entry.buffer.nextIndex(), message);
			return;
		}
		long delayMillis = ENGINE_RESUME_MILLIS << entry.engineResumes;
		this.scheduler.schedule(delayMillis, () -> {
			if (!entry.buffer.ended()) {
				this.engine.resume(entry.request.id(), entry.buffer.nextIndex(), new Stream(entry));
			}
		});
	}

	private void noteInterrupted() {
		this.admission.state().recordInterruptedStreams(this.interrupted.size());
	}

	private void streamWorks(Entry entry) {
		entry.engineResumes = 0;
		if (this.interrupted.remove(entry.request.id())) {
			noteInterrupted();
		}
	}

	private void lose(Entry entry, int produced, String message) {
		LogEvent.GENERATION_LOST.log(logger, entry.request.id(), produced, message);
		Ran ran = (produced > 0) ? Ran.YES : Ran.UNKNOWN;
		end(entry.request.id(), new Failure(ResultCode.GENERATION_LOST, ran, 0, message));
	}

	/**
	 * Returns the number of generations that are not delivered.
	 * @return generations running, waiting, or not yet sent to their end
	 */
	int open() {
		return (int) this.entries.values()
			.stream()
			.filter((entry) -> !entry.buffer.ended() || entry.buffer.attached() && !entry.buffer.delivered())
			.count();
	}

	/**
	 * Tells whether this sidecar started a generation itself.
	 * @param id id of the generation
	 * @return {@code false} for generations of a predecessor
	 */
	boolean own(String id) {
		Entry entry = this.entries.get(id);
		return (entry != null) ? !entry.inherited : this.spent.contains(id);
	}

	/**
	 * Returns the number of generations kept.
	 * @return running ones and ended ones that can still be resumed
	 */
	int size() {
		return this.entries.size();
	}

	/**
	 * A generation. Belongs to the control thread, but for its buffer.
	 */
	private static final class Entry {

		/** The request. */
		private final Generation request;

		/** Tokens between engine and entry host. */
		private final GenerationBuffer buffer;

		/** Whether the engine has been asked to run it. */
		private boolean started;

		/** Whether a predecessor of this sidecar started it. */
		private boolean inherited;

		/** Number of times the engine's stream was resumed without a token since. */
		private int engineResumes;

		/** Cancels the generation if no session resumes it. */
		private Scheduler.ScheduledTask orphaned = () -> {
		};

		Entry(Generation request, GenerationBuffer buffer) {
			this.request = request;
			this.buffer = buffer;
		}

	}

	/**
	 * Hears the engine's stream of one generation, on a thread of the engine client.
	 */
	private final class Stream implements EngineClient.Listener {

		/** The generation. */
		private final Entry entry;

		/** Whether a token has come on this stream. */
		private boolean progressed;

		Stream(Entry entry) {
			this.entry = entry;
		}

		@Override
		public void token(int index, String text) {
			if (!this.progressed) {
				this.progressed = true;
				Generations.this.scheduler.execute(() -> streamWorks(this.entry));
			}
			Generations.this.sampler.token(this.entry.request.id());
			this.entry.buffer.append(index, text);
			this.entry.buffer.awaitRoom();
		}

		@Override
		public void finished(int count, String reason) {
			Generations.this.scheduler.execute(() -> {
				if (count == this.entry.buffer.nextIndex()) {
					Generations.this.finished(this.entry, reason);
				}
				else {
					Generations.this.broken(this.entry, EngineClient.StreamFailure.INTERRUPTED,
							"tokens missing at the end");
				}
			});
		}

		@Override
		public void failed(EngineClient.StreamFailure end, String message) {
			Generations.this.scheduler.execute(() -> Generations.this.broken(this.entry, end, message));
		}

	}

}
