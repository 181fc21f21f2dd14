package io.dotterelcrank.process.relay;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.RendezvousHash;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.limit.RequestLimit;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.GenerationTraits;
import io.dotterelcrank.version.plan.CallerLimits;
import io.dotterelcrank.version.plan.RequestKind;
import io.dotterelcrank.version.plan.Route;
import io.dotterelcrank.version.plan.ServiceSpec;
import io.dotterelcrank.version.plan.ServingPlan;
import io.dotterelcrank.version.plan.Workspace;

/**
 * Entry hosts, modelled targets and callers on one clock, with the delays of real
 * processes: responses that cross timeouts, connections that close late, lists that are
 * old, and a clock that goes on within a task. Confined to one thread.
 */
final class AdverseFleet {

	/** Service of the engines. */
	static final String ENGINES = "bench";

	/** Time between two steps, in milliseconds. */
	static final int STEP_MILLIS = 5;

	private static final String PLAIN = "desk";

	private static final List<Route> ROUTES = List.of(
			route("/notes/", RequestKind.STREAMING, 12_000, 1_800, ENGINES, 1),
			route("/embed/", RequestKind.NON_IDEMPOTENT, 3_000, 600, ENGINES, 1),
			route("/score/", RequestKind.IDEMPOTENT, 3_000, 600, ENGINES, 3),
			route("/order/", RequestKind.NON_IDEMPOTENT, 1_200, 300, PLAIN, 1),
			route("/lookup/", RequestKind.IDEMPOTENT, 1_200, 300, PLAIN, 3));

	/** Min time between two moments at which the clock goes on within a task. */
	private static final long TICK_MILLIS = 15;

	/** Time between two looks for forgotten requests, in milliseconds. */
	private static final long CHECK_MILLIS = 25;

	/** Time after the last request until all targets have come to rest. */
	private static final long REST_MILLIS = 20_000;

	private final Random random;

	private final Clock.Manual manualClock = Clock.manual(100_000);

	private final Scheduler.Manual scheduler = Scheduler.manual(this.manualClock);

	private final ExecutionLedger ledger = new ExecutionLedger();

	private final List<AdverseHost> hosts = new ArrayList<>();

	private final List<AdverseTarget> targets = new ArrayList<>();

	/** Whether the clock may go on within a task. */
	private final boolean clockTicks;

	/** When the clock may next go on within a task. */
	private long nextTickMillis;

	/** Whether sidecars report loads and admit generations. */
	private final boolean withSidecars;

	private final double requestsPerSecond;

	private final ServingPlan plan;

	private long nextCheckMillis;

	private int requestCount;

	private int copyCount;

	/** Number of calls for a copy without an answer, by generation. */
	private final Map<String, Integer> openCopyCalls = new HashMap<>();

	AdverseFleet(long seed) {
		this.random = new Random(RendezvousHash.hash("twice" + seed));
		this.clockTicks = this.random.nextBoolean();
		this.withSidecars = this.random.nextInt(3) > 0;
		this.requestsPerSecond = 10 + this.random.nextInt(100);
		this.plan = plan(4 + this.random.nextInt(60));
		int engineCount = 2 + this.random.nextInt(4);
		int count = engineCount + 1 + this.random.nextInt(4);
		for (int i = 0; i < count; i++) {
			AdverseTarget.Closing closing = oneIn(3) ? AdverseTarget.Closing.LATE
					: oneIn(5) ? AdverseTarget.Closing.NEVER : AdverseTarget.Closing.PROMPT;
			this.targets.add(new AdverseTarget(this, (i < engineCount) ? ENGINES : PLAIN, i, closing));
		}
		this.targets.forEach((target) -> target.start(false));
		int hostCount = 1 + this.random.nextInt(3);
		for (int i = 0; i < hostCount; i++) {
			this.hosts.add(new AdverseHost(this));
		}
		this.hosts.forEach(AdverseHost::start);
		relist();
	}

	private static ServingPlan plan(int plainConnections) {
		ServiceSpec engines = new ServiceSpec(ENGINES, 242, 0,
				Optional.of(new ServiceSpec.EngineSpec(24, RelayFixture.MEMORY_TOKENS, true, true, 0, 4)));
		ServiceSpec plain = new ServiceSpec(PLAIN, plainConnections, 0, Optional.empty());
		return ServingPlan.of(1, ROUTES, List.of(engines, plain),
				List.of(new Workspace("shop", List.of("key"), OptionalInt.of(3))), CallerLimits.INITIAL);
	}

	private static Route route(String prefix, RequestKind kind, long timeoutMillis, long latencyGoalMillis,
			String service, int maxAttempts) {
		return new Route(prefix, "a.example", prefix, kind, timeoutMillis, latencyGoalMillis, 1,
				List.of(new Route.WeightedService(service, 1)), maxAttempts, false, 100, kind == RequestKind.STREAMING);
	}

