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
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.EngineSpeed;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.limit.RatePermitClient;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays demand of several hosts at engines of unequal speed, with the classes that
 * measure it, place requests and admit them.
 */
class UnequalEnginesTests {

	private static final long STEP_MILLIS = 20;

	private static final int POLL_STEPS = 3;

	private static final int REPORT_STEPS = 6;

	private static final int HOSTS = 4;

	private static final int ENGINES = 12;

	private static final int SLOW_ENGINES = 4;

	/** Factor on the time that slow engines take. */
	private static final double SLOWNESS = 2.5;

	private static final long MEMORY_TOKENS = 27_000;

	private static final int PROMPT_TOKENS = 2_200;

	private static final int OUTPUT_TOKENS = 40;

	private static final double PREFILL_PER_MILLI = 14;

	private static final long LATENCY_GOAL_MILLIS = 1_500;

	private static final long MAX_QUEUE_MILLIS = Math
		.round(RequestPlacement.MAX_QUEUE_GOAL_FRACTION * LATENCY_GOAL_MILLIS);

	/** Later start that is accepted for a lower load: a tenth of the latency goal. */
	private static final long MAX_LATER_START_MILLIS = LATENCY_GOAL_MILLIS / 10;

	/** Prompts per second that all engines prefill while some are slow for good. */
	private static final double FULL_LOAD_PER_SECOND = (ENGINES - SLOW_ENGINES + SLOW_ENGINES / SLOWNESS)
			* PREFILL_PER_MILLI * 1_000 / PROMPT_TOKENS;

	private final Clock.Manual clock = Clock.manual(10_000);

