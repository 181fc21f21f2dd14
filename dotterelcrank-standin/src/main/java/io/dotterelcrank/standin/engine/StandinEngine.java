package io.dotterelcrank.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.version.Placement;

/**
 * A small model engine: continuous batching, a memory that fills with prompts and
 * outputs, preemption with recomputation when it is full, a prefix cache, priorities, a
 * cold start that falls over under full load, and lagging reports. All state belongs to
 * the scheduler's thread; with a manual scheduler two runs are equal.
 */
public final class StandinEngine implements EngineClient {

	/** Factor by which a cold engine's steps are longer. */
	static final int COLD_FACTOR = 4;

	/** Output tokens for which a cold engine bears one more request. */
	static final int TOKENS_PER_REQUEST = 60;

	/** Time until an engine that fell over starts again, in milliseconds. */
	static final long RESTART_MILLIS = 2_000;

	/** Time for which a finished generation can be resumed, in milliseconds. */
	static final long KEEP_MILLIS = 30_000;

	/** Microseconds in a millisecond. */
	private static final long MICROS_PER_MILLI = 1_000;

	/** Whole, in percent. */
	private static final long WHOLE_PERCENT = 100;

	/** Size and speed. */
	private final EngineSettings settings;

	/** Clock of the engine. */
	private final Clock clock;

	/** Runs the steps. */
	private final Scheduler scheduler;

	/** Generations known, finished ones included, by id. */
	private final Map<String, StandinGeneration> generations = new HashMap<>();

	/** Generations in the batch, in order of arrival. */
	private final List<StandinGeneration> running = new ArrayList<>();

	/** Generations that wait for memory. */
	private final List<StandinGeneration> waiting = new ArrayList<>();

	/** Cached prompt prefixes. */
	private final PrefixCache cache;

	/** What the engine holds. */
	private Placement placement;

	/** Largest fencing number seen. */
	private long fence;

	/** Load report that callers see. */
	private volatile Report visible;

	/** Counters of what went wrong. */
	private volatile EngineCounters counters = EngineCounters.ZERO;

	/** Output tokens since the engine started. */
	private long warmth;

	/** Generations that the engine held when it turned cold, and still holds. */
	private long borne;

	/** Memory in use, in tokens. */
	private long used;

	/** Number of arrivals; written by the scheduler's thread only. */
	private volatile long arrivalCount;

	/** Factor by which steps are longer, in percent. */
	private long slowPercent = WHOLE_PERCENT;

	/** No step is made before this time, in milliseconds. */
	private long stalledUntilMillis;

	/** Whether the engine is down. */
	private boolean down;

	/** Whether new generations are refused. */
	private boolean refusing;

	/** Whether a step is in progress. */
	private boolean stepping;

	/** Fraction of a millisecond that steps have not used, in microseconds. */
	private long carriedMicros;

	/** Duration of the last step in microseconds. */
	private long stepMicros;

	/** Changes with each restart, so that steps begun before have no effect. */
	private long life;

	private StandinEngine(EngineSettings settings, Placement held, Clock clock, Scheduler scheduler) {
		this.settings = settings;
		this.placement = held;
		this.clock = clock;
		this.scheduler = scheduler;
		this.cache = new PrefixCache(settings.prefixCacheTokens());
		this.visible = reportNow();
	}