	/**
	 * Plays requests and disturbances, and lets all targets come to rest.
	 * @param millis duration of the requests, in milliseconds
	 * @return broken promises, none if all were kept
	 */
	List<String> play(long millis) {
		long endMillis = now() + millis;
		while (now() < endMillis) {
			double expected = this.requestsPerSecond * STEP_MILLIS / 1_000;
			int arrivals = oneIn(2_000) ? 260 : (int) (expected + this.random.nextDouble());
			AdverseHost host = this.hosts.get(this.random.nextInt(this.hosts.size()));
			for (int i = 0; i < arrivals; i++) {
				accept((arrivals > 20) ? host : this.hosts.get(this.random.nextInt(this.hosts.size())));
			}
			disturb();
			step(STEP_MILLIS);
		}
		for (int i = 0; i < REST_MILLIS / CHECK_MILLIS; i++) {
			step(CHECK_MILLIS);
		}
		return this.ledger.judge(now());
	}

	private void step(long millis) {
		this.scheduler.advance(millis);
		if (now() >= this.nextCheckMillis) {
			this.nextCheckMillis = now() + CHECK_MILLIS;
			this.hosts.forEach(AdverseHost::check);
		}
	}

	private void disturb() {
		AdverseTarget target = this.targets.get(this.random.nextInt(this.targets.size()));
		switch (between(0, 1_000)) {
			case 0, 1 -> {
				target.die();
				this.scheduler.schedule(between(0, 3_000), () -> {
					target.start(oneIn(2));
					relist();
				});
			}
			case 2, 3, 4 -> {
				target.drain();
				relist();
				this.scheduler.schedule(between(500, 4_000), () -> {
					target.die();
					target.start(oneIn(3));
					relist();
				});
			}
			case 5 -> target.setLimit(oneIn(2) ? RequestLimit.NONE : RequestLimit.of(between(1, 12)));
			case 6 -> this.hosts.get(this.random.nextInt(this.hosts.size())).stopAndReplace();
			case 7 -> relist();
			default -> {
				// Most steps are calm.
			}
		}
	}

	/**
	 * Tells all hosts, each with a delay of its own, which targets there are.
	 */
	void relist() {
		List<Target> listing = listing();
		this.hosts.forEach((host) -> host.list(listing));
	}

	List<Target> listing() {
		return this.targets.stream().filter((target) -> target.up() || oneIn(2)).map((target) -> {
			boolean listed = !oneIn(20);
			return target.listing(listed);
		}).toList();
	}

	private void accept(AdverseHost host) {
		Route route = ROUTES.get(this.random.nextInt(ROUTES.size()));
		this.requestCount++;
		String id = "attempt-" + this.requestCount;
		boolean engine = route.services().get(0).service().equals(ENGINES);
		Optional<GenerationTraits> traits = engine
				? Optional
					.of(new GenerationTraits(500 + this.random.nextInt(3_000), 900, OptionalLong.empty(), List.of()))
				: Optional.empty();
		long deadlineMillis = oneIn(4) ? between(100, 1_500) : between(1_000, 14_000);
		CallerRequest request = new CallerRequest(id, "POST", "a.example", route.pathPrefix() + "1", List.of(),
				id.getBytes(StandardCharsets.UTF_8), Optional.of("key"), traits, callerHas(id), deadlineMillis, now());
		JudgedCaller caller = new JudgedCaller(clock(), id, route.kind(),
				now() + Math.min(deadlineMillis, route.timeoutMillis()), totalEvents(id),
				(route.kind() == RequestKind.STREAMING) ? (int) callerHas(id).orElse(0) : 0);
		this.ledger.add(caller);
		RelayedRequest relayed = host.accept(request, caller);
		if (oneIn(12)) {
			this.scheduler.schedule(between(0, 2_500), () -> {
				caller.leave();
				relayed.callerDisconnected();
			});
		}
		if (oneIn(15)) {
			pauseReading(caller, relayed);
		}
	}

	private void pauseReading(JudgedCaller caller, RelayedRequest relayed) {
		this.scheduler.schedule(between(100, 2_000), () -> caller.setWritable(false));
		this.scheduler.schedule(between(2_000, 3_000), () -> {
			caller.setWritable(true);
			if (!caller.gone()) {
				relayed.callerWritabilityChanged(true);
			}
		});
	}

	/**
	 * Copies a KV cache as an engine would: the response may be late or lost although the
	 * copy was made.
	 */
	void copyKv(TargetClient.CopyRequest request, Consumer<TargetClient.CopyResult> caller) {
		this.copyCount++;
		String handle = "h" + this.copyCount;
		this.openCopyCalls.merge(request.attemptId(), 1, Integer::sum);
		Consumer<TargetClient.CopyResult> listener = (result) -> {
			this.openCopyCalls.merge(request.attemptId(), -1, Integer::sum);
			caller.accept(result);
		};
		long copyMillis = oneIn(5) ? between(300, 2_900) : between(5, 200);
		int outcome = between(0, 10);
		this.scheduler.schedule(linkMillis(), () -> {
			if (targetAt(request.source().address()).isEmpty() || oneIn(20)) {
				listener.accept(failed(TargetClient.CopyOutcome.UNREACHABLE));
				return;
			}
			boolean stopped = request.stopsFirst() && outcome > 0
					&& target(request.source()).map((source) -> source.stopGeneration(request.attemptId()))
						.orElse(false);
			this.scheduler.schedule(copyMillis, () -> answerCopy(request, handle, outcome, stopped, listener));
		});
	}

