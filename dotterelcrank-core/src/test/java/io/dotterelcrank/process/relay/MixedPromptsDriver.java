package io.dotterelcrank.process.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.prefill.GoalMix;
import io.dotterelcrank.process.prefill.PrefillBudget;

/**
 * Replays arrivals of prompts at several entry hosts on a manual clock, against ledgers
 * of engines that prefill in the order of arrival.
 */
final class MixedPromptsDriver {

	static final int STEP_MILLIS = 10;

	static final long TOKENS_PER_SECOND = 7_500;

	private static final int HOSTS = 8;

	private static final int POLL_MILLIS = 50;

	private static final int ENGINE_POLL_MILLIS = 60;

	private static final int REPORT_MILLIS = 100;

	private static final long MEMORY_TOKENS = 1_000_000;

	private final Clock.Manual clock = Clock.manual(100_000);

	private final Random random;

	/** Whether budgets follow the mix of goals. */
	private final boolean mixed;

	private final List<Engine> engines = new ArrayList<>();

	private final List<Host> hosts = new ArrayList<>();

	private final List<Prompt> done = new ArrayList<>();

	private int promptCount;

	private boolean reportsLost;

	MixedPromptsDriver(int engineCount, boolean mixed, long seed) {
		this.random = new Random(seed);
		this.mixed = mixed;
		for (int i = 0; i < engineCount; i++) {
			this.engines.add(new Engine(this.clock));
		}
		for (int i = 0; i < HOSTS; i++) {
			this.hosts.add(new Host(this.clock, engineCount));
		}
	}

	/**
	 * Lets prompts arrive for a time.
	 * @param millis length of the time
	 * @param shortPerSecond prompts of 2,550 tokens with a goal of 1,500 ms
	 * @param longPerSecond prompts of 2,000 to 6,000 tokens with a goal of 4,000 ms
	 */
	void run(long millis, double shortPerSecond, double longPerSecond) {
		for (long elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
			if (this.random.nextDouble() < shortPerSecond * STEP_MILLIS / 1_000) {
				arrive(2_550, 1_500);
			}
			if (this.random.nextDouble() < longPerSecond * STEP_MILLIS / 1_000) {
				arrive(2_000 + this.random.nextInt(4_000), 4_000);
			}
			step();
		}
	}

	/** Discards the loads and the mix that a host knows, and what waits there. */
	void restartHost(int index) {
		this.hosts.set(index, new Host(this.clock, this.engines.size()));
	}

	void loseReports(boolean lost) {
		this.reportsLost = lost;
	}

	void silenceSidecar(int engine, boolean silent) {
		this.engines.get(engine).sidecarSilent = silent;
	}

	long startedInTime(long goalMillis) {
		return this.done.stream()
			.filter((prompt) -> prompt.goalMillis == goalMillis && prompt.firstMillis <= goalMillis)
			.count();
	}

	/** Number of prompts with this goal that have produced their first event. */
	long arrived(long goalMillis) {
		return this.done.stream().filter((prompt) -> prompt.goalMillis == goalMillis).count();
	}

	/** Number of prompts that wait at a host or an engine. */
	int unfinished() {
		return this.hosts.stream().mapToInt((host) -> host.waiting.size()).sum()
				+ this.engines.stream().mapToInt((engine) -> engine.queue.size()).sum();
	}

	/**
	 * Times to the first event of prompts with this goal, in the order of these events.
	 */
	List<Long> firstEventMillis(long goalMillis) {
		return this.done.stream()
			.filter((prompt) -> prompt.goalMillis == goalMillis)
			.map((prompt) -> prompt.firstMillis)
			.toList();
	}

	/** Most tokens ahead of a prompt with this goal when its engine admitted it. */
	long maxTokensAhead(long goalMillis) {
		return this.done.stream()
			.filter((prompt) -> prompt.goalMillis == goalMillis)
			.mapToLong((prompt) -> prompt.tokensAhead)
			.max()
			.orElse(0);
	}

	private void arrive(long tokens, long goalMillis) {
		Host host = this.hosts.get(this.random.nextInt(HOSTS));
		this.promptCount++;
		Prompt prompt = new Prompt("p" + this.promptCount, tokens, goalMillis, this.clock.millis());
		host.mix.recordArrival(goalMillis);
		if (!tryPlace(host, prompt)) {
			host.waiting.add(prompt);
		}
	}