	/**
	 * Starts an engine.
	 * @param settings size and speed
	 * @param service service that it belongs to
	 * @param model model that it holds
	 * @param clock clock of the engine
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
						"the engine takes nothing");
				return;
			}
			if (this.generations.containsKey(generation.id())) {
				listener.failed(StreamFailure.REFUSED, "the id is in use");
				return;
			}
			this.arrivalCount = this.arrivalCount + 1;
			StandinGeneration fresh = new StandinGeneration(generation, this.arrivalCount);
			fresh.prefillLeft(
					generation.promptTokens() - this.cache.hit(generation.prompt(), generation.promptTokens()));
			this.generations.put(generation.id(), fresh);
			this.waiting.add(fresh);
			fresh.attach(listener, 0);
			fallOverIfTooMuch();
			stepSoon();
		});
	}

	@Override
	public void resume(String id, int fromIndex, Listener listener) {
		this.scheduler.execute(() -> {
			StandinGeneration known = this.generations.get(id);
			if (this.down) {
				listener.failed(StreamFailure.INTERRUPTED, "the engine is down");
			}
			else if (known == null || fromIndex > known.produced()) {
				listener.failed(StreamFailure.UNKNOWN_GENERATION, "no such generation");
			}
			else {
				known.attach(listener, fromIndex);
			}
		});
	}

	@Override
	public void cancel(String id) {
		this.scheduler.execute(() -> {
			StandinGeneration known = this.generations.remove(id);
			if (known != null) {
				release(known);
			}
		});
	}

	/**
	 * Takes a generation out of the engine. What an engine bore when it turned cold it
	 * goes on bearing, until it ends.
	 * @param generation the generation
	 */
	private void release(StandinGeneration generation) {
		this.running.remove(generation);
		this.waiting.remove(generation);
		this.used -= generation.memory();
		generation.memory(0);
		this.borne = Math.min(this.borne, generationCount());
	}

	@Override
	public Report report() throws PlatformException {
		if (this.down) {
			throw new PlatformException("the engine is down");
		}
		return this.visible;
	}

	@Override
	public void order(Placement placement) throws PlatformException {
		if (this.down) {
			throw new PlatformException("the engine is down");
		}
		synchronized (this) {
			if (this.settings.checksFences() && placement.fence() < this.fence) {
				throw new PlatformException("fencing number " + placement.fence() + " is older than " + this.fence);
			}
			this.fence = Math.max(this.fence, placement.fence());
			this.placement = placement;
		}
		this.scheduler.execute(this::publishReport);
	}

