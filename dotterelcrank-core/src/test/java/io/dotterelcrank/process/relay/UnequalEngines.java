package io.dotterelcrank.process.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.ToIntFunction;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.EngineSpeed;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.limit.RatePermitClient;
import io.dotterelcrank.process.limit.TargetRateLimiter;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.prefill.PrefillBudget;

/**
 * Replays demand of several hosts at engines of unequal speed, with the classes that
 * measure it, place requests and admit them, on a manual clock. Confined to one thread.
 */
final class UnequalEngines {

	static final int ENGINES = 12;

	static final int PROMPT_TOKENS = 2_200;

	/** Output of a short generation. */
	static final int SHORT_OUTPUT_TOKENS = 12;

	static final double PREFILL_PER_MILLI = 14;

	static final long LATENCY_GOAL_MILLIS = 1_500;

	private static final long STEP_MILLIS = 20;

	private static final int POLL_STEPS = 3;

	private static final int REPORT_STEPS = 6;

	private static final int HOSTS = 4;

	private static final long MEMORY_TOKENS = 27_000;

	private static final double TOKEN_MILLIS = 7;

	/** Part by which each running request lengthens a step. */
	private static final double BATCH_SLOWDOWN = 0.03;

	/** Factor on the steps beside prefill. */
	private static final double PREFILL_SLOWDOWN = 2;

	private static final long MAX_QUEUE_MILLIS = Math
		.round(PrefillBudget.MAX_QUEUE_GOAL_FRACTION * LATENCY_GOAL_MILLIS);

	final Clock.Manual clock = Clock.manual(10_000);

	/** Requests with a first event. */
	final List<Request> started = new ArrayList<>();

