package io.dotterelcrank.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.version.Placement;

/**
 * A simulated model engine: continuous batching, KV cache memory for prompts and outputs,
 * preemption with recomputation when memory is full, a prefix cache, priorities, a cold
 * phase in which it crashes above a concurrency limit, and delayed load reports. Confined
 * to the scheduler's thread; runs on a manual scheduler are reproducible.
 */
public final class StandinEngine implements EngineClient {

	/** Factor on the step duration of a cold engine. */
	static final int COLD_STEP_FACTOR = 4;

	/** Output tokens that raise the limit of a cold engine by one request. */
	static final int WARM_UP_TOKENS_PER_REQUEST = 60;

	/** Time from an overload crash to the restart, in milliseconds. */
	static final long RESTART_MILLIS = 2_000;

	/** How long a finished generation can be resumed, in milliseconds. */
	static final long RETENTION_MILLIS = 30_000;

	private static final long MICROS_PER_MILLI = 1_000;

	private static final long HUNDRED_PERCENT = 100;

	private final EngineSettings settings;

	private final Clock clock;

	private final Scheduler scheduler;

	/** Generations by id, with those finished within {@link #RETENTION_MILLIS}. */
	private final Map<String, StandinGeneration> generations = new HashMap<>();

	/** Generations in the batch, in order of admission. */
	private final List<StandinGeneration> running = new ArrayList<>();

	/** Generations waiting for memory. */
	private final List<StandinGeneration> waiting = new ArrayList<>();

	private final PrefixCache cache;

	private Placement placement;

	/** Largest fencing token accepted. */
	private long maxFence;

	/** Latest report published, {@link EngineSettings#reportLagMillis} old. */
	private volatile Report visibleReport;

	private volatile EngineCounters counters = EngineCounters.ZERO;

	/** Output tokens since the engine last became cold. */
	private long warmUpProgressTokens;

	/**
	 * Generations held when the engine became cold; they do not count against the limit.
	 */
	private long toleratedGenerations;

	private long usedTokens;

	/** Written on the scheduler's thread only. */
	private volatile long arrivalCount;

	/** Step duration in percent of normal. */
	private long stepTimePercent = HUNDRED_PERCENT;

	/** No step completes before this time, in milliseconds. */
	private long stalledUntilMillis;

	private boolean down;

	private boolean refusing;

	private boolean stepInProgress;

	/** Fraction of a millisecond carried over to the next step, in microseconds. */
	private long remainderMicros;

	/** Duration of the last step. */
	private long stepMicros;

	/** Incremented by a crash, so that steps started before it are ignored. */
	private long incarnation;

	private StandinEngine(EngineSettings settings, Placement held, Clock clock, Scheduler scheduler) {
		this.settings = settings;
		this.placement = held;
		this.clock = clock;
		this.scheduler = scheduler;
		this.cache = new PrefixCache(settings.prefixCacheTokens());
		this.visibleReport = currentReport();
	}

	/**
	 * Starts an engine.
	 * @param settings capacity and timing
	 * @param service service that the engine belongs to
	 * @param model model loaded in the engine
	 * @param clock time source of the scheduler
	 * @param scheduler runs the steps
	 * @return a running engine
	 */
	public static StandinEngine start(EngineSettings settings, String service, String model, Clock clock,
			Scheduler scheduler) {
		Placement held = new Placement(service, model, "", "1", "serve", 0);
		return new StandinEngine(settings, held, clock, scheduler);
	}

	@Override
	public void generate(Generation generation, Listener listener) {
		this.scheduler.execute(() -> {
			if (this.down || this.refusing) {
				listener.failed(this.down ? StreamFailure.NOT_REACHED : StreamFailure.REFUSED,
						"the engine accepts no generations");
				return;
			}
			if (this.generations.containsKey(generation.id())) {
				listener.failed(StreamFailure.REFUSED, "the generation id is already in use");
				return;
			}
			this.arrivalCount = this.arrivalCount + 1;
			StandinGeneration added = new StandinGeneration(generation, this.arrivalCount);
			added.remainingPrefillTokens(generation.promptTokens()
					- this.cache.lookUpAndCache(generation.prompt(), generation.promptTokens()));
			this.generations.put(generation.id(), added);
			this.waiting.add(added);
			added.attach(listener, 0);
			crashIfOverloaded();
			startStep();
		});
	}