	private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11);

	private final List<Engine> engines = IntStream.range(0, ENGINES).mapToObj(Engine::new).toList();

	private final List<Host> hosts = IntStream.range(0, HOSTS).mapToObj((number) -> new Host()).toList();

	private final List<Request> waiting = new ArrayList<>();

	private final List<Request> started = new ArrayList<>();

	/** Factor on the duration of an engine's work, by its number and the time in ms. */
	private BiFunction<Integer, Long, Double> slowness = (engine, millis) -> 1.0;

	private boolean speedsTold = true;

	private int requests;

	private void play(long millis, double promptsPerSecond) {
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
				this.waiting.add(new Request("r" + this.requests++, this.clock.millis()));
			}
			this.waiting.removeIf((request) -> this.hosts.get(this.random.nextInt(HOSTS)).tryPlace(request));
		}
	}

	private long startMillis(double quantile) {
		long[] millis = this.started.stream()
			.mapToLong((request) -> request.firstEventMillis - request.arrivedMillis)
			.sorted()
			.toArray();
		return millis[(int) (quantile * millis.length)];
	}

	private double startsPerEngine(boolean slow, long sinceMillis) {
		long count = this.started.stream()
			.filter((request) -> request.engine.slow() == slow && request.placedMillis >= sinceMillis)
			.count();
		return (double) count / (slow ? SLOW_ENGINES : ENGINES - SLOW_ENGINES);
	}

	@Test
	void engineThatIsSlowForGoodGetsWorkInProportionToItsSpeed() {
		this.slowness = (engine, millis) -> (engine < SLOW_ENGINES) ? SLOWNESS : 1.0;
		play(10_000, 45);
		long sinceMillis = this.clock.millis();
		play(30_000, FULL_LOAD_PER_SECOND);
		double share = startsPerEngine(true, sinceMillis) / startsPerEngine(false, sinceMillis);
		assertThat(share).isBetween(0.5 / SLOWNESS, 1.25 / SLOWNESS);
	}

	@Test
	void requestAtASlowEngineStartsNoLaterThanItWouldAtAFastOne() {
		this.slowness = (engine, millis) -> (engine < SLOW_ENGINES) ? SLOWNESS : 1.0;
		play(10_000, 45);
		this.started.clear();
		play(40_000, 55);
		List<Request> atSlow = this.started.stream().filter((request) -> request.engine.slow()).toList();
		double actual = atSlow.stream()
			.mapToDouble((request) -> request.firstEventMillis - request.placedMillis)
			.average()
			.orElseThrow();
		double elsewhere = atSlow.stream().mapToDouble((request) -> request.fastStartMillis).average().orElseThrow();
		assertThat(actual).isLessThan(elsewhere + MAX_LATER_START_MILLIS);
	}

	@Test
	void differentEnginesThatAreSlowForSecondsDelayStartsLessIfTheirSpeedIsTold() {
		long told = lateStartMillisWithSlowThirds(true);
		long untold = new UnequalEnginesTests().lateStartMillisWithSlowThirds(false);
		assertThat(told).isLessThan(untold);
	}

	private long lateStartMillisWithSlowThirds(boolean told) {
		this.speedsTold = told;
		this.slowness = (engine, millis) -> ((engine + millis / 3_000) % 3 == 0) ? 2 + engine % 4 : 1.0;
		play(45_000, 40);
		return startMillis(0.9);
	}

	@Test
	void engineThatRecoversGetsWorkAgainWithinSeconds() {
		long recoveredMillis = this.clock.millis() + 12_000;
		this.slowness = (engine, millis) -> (engine < SLOW_ENGINES && millis < recoveredMillis) ? 4 : 1.0;
		play(18_000, 45);
		long sinceMillis = this.clock.millis();
		play(5_000, 45);
		assertThat(startsPerEngine(true, sinceMillis)).isGreaterThan(0.7 * startsPerEngine(false, sinceMillis));
	}

	private static final class Request {

		private final String id;

		private final long arrivedMillis;

		private Engine engine;

		private long placedMillis;

		private long firstEventMillis;

		/** Time to its first event at the best fast engine when it was placed. */
		private double fastStartMillis;

		private double tokens;

		private TrackedTarget target;

		private TrackedTarget.OutstandingRequest outstanding;

		Request(String id, long arrivedMillis) {
			this.id = id;
			this.arrivedMillis = arrivedMillis;
		}

	}

	/**
	 * An engine that prefills one prompt after the other, with its sidecar.
	 */
	private final class Engine {

		private final int number;

		private final AdmissionLedger ledger = AdmissionLedger.of(UnequalEnginesTests.this.clock);

		private final List<Request> running = new ArrayList<>();

		Engine(int number) {
			this.number = number;
			poll();
		}

		boolean slow() {
			return this.number < SLOW_ENGINES;
		}

		private double slowness() {
			return UnequalEnginesTests.this.slowness.apply(this.number, UnequalEnginesTests.this.clock.millis());
		}

		double startMillis() {
			double unread = this.running.stream()
				.mapToDouble((request) -> Math.max(0, PROMPT_TOKENS - request.tokens))
				.sum();
			return (unread + PROMPT_TOKENS) * slowness() / PREFILL_PER_MILLI;
		}

		void advance() {
			double prefill = STEP_MILLIS * PREFILL_PER_MILLI / slowness();
			for (Iterator<Request> requests = this.running.iterator(); requests.hasNext();) {
				Request request = requests.next();
				if (request.tokens < PROMPT_TOKENS) {
					double read = Math.min(prefill, PROMPT_TOKENS - request.tokens);
					request.tokens += read;
					prefill -= read;
					if (request.tokens >= PROMPT_TOKENS) {
						request.firstEventMillis = UnequalEnginesTests.this.clock.millis();
						request.outstanding.recordPrefillDone();
						UnequalEnginesTests.this.started.add(request);
					}
				}
				else {
					request.tokens += STEP_MILLIS / (8 * slowness());
					if (request.tokens >= PROMPT_TOKENS + OUTPUT_TOKENS) {
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
						.map((request) -> new EngineReport.ActiveRequest(request.id, Math.round(request.tokens),
								Math.max(0, (long) (request.tokens - PROMPT_TOKENS + 4) / 4)))
						.toList());
		}

		EngineLoad load() {
			EngineLoad load = this.ledger.load();
			return UnequalEnginesTests.this.speedsTold ? load : load.withSpeed(EngineSpeed.UNKNOWN);
		}

	}

	/**
	 * An entry host that places requests by the reports it has got.
	 */
	private final class Host {

		private final GenerationStatistics statistics = new GenerationStatistics();

		private final PlacementStrategy strategy = new PlacementStrategy.ForEngines(MEMORY_TOKENS, this.statistics,
				UnequalEnginesTests.this.random);

		private final Map<Engine, TrackedTarget> targets = new HashMap<>();

		Host() {
			InetSocketAddress address = new InetSocketAddress("10.0.0.1", 80);
			UnequalEnginesTests.this.engines.forEach((engine) -> {
				TargetRegistration registration = new TargetRegistration("e" + engine.number, "s", address, "dc", 24,
						false, 0, 1, 1);
				this.targets.put(engine,
						new TrackedTarget(UnequalEnginesTests.this.clock, new Target(registration, 0, true, false),
								RatePermitClient.Disabled.INSTANCE, UnequalEnginesTests.this.random));
				update(engine);
			});
		}

		void update(Engine engine) {
			this.targets.get(engine).updateLoad(engine.load());
		}

		boolean tryPlace(Request request) {
			PlacementStrategy.Demand demand = new PlacementStrategy.Demand(PROMPT_TOKENS, PROMPT_TOKENS + OUTPUT_TOKENS,
					"dc", 0, HOSTS, MAX_QUEUE_MILLIS, PlacementStrategy.Demand.NO_LIMIT, 0);
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
				Engine engine = UnequalEnginesTests.this.engines.get(candidates.indexOf(chosen.get()));
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
			request.fastStartMillis = UnequalEnginesTests.this.engines.stream()
				.filter((other) -> !other.slow())
				.mapToDouble(Engine::startMillis)
				.min()
				.orElseThrow();
			request.engine = engine;
			request.placedMillis = UnequalEnginesTests.this.clock.millis();
			request.target = target;
			request.outstanding = target.recordSend(PROMPT_TOKENS, PROMPT_TOKENS + OUTPUT_TOKENS);
			engine.running.add(request);
		}

	}

}