	private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11);

	private final List<Engine> engines = IntStream.range(0, ENGINES).mapToObj(Engine::new).toList();

	private final List<Host> hosts = IntStream.range(0, HOSTS).mapToObj((number) -> new Host()).toList();

	private final List<Request> waiting = new ArrayList<>();

	/** Factor on the duration of an engine's work, by its number and the time in ms. */
	private final BiFunction<Integer, Long, Double> slowness;

	/** Output tokens by the number of the request. */
	private final ToIntFunction<Integer> outputTokens;

	private final boolean speedsTold;

	private int requests;

	UnequalEngines(BiFunction<Integer, Long, Double> slowness, ToIntFunction<Integer> outputTokens,
			boolean speedsTold) {
		this.slowness = slowness;
		this.outputTokens = outputTokens;
		this.speedsTold = speedsTold;
	}

	void play(long millis, double promptsPerSecond) {
		for (long elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
			this.clock.advance(STEP_MILLIS);
			long step = this.clock.millis() / STEP_MILLIS;
			this.engines.forEach(Engine::advance);
			if (step % POLL_STEPS == 0) {
				this.engines.forEach(Engine::poll);
			}
			if (step % REPORT_STEPS == 0) {
				this.engines.forEach((engine) -> this.hosts.forEach((host) -> host.update(engine)));
			}
			for (double due = promptsPerSecond * STEP_MILLIS / 1_000; this.random.nextDouble() < due; due--) {
				this.waiting.add(new Request("r" + this.requests, this.clock.millis(),
						this.outputTokens.applyAsInt(this.requests)));
				this.requests++;
			}
			this.waiting.removeIf((request) -> this.hosts.get(this.random.nextInt(HOSTS)).tryPlace(request));
		}
	}

	/**
	 * Returns a quantile of the time from arrival to first event.
	 * @param quantile part of the requests that started within the time
	 * @return time in milliseconds
	 */
	long startMillis(double quantile) {
		long[] millis = this.started.stream()
			.mapToLong((request) -> request.firstEventMillis - request.arrivedMillis)
			.sorted()
			.toArray();
		return millis[(int) (quantile * millis.length)];
	}

	static final class Request {

		private final String id;

		private final long arrivedMillis;

		final int outputTokens;

		/** Number of its engine. */
		int engine;

		long placedMillis;

		long firstEventMillis;

		/** When it ended; 0 before. */
		long endMillis;

		/** Time to its first event by engine when it was placed. */
		List<Double> startMillis;

		private double tokens;

		private TrackedTarget target;

		private OutstandingRequest outstanding;

		Request(String id, long arrivedMillis, int outputTokens) {
			this.id = id;
			this.arrivedMillis = arrivedMillis;
			this.outputTokens = outputTokens;
		}

		long totalTokens() {
			return PROMPT_TOKENS + this.outputTokens;
		}

	}

	/**
	 * An engine that prefills one prompt after the other, with its sidecar.
	 */
	private final class Engine {

		private final int number;

		private final AdmissionLedger ledger = AdmissionLedger.of(UnequalEngines.this.clock);

		private final List<Request> running = new ArrayList<>();

		Engine(int number) {
			this.number = number;
			poll();
		}

		private double slowness() {
			return UnequalEngines.this.slowness.apply(this.number, UnequalEngines.this.clock.millis());
		}

		double startMillis() {
			double unread = this.running.stream()
				.mapToDouble((request) -> Math.max(0, PROMPT_TOKENS - request.tokens))
				.sum();
			return (unread + PROMPT_TOKENS) * slowness() / PREFILL_PER_MILLI;
		}

		void advance() {
			boolean quiet = this.running.stream().allMatch((request) -> request.tokens >= PROMPT_TOKENS);
			double tokenMillis = TOKEN_MILLIS * slowness() * (1 + BATCH_SLOWDOWN * this.running.size())
					* (quiet ? 1 : PREFILL_SLOWDOWN);
			double prefill = STEP_MILLIS * PREFILL_PER_MILLI / slowness();
			for (Iterator<Request> requests = this.running.iterator(); requests.hasNext();) {
				Request request = requests.next();
				if (request.tokens < PROMPT_TOKENS) {
					double read = Math.min(prefill, PROMPT_TOKENS - request.tokens);
					request.tokens += read;
					prefill -= read;
					if (request.tokens >= PROMPT_TOKENS) {
						request.firstEventMillis = UnequalEngines.this.clock.millis();
						request.outstanding.recordPrefillDone();
						UnequalEngines.this.started.add(request);
					}
				}
				else {
					request.tokens += STEP_MILLIS / tokenMillis;
					if (request.tokens >= request.totalTokens()) {
						request.endMillis = UnequalEngines.this.clock.millis();
						request.target.recordEnd(request.outstanding);
						requests.remove();
					}
				}
			}
		}

		void poll() {
			long used = Math.round(this.running.stream().mapToDouble((request) -> request.tokens).sum());
			this.ledger.updateLoad(
					new EngineLoad("e" + this.number, "s", "dc", "10.0.0.1:80", 1, this.running.size(), 0, 0, used,
							MEMORY_TOKENS, false, -1, -1),
					this.running.stream()
						.filter((request) -> request.tokens >= PROMPT_TOKENS)
						.map((request) -> new EngineReport.ActiveRequest(request.id, Math.round(request.tokens),
								Math.max(0, (long) (request.tokens - PROMPT_TOKENS + 4) / 4)))
						.toList());
		}

		EngineLoad load() {
			EngineLoad load = this.ledger.load();
			return UnequalEngines.this.speedsTold ? load : load.withSpeed(EngineSpeed.UNKNOWN);
		}

	}

	/**
	 * An entry host that places requests by the reports it has got.
	 */
	private final class Host {

		private final GenerationStatistics statistics = new GenerationStatistics();

		private final PlacementStrategy strategy = new PlacementStrategy.ForEngines(MEMORY_TOKENS, this.statistics,
				UnequalEngines.this.random);

		private final Map<Engine, TrackedTarget> targets = new HashMap<>();

		Host() {
			InetSocketAddress address = new InetSocketAddress("10.0.0.1", 80);
			UnequalEngines.this.engines.forEach((engine) -> {
				TargetRegistration registration = new TargetRegistration("e" + engine.number, "s", address, "dc", 24,
						false, 0, 1, 1);
				this.targets.put(engine,
						new TrackedTarget(UnequalEngines.this.clock, new Target(registration, 0, true, false),
								TargetRateLimiter.of(UnequalEngines.this.clock), RatePermitClient.Disabled.INSTANCE,
								UnequalEngines.this.random));
				update(engine);
			});
		}

		void update(Engine engine) {
			this.targets.get(engine).updateLoad(engine.load());
		}

		boolean tryPlace(Request request) {
			PlacementStrategy.Demand demand = new PlacementStrategy.Demand(PROMPT_TOKENS, request.totalTokens(), "dc",
					0, HOSTS, MAX_QUEUE_MILLIS, MAX_QUEUE_MILLIS, PlacementStrategy.Demand.NO_LIMIT, 0);
			List<TrackedTarget> candidates = this.targets.entrySet()
				.stream()
				.sorted(Comparator.comparingInt((entry) -> entry.getKey().number))
				.map(Map.Entry::getValue)
				.toList();
			for (int tries = 0; tries < 3; tries++) {
				Optional<TrackedTarget> chosen = this.strategy.choose(candidates, demand);
				if (chosen.isEmpty()) {
					return false;
				}
				Engine engine = UnequalEngines.this.engines.get(candidates.indexOf(chosen.get()));
				long knownTokens = chosen.get().pendingPrefillTokens(HOSTS);
				long maxTokens = PlacementStrategy.ForEngines.maxPendingPrefillTokens(
						chosen.get().prefillTokensPerSecond(this.statistics.prefillTokensPerSecond()), demand);
				if (engine.ledger.tryAdmit(new Message.AdmissionRequest(1, request.id, PROMPT_TOKENS,
						demand.expectedTotalTokens(), knownTokens, maxTokens, 0))) {
					place(request, engine, chosen.get());
					return true;
				}
				update(engine);
			}
			return false;
		}

		private void place(Request request, Engine engine, TrackedTarget target) {
			request.startMillis = UnequalEngines.this.engines.stream().map(Engine::startMillis).toList();
			request.engine = engine.number;
			request.placedMillis = UnequalEngines.this.clock.millis();
			request.target = target;
			request.outstanding = target.recordSend(PROMPT_TOKENS, request.totalTokens());
			engine.running.add(request);
		}

	}

}