	/**
	 * Answers a call for a copy once the copy is made or refused.
	 * @param request the call
	 * @param handle name of the copy
	 * @param outcome what happens, drawn when the call was made
	 * @param stopped whether the generation was stopped for the copy
	 * @param listener told of the result
	 */
	private void answerCopy(TargetClient.CopyRequest request, String handle, int outcome, boolean stopped,
			Consumer<TargetClient.CopyResult> listener) {
		boolean copied = outcome > 2
				&& target(request.source()).map((source) -> source.copy(request.attemptId(), request.holder(), handle))
					.orElse(false);
		boolean unknown = request.stopsFirst() && !stopped;
		TargetClient.CopyResult result = switch (outcome) {
			case 0 -> failed(TargetClient.CopyOutcome.BUSY);
			case 1 -> failed(unknown ? TargetClient.CopyOutcome.UNKNOWN_RUN : TargetClient.CopyOutcome.NO_ROOM);
			default ->
				(copied && !unknown) ? new TargetClient.CopyResult(TargetClient.CopyOutcome.COPIED, Optional.of(handle))
						: failed(TargetClient.CopyOutcome.UNKNOWN_RUN);
		};
		boolean lost = outcome == 3;
		this.scheduler.schedule(lost ? 1_000 : linkMillis(),
				() -> listener.accept(lost ? failed(TargetClient.CopyOutcome.UNANSWERED) : result));
	}

	boolean awaitsCopy(String attemptId) {
		return this.openCopyCalls.getOrDefault(attemptId, 0) > 0;
	}

	private static TargetClient.CopyResult failed(TargetClient.CopyOutcome outcome) {
		return new TargetClient.CopyResult(outcome, Optional.empty());
	}

	Optional<AdverseTarget> target(TargetRegistration registration) {
		return this.targets.stream().filter((target) -> target.is(registration)).findFirst();
	}

	Optional<AdverseTarget> targetAt(InetSocketAddress address) {
		return this.targets.stream().filter((target) -> target.up() && target.address().equals(address)).findFirst();
	}

	Optional<AdverseTarget> engineAt(String address) {
		return this.targets.stream()
			.filter((target) -> target.up() && target.engine()
					&& (target.address().getAddress().getHostAddress() + ":80").equals(address))
			.findFirst();
	}

	List<AdverseTarget> engines() {
		return this.targets.stream().filter((target) -> target.up() && target.engine()).toList();
	}

	/**
	 * Returns the clock that hosts read. It may go on between two reads of a task.
	 */
	Clock clock() {
		return () -> {
			if (this.clockTicks && now() >= this.nextTickMillis && this.random.nextInt(50) == 0) {
				this.manualClock.advance(1);
				this.nextTickMillis = now() + TICK_MILLIS;
			}
			return this.manualClock.millis();
		};
	}

	long now() {
		return this.manualClock.millis();
	}

	Scheduler scheduler() {
		return this.scheduler;
	}

	ExecutionLedger ledger() {
		return this.ledger;
	}

	List<AdverseHost> hosts() {
		return this.hosts;
	}

	ServingPlan plan() {
		return this.plan;
	}

	boolean withSidecars() {
		return this.withSidecars;
	}

	/**
	 * Returns the time that a message takes, mostly little, at times very long.
	 */
	long linkMillis() {
		int kind = this.random.nextInt(100);
		return (kind < 88) ? between(0, 4) : (kind < 98) ? between(5, 60) : between(60, 600);
	}

	long nextLong() {
		return this.random.nextLong();
	}

	/**
	 * Returns a random number.
	 * @param from smallest number
	 * @param to bound, which is not returned
	 */
	int between(int from, int to) {
		return from + this.random.nextInt(to - from);
	}

	boolean oneIn(int number) {
		return this.random.nextInt(number) == 0;
	}

	boolean chance(double probability) {
		return this.random.nextDouble() < probability;
	}

	/**
	 * Returns the length of a stream.
	 * @param id id of the request
	 */
	static int totalEvents(String id) {
		return 5 + Math.floorMod(id.hashCode() * 31, 120);
	}

	/**
	 * Returns which event the caller of a stream has last from an earlier response.
	 * @param id id of the request
	 * @return id of the event; empty for callers that resume no stream
	 */
	static OptionalLong callerHas(String id) {
		int draw = Math.floorMod(id.hashCode() * 17, 4);
		return (draw == 0) ? OptionalLong.of(1 + Math.floorMod(id.hashCode() * 13, totalEvents(id) - 1))
				: OptionalLong.empty();
	}

}