	/**
	 * Switches a fault on.
	 * @param fault the fault
	 * @param value its value
	 */
	public void injectFault(EngineFault fault, long value) {
		this.scheduler.execute(() -> {
			switch (fault) {
				case DIE -> die(value);
				case CUT_STREAMS -> cutStreams(StreamFailure.INTERRUPTED);
				case TURN_COLD -> {
					this.warmth = 0;
					this.borne = generationCount();
				}
				case SLOW -> {
					this.slowPercent = value;
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

	private void cutStreams(StreamFailure end) {
		for (StandinGeneration generation : List.copyOf(this.generations.values())) {
			Listener listener = generation.detach();
			if (listener != null) {
				listener.failed(end, "the stream was cut");
			}
		}
	}

	private void die(long restartMillis) {
		this.down = true;
		this.life++;
		cutStreams(StreamFailure.INTERRUPTED);
		this.generations.clear();
		this.running.clear();
		this.waiting.clear();
		this.cache.clear();
		this.used = 0;
		this.warmth = 0;
		this.borne = 0;
		this.stepping = false;
		this.scheduler.schedule(restartMillis, () -> {
			this.down = false;
			publishReport();
		});
	}

	private boolean cold() {
		return this.warmth < this.settings.warmUpTokens();
	}

	private void fallOverIfTooMuch() {
		long bears = this.settings.coldRequestLimit() + Math.max(this.borne, this.warmth / TOKENS_PER_REQUEST);
		if (cold() && generationCount() > bears) {
			this.counters = this.counters.withFallOver();
			die(RESTART_MILLIS);
		}
	}

	private void stepSoon() {
		if (this.stepping || this.down || this.running.isEmpty() && this.waiting.isEmpty()) {
			return;
		}
		this.stepping = true;
		fillBatch();
		int prefilled = prefill();
		long factor = this.slowPercent * (cold() ? COLD_FACTOR : 1);
		this.stepMicros = (this.settings.baseStepMicros()
				+ this.settings.stepMicrosPerGeneration() * this.running.size()
				+ this.settings.prefillMicrosPerToken() * prefilled) * factor / WHOLE_PERCENT;
		long dueMicros = this.stepMicros + this.carriedMicros;
		this.carriedMicros = dueMicros % MICROS_PER_MILLI;
		long stallMillis = Math.max(0, this.stalledUntilMillis - this.clock.millis());
		long begunIn = this.life;
		this.scheduler.schedule(stallMillis + dueMicros / MICROS_PER_MILLI, () -> endStep(begunIn));
	}

	private void endStep(long begunIn) {
		if (begunIn != this.life) {
			return;
		}
		this.stepping = false;
		for (StandinGeneration generation : List.copyOf(this.running)) {
			if (this.running.contains(generation) && generation.prefillLeft() == 0) {
				decode(generation);
			}
		}
		publishReport();
		stepSoon();
	}

	private void decode(StandinGeneration generation) {
		if (this.used + 1 > this.settings.memoryTokens()) {
			preempt();
			if (!this.running.contains(generation)) {
				return;
			}
		}
		generation.memory(generation.memory() + 1);
		this.used++;
		this.warmth++;
		generation.produce();
		if (generation.complete()) {
			release(generation);
			this.scheduler.schedule(KEEP_MILLIS, () -> this.generations.remove(generation.request().id(), generation));
		}
	}

	/**
	 * Takes the least urgent, newest generation out of the batch; its whole text must be
	 * processed again later.
	 */
	private void preempt() {
		StandinGeneration victim = this.running.stream()
			.max(Comparator.comparing((StandinGeneration generation) -> generation.request().priority())
				.thenComparingLong(StandinGeneration::arrival))
			.orElseThrow();
		release(victim);
		victim.prefillLeft(victim.request().promptTokens() + victim.produced());
		this.waiting.add(victim);
		this.counters = this.counters.withPreemption();
	}

	private void fillBatch() {
		this.waiting.sort(Comparator.comparing((StandinGeneration generation) -> generation.request().priority())
			.thenComparingLong(StandinGeneration::arrival));
		while (!this.waiting.isEmpty()) {
			StandinGeneration next = this.waiting.get(0);
			long needed = (long) next.request().promptTokens() + next.produced() + 1;
			boolean fits = this.used + needed <= this.settings.memoryTokens() || this.running.isEmpty();
			if (!fits) {
				return;
			}
			this.waiting.remove(0);
			next.memory(needed - 1);
			this.used += needed - 1;
			this.running.add(next);
		}
	}

	private int prefill() {
		int left = this.settings.maxPrefillTokensPerStep();
		for (StandinGeneration generation : this.running) {
			int part = Math.min(left, generation.prefillLeft());
			generation.prefillLeft(generation.prefillLeft() - part);
			left -= part;
		}
		return this.settings.maxPrefillTokensPerStep() - left;
	}

	private void publishReport() {
		Report report = reportNow();
		this.scheduler.schedule(this.settings.reportLagMillis(), () -> this.visible = report);
	}

	private synchronized Report reportNow() {
		List<String> ids = new ArrayList<>();
		this.running.forEach((generation) -> ids.add(generation.request().id()));
		this.waiting.forEach((generation) -> ids.add(generation.request().id()));
		return new Report(this.settings.memoryTokens(), this.used, this.running.size(), this.waiting.size(),
				this.counters.preemptions(), (double) this.stepMicros / MICROS_PER_MILLI, ids, this.placement,
				this.cache.events());
	}

	/**
	 * Returns what went wrong so far. Safe on any thread.
	 * @return counters since the engine was created
	 */
	public EngineCounters counters() {
		return this.counters;
	}

	/**
	 * Returns the number of generations that the engine was given. Safe on any thread.
	 * @return arrivals since the engine was created
	 */
	public long arrivalCount() {
		return this.arrivalCount;
	}

	/**
	 * Returns the number of generations in the engine. Belongs to the scheduler's thread.
	 * @return running and waiting ones
	 */
	public int generationCount() {
		return this.running.size() + this.waiting.size();
	}

	/**
	 * Returns what the engine holds.
	 * @return the placement of the last order
	 */
	public synchronized Placement placement() {
		return this.placement;
	}

}