	private void step() {
		this.clock.advance(STEP_MILLIS);
		long now = this.clock.millis();
		for (Engine engine : this.engines) {
			engine.prefill(now, this.done);
			if (now % ENGINE_POLL_MILLIS < STEP_MILLIS) {
				engine.report();
			}
		}
		if (now % REPORT_MILLIS == 0 && !this.reportsLost) {
			this.hosts.forEach((host) -> host.updateLoads(this.engines));
		}
		if (now % POLL_MILLIS == 0) {
			this.hosts.forEach((host) -> host.waiting.removeIf((prompt) -> tryPlace(host, prompt)));
		}
	}

	private boolean tryPlace(Host host, Prompt prompt) {
		PrefillBudget budget = PrefillBudget.of(this.mixed ? host.mix.shortestGoalMillis() : GoalMix.NO_GOAL);
		long maxTokens = TOKENS_PER_SECOND
				* budget.maxQueueMillis(new PrefillBudget.Prompt(1_000 * prompt.tokens / TOKENS_PER_SECOND,
						prompt.goalMillis, this.clock.millis() - prompt.arrivedMillis))
				/ 1_000;
		for (int attempt = 0; attempt <= AdmissionRequester.MAX_REFUSALS; attempt++) {
			int chosen = host.leastLoaded();
			Engine engine = this.engines.get(chosen);
			if (host.knownTokens[chosen] > maxTokens) {
				return false;
			}
			if (engine.sidecarSilent || engine.ledger.tryAdmit(new Message.AdmissionRequest(1, prompt.id, prompt.tokens,
					prompt.tokens + 10, host.knownTokens[chosen], maxTokens, 0))) {
				engine.send(prompt);
				host.knownTokens[chosen] += prompt.tokens;
				return true;
			}
			host.knownTokens[chosen] = engine.ledger.load().unreadTokens();
		}
		return false;
	}

	private static final class Host {

		private final List<Prompt> waiting = new ArrayList<>();

		private final GoalMix mix;

		private final long[] knownTokens;

		Host(Clock clock, int engineCount) {
			this.mix = GoalMix.of(clock);
			this.knownTokens = new long[engineCount];
		}

		private void updateLoads(List<Engine> engines) {
			Arrays.setAll(this.knownTokens, (i) -> engines.get(i).sidecarSilent ? this.knownTokens[i]
					: engines.get(i).ledger.load().unreadTokens());
		}

		private int leastLoaded() {
			int best = 0;
			for (int i = 1; i < this.knownTokens.length; i++) {
				best = (this.knownTokens[i] < this.knownTokens[best]) ? i : best;
			}
			return best;
		}

	}

	private static final class Engine {

		private final AdmissionLedger ledger;

		private final Deque<Prompt> queue = new ArrayDeque<>();

		private final Set<String> started = new HashSet<>();

		private boolean sidecarSilent;

		Engine(Clock clock) {
			this.ledger = AdmissionLedger.of(clock);
			report();
		}

		private void send(Prompt prompt) {
			prompt.tokensAhead = this.queue.stream().mapToLong((other) -> other.tokens - other.read).sum();
			this.queue.add(prompt);
		}

		private void prefill(long nowMillis, List<Prompt> done) {
			long tokens = TOKENS_PER_SECOND * STEP_MILLIS / 1_000;
			while (tokens > 0 && !this.queue.isEmpty()) {
				Prompt first = this.queue.peek();
				long read = Math.min(tokens, first.tokens - first.read);
				first.read += read;
				tokens -= read;
				if (first.read == first.tokens) {
					this.queue.remove();
					first.firstMillis = nowMillis - first.arrivedMillis;
					this.started.add(first.id);
					done.add(first);
				}
			}
		}

		private void report() {
			List<EngineReport.ActiveRequest> active = new ArrayList<>();
			this.queue.stream()
				.limit(1)
				.forEach((first) -> active.add(new EngineReport.ActiveRequest(first.id, first.read, 0)));
			this.started.stream()
				.sorted(Comparator.naturalOrder())
				.forEach((id) -> active.add(new EngineReport.ActiveRequest(id, 1, 1)));
			this.started.clear();
			this.ledger.updateLoad(new EngineLoad("e", "s", "dc", "10.0.0.1:80", 1, active.size(),
					Math.max(0, this.queue.size() - 1), 0, 0, MEMORY_TOKENS, false, -1, 0), active);
		}

	}

	private static final class Prompt {

		private final String id;

		private final long tokens;

		private final long goalMillis;

		private final long arrivedMillis;

		private long read;

		private long tokensAhead;

		private long firstMillis;

		Prompt(String id, long tokens, long goalMillis, long arrivedMillis) {
			this.id = id;
			this.tokens = tokens;
			this.goalMillis = goalMillis;
			this.arrivedMillis = arrivedMillis;
		}

	}

}