	@Override
	public void resume(String id, int fromIndex, Listener listener) {
		this.scheduler.execute(() -> {
			StandinGeneration existing = this.generations.get(id);
			if (this.down) {
				listener.failed(StreamFailure.INTERRUPTED, "the engine is down");
			}
			else if (existing == null || fromIndex > existing.producedCount()) {
				listener.failed(StreamFailure.UNKNOWN_GENERATION, "unknown generation or token index");
			}
			else {
				existing.attach(listener, fromIndex);
			}
		});
	}

	@Override
	public void cancel(String id) {
		this.scheduler.execute(() -> {
			StandinGeneration existing = this.generations.remove(id);
			if (existing != null) {
				release(existing);
			}
		});
	}

	/**
	 * Removes a generation from the batch or the queue and frees its memory. Generations
	 * held when the engine became cold stay tolerated until they end.
	 * @param generation the generation
	 */
	private void release(StandinGeneration generation) {
		this.running.remove(generation);
		this.waiting.remove(generation);
		this.usedTokens -= generation.memoryTokens();
		generation.memoryTokens(0);
		this.toleratedGenerations = Math.min(this.toleratedGenerations, generationCount());
	}

	@Override
	public Report report() throws PlatformException {
		if (this.down) {
			throw new PlatformException("the engine is down");
		}
		return this.visibleReport;
	}

	@Override
	public void order(Placement placement) throws PlatformException {
		if (this.down) {
			throw new PlatformException("the engine is down");
		}
		synchronized (this) {
			if (this.settings.checksFences() && placement.fence() < this.maxFence) {
				throw new PlatformException("fencing token " + placement.fence() + " is older than " + this.maxFence);
			}
			// Only recorded and reported: no weights are loaded.
			this.maxFence = Math.max(this.maxFence, placement.fence());
			this.placement = placement;
		}
		this.scheduler.execute(this::publishReport);
	}

	/**
	 * Injects a fault.
	 * @param fault the fault
	 * @param value parameter of the fault; see its constant
	 */
	public void injectFault(EngineFault fault, long value) {
		this.scheduler.execute(() -> {
			switch (fault) {
				case DIE -> crash(value);
				case CUT_STREAMS -> cutStreams(StreamFailure.INTERRUPTED);
				case TURN_COLD -> {
					this.warmUpProgressTokens = 0;
					this.toleratedGenerations = generationCount();
				}
				case SLOW -> {
					this.stepTimePercent = value;
				}
				case STALL -> {
					this.stalledUntilMillis = this.clock.millis() + value;
				}
				case REFUSE -> {
					this.refusing = value != 0;
				}
			}
		});
	}

	private void cutStreams(StreamFailure failure) {
		for (StandinGeneration generation : List.copyOf(this.generations.values())) {
			Listener listener = generation.detach();
			if (listener != null) {
				listener.failed(failure, "the engine broke the stream");
			}
		}
	}

	private void crash(long restartMillis) {
		this.down = true;
		this.incarnation++;
		cutStreams(StreamFailure.INTERRUPTED);
		this.generations.clear();
		this.running.clear();
		this.waiting.clear();
		this.cache.clear();
		this.usedTokens = 0;
		this.warmUpProgressTokens = 0;
		this.toleratedGenerations = 0;
		this.stepInProgress = false;
		this.scheduler.schedule(restartMillis, () -> {
			this.down = false;
			publishReport();
		});
	}

	private boolean isCold() {
		return this.warmUpProgressTokens < this.settings.warmUpTokens();
	}

	private void crashIfOverloaded() {
		long maxGenerations = this.settings.coldRequestLimit()
				+ Math.max(this.toleratedGenerations, this.warmUpProgressTokens / WARM_UP_TOKENS_PER_REQUEST);
		if (isCold() && generationCount() > maxGenerations) {
			this.counters = this.counters.withFallOver();
			crash(RESTART_MILLIS);
		}
	}

	private void startStep() {
		if (this.stepInProgress || this.down || this.running.isEmpty() && this.waiting.isEmpty()) {
			return;
		}
		this.stepInProgress = true;
		fillBatch();
		int prefilledTokens = prefill();
		long factorPercent = this.stepTimePercent * (isCold() ? COLD_STEP_FACTOR : 1);
		this.stepMicros = (this.settings.baseStepMicros()
				+ this.settings.stepMicrosPerGeneration() * this.running.size()
				+ this.settings.prefillMicrosPerToken() * prefilledTokens) * factorPercent / HUNDRED_PERCENT;
		long dueMicros = this.stepMicros + this.remainderMicros;
		this.remainderMicros = dueMicros % MICROS_PER_MILLI;
		long stallMillis = Math.max(0, this.stalledUntilMillis - this.clock.millis());
		long incarnationAtStart = this.incarnation;
		this.scheduler.schedule(stallMillis + dueMicros / MICROS_PER_MILLI, () -> completeStep(incarnationAtStart));
	}

	/**
	 * Produces one token for each generation of the batch whose prefill is complete. Does
	 * nothing if the engine has crashed since the step started.
	 * @param incarnationAtStart incarnation in which the step started
	 */
	private void completeStep(long incarnationAtStart) {
		if (incarnationAtStart != this.incarnation) {
			return;
		}
		this.stepInProgress = false;
		for (StandinGeneration generation : List.copyOf(this.running)) {
			if (this.running.contains(generation) && generation.remainingPrefillTokens() == 0) {
				decode(generation);
			}
		}
		publishReport();
		startStep();
	}

	private void decode(StandinGeneration generation) {
		if (this.usedTokens + 1 > this.settings.memoryTokens()) {
			preempt();
			if (!this.running.contains(generation)) {
				return;
			}
		}
		generation.memoryTokens(generation.memoryTokens() + 1);
		this.usedTokens++;
		this.warmUpProgressTokens++;
		generation.produceToken();
		if (generation.isComplete()) {
			release(generation);
			this.scheduler.schedule(RETENTION_MILLIS,
					() -> this.generations.remove(generation.request().id(), generation));
		}
	}

	/**
	 * Moves the newest generation of the lowest priority from the batch to the queue. Its
	 * prompt and output must be prefilled again.
	 */
	private void preempt() {
		StandinGeneration victim = this.running.stream()
			.max(Comparator.comparing((StandinGeneration generation) -> generation.request().priority())
				.thenComparingLong(StandinGeneration::arrivalNumber))
			.orElseThrow();
		release(victim);
		victim.remainingPrefillTokens(victim.request().promptTokens() + victim.producedCount());
		this.waiting.add(victim);
		this.counters = this.counters.withPreemption();
	}

	private void fillBatch() {
		this.waiting.sort(Comparator.comparing((StandinGeneration generation) -> generation.request().priority())
			.thenComparingLong(StandinGeneration::arrivalNumber));
		while (!this.waiting.isEmpty()) {
			StandinGeneration next = this.waiting.get(0);
			long neededTokens = (long) next.request().promptTokens() + next.producedCount() + 1;
			boolean fits = this.usedTokens + neededTokens <= this.settings.memoryTokens() || this.running.isEmpty();
			if (!fits) {
				return;
			}
			this.waiting.remove(0);
			next.memoryTokens(neededTokens - 1);
			this.usedTokens += neededTokens - 1;
			this.running.add(next);
		}
	}

	private int prefill() {
		int remainingTokens = this.settings.maxPrefillTokensPerStep();
		for (StandinGeneration generation : this.running) {
			int prefilledTokens = Math.min(remainingTokens, generation.remainingPrefillTokens());
			generation.remainingPrefillTokens(generation.remainingPrefillTokens() - prefilledTokens);
			remainingTokens -= prefilledTokens;
		}
		return this.settings.maxPrefillTokensPerStep() - remainingTokens;
	}

	private void publishReport() {
		Report report = currentReport();
		this.scheduler.schedule(this.settings.reportLagMillis(), () -> this.visibleReport = report);
	}

	private synchronized Report currentReport() {
		List<String> generationIds = new ArrayList<>();
		this.running.forEach((generation) -> generationIds.add(generation.request().id()));
		this.waiting.forEach((generation) -> generationIds.add(generation.request().id()));
		return new Report(this.settings.memoryTokens(), this.usedTokens, this.running.size(), this.waiting.size(),
				this.counters.preemptions(), (double) this.stepMicros / MICROS_PER_MILLI, generationIds, this.placement,
				this.cache.recentEvents());
	}

	/**
	 * Returns the counters of preemptions and crashes. Safe on any thread.
	 * @return counters since the engine was created
	 */
	public EngineCounters counters() {
		return this.counters;
	}

	/**
	 * Returns the number of generations accepted. Safe on any thread.
	 * @return generations accepted since the engine was created
	 */
	public long arrivalCount() {
		return this.arrivalCount;
	}

	/**
	 * Returns the number of unfinished generations. Confined to the scheduler's thread.
	 * @return running and waiting generations
	 */
	public int generationCount() {
		return this.running.size() + this.waiting.size();
	}

	/**
	 * Returns the placement in force. Safe on any thread.
	 * @return the placement of the last accepted order
	 */
	public synchronized Placement placement() {
		return this.placement;
	}

}
