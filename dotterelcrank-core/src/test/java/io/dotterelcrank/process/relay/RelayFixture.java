package io.dotterelcrank.process.relay;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.simple.RandomSource;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.rollout.RolloutClient;
import io.dotterelcrank.process.rollout.RolloutDecision;
import io.dotterelcrank.process.rollout.RolloutOrder;
import io.dotterelcrank.process.rollout.RolloutSettings;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.GenerationTraits;
import io.dotterelcrank.version.plan.CallerLimits;
import io.dotterelcrank.version.plan.RequestKind;
import io.dotterelcrank.version.plan.Route;
import io.dotterelcrank.version.plan.ServiceSpec;
import io.dotterelcrank.version.plan.ServingPlan;
import io.dotterelcrank.version.plan.Workspace;

/**
 * A relay service on a manual clock, with three engines and two targets of a plain
 * service.
 */
final class RelayFixture {

	/** Time within which a configuration must be in force, in milliseconds. */
	static final long CONFIG_MILLIS = 2_000;

	/** KV cache memory of each engine, in tokens. */
	static final long MEMORY_TOKENS = 34_000;

	private final Clock.Manual clock = Clock.manual(100_000);

	private final Scheduler.Manual scheduler = Scheduler.manual(this.clock);

	private final RecordingTargetClient targetClient = new RecordingTargetClient();

	/** Not linked to any sidecar at first. */
	private final RecordingAdmissionClient admissionClient = new RecordingAdmissionClient();

	private final List<Target> targetList = new ArrayList<>();

	private final RecordingLoadReader loadReader = new RecordingLoadReader();

	/** Services for which a retry permit was requested, in order. */
	private final List<String> retryLoanRequests = new ArrayList<>();

	/** Evidence sent to other hosts, in order. */
	private final List<Message.CrashEvidence> crashEvidence = new ArrayList<>();

	/** Run by each send of evidence. */
	private Runnable crashEvidenceDefect = () -> {
	};

	/** Evidence of roll-outs sent to other hosts, in order. */
	private final List<Message.RolloutEvidence> rolloutEvidence = new ArrayList<>();

	private final MetricRegistry metrics = new MetricRegistry();

	private final RelayService relayService;

	/** Number of requests accepted so far. */
	private int requestCount;

	RelayFixture() {
		this(true, true, true);
	}

	private RelayFixture(boolean withPlan, boolean withTargets, boolean withLoadReports) {
		this(withPlan, withTargets, withLoadReports, RolloutSettings.DISABLED, false);
	}

	private RelayFixture(boolean withPlan, boolean withTargets, boolean withLoadReports, RolloutSettings rollouts,
			boolean yieldsToShorterGoals) {
		this.relayService = RelayService.of(this.clock, this.scheduler,
				RelayClients.of(this.targetClient)
					.withAdmission(this.admissionClient)
					.withEngineLoads(this.loadReader)
					.withRetryLoans(this.retryLoanRequests::add)
					.withCrashEvidence((evidence, hosts) -> {
						this.crashEvidenceDefect.run();
						this.crashEvidence.add(evidence);
					})
					.withRollouts(new RecordingRolloutClient()),
				new RelaySettings("giza", 0.2, 54, 10_000, CONFIG_MILLIS, 8_000, "h", rollouts, yieldsToShorterGoals,
						true),
				RandomSource.XO_RO_SHI_RO_128_PP.create(5), this.metrics);
		if (withPlan) {
			this.relayService.updatePlan(plan(1));
		}
		this.relayService.updatePlanAge(0);
		this.relayService.start();
		if (!withTargets) {
			return;
		}
		listTarget("e1", "bench", false);
		listTarget("e2", "bench", false);
		listTarget("e3", "bench", false);
		if (withLoadReports) {
			reportLoad("e1", 0, 0);
			reportLoad("e2", 0, 0);
			reportLoad("e3", 0, 0);
		}
		listTarget("p1", "desk", false);
		listTarget("p2", "desk", false);
	}

	static RelayFixture withoutTargets() {
		return new RelayFixture(true, false, false);
	}

	/**
	 * Creates a fixture without targets whose deployment has roll-outs.
	 */
	static RelayFixture withRollouts() {
		return new RelayFixture(true, false, false, new RolloutSettings(0.1, 50, 5_000), false);
	}

	/**
	 * Creates a fixture in which generations yield to those with a shorter goal.
	 */
	static RelayFixture yieldingToShorterGoals() {
		return new RelayFixture(true, true, true, RolloutSettings.DISABLED, true);
	}

	static RelayFixture withoutPlan() {
		return new RelayFixture(false, true, true);
	}

	/**
	 * Creates a fixture without sidecars, so that no engine reports its load.
	 */
	static RelayFixture withoutSidecars() {
		return new RelayFixture(true, true, false);
	}

	static ServingPlan plan(long version) {
		ServiceSpec bench = new ServiceSpec("bench", 242, 36,
				Optional.of(new ServiceSpec.EngineSpec(24, MEMORY_TOKENS, true, true, 0, 4)));
		ServiceSpec desk = new ServiceSpec("desk", 100, 0, Optional.empty());
		return ServingPlan.of(version,
				List.of(route("/notes/", RequestKind.STREAMING, 39_000, 1_800, "bench", 1),
						route("/summary/", RequestKind.STREAMING, 39_000, 4_000, "bench", 1),
						route("/order/", RequestKind.NON_IDEMPOTENT, 800, 300, "desk", 1),
						route("/deposit/", RequestKind.NON_IDEMPOTENT, 6_000, 300, "desk", 1),
						route("/lookup/", RequestKind.IDEMPOTENT, 800, 300, "desk", 2)),
				List.of(bench, desk), List.of(new Workspace("shop", List.of("key"), OptionalInt.of(3))),
				CallerLimits.INITIAL);
	}

	private static Route route(String prefix, RequestKind kind, long timeoutMillis, long latencyGoalMillis,
			String service, int maxAttempts) {
		return new Route(prefix, "a.example", prefix, kind, timeoutMillis, latencyGoalMillis, 1,
				List.of(new Route.WeightedService(service, 1)), maxAttempts, false, 180, prefix.equals("/notes/"));
	}

	void listTarget(String id, String serviceName, boolean leaving) {
		listTarget(id, serviceName, leaving, 1, false);
	}

	void listTarget(String id, String serviceName, boolean leaving, long bornMillis, boolean dataCentreOut) {
		this.targetList.removeIf((target) -> target.registration().id().equals(id));
		int host = Math.floorMod(id.hashCode(), 250);
		this.targetList
			.add(new Target(new TargetRegistration(id, serviceName, new InetSocketAddress("10.0.0." + host, 80), "giza",
					24, leaving, 0, bornMillis, 1), 0, true, dataCentreOut));
		updateTargets();
	}

	/**
	 * Passes on the list of targets, and runs the poll that follows a change.
	 */
	private void updateTargets() {
		this.relayService.updateTargets(this.targetList);
		this.scheduler.runDue();
	}

	void listTarget(String id, String serviceName, String version) {
		this.targetList.removeIf((target) -> target.registration().id().equals(id));
		int host = Math.floorMod(id.hashCode(), 250);
		this.targetList.add(new Target(new TargetRegistration(id, serviceName,
				new InetSocketAddress("10.0.0." + host, 80), "giza", 24, false, 0, 1, 1, version), 0, true, false));
		updateTargets();
		if (serviceName.equals("bench")) {
			reportLoad(id, 0, 0);
		}
	}

	/**
	 * Passes an order and the decision on it, if any, to the relay service.
	 */
	void rollOut(RolloutOrder order, RolloutDecision.Stage stage) {
		List<RolloutDecision> decisions = (stage != null)
				? List.of(new RolloutDecision(order.service(), order.version(), order.offset(), stage, "test"))
				: List.of();
		this.relayService.rolloutGate()
			.update(new RolloutView(List.of("h", "i"), 0, List.of(order), List.of(), decisions));
		updateTargets();
	}

	/**
	 * Makes each send of evidence of crashes fail.
	 */
	void failCrashEvidence(Supplier<Error> errors) {
		this.crashEvidenceDefect = () -> {
			throw errors.get();
		};
	}

	List<Message.RolloutEvidence> rolloutEvidence() {
		return this.rolloutEvidence;
	}

	long counter(String name) {
		return this.metrics.counter(name).getCount();
	}

	boolean mayGetRequests(TargetRegistration registration) {
		return this.targetList.stream()
			.anyMatch((target) -> target.registration().equals(registration) && target.acceptsNewWork());
	}

	void removeTarget(String id) {
		this.targetList.removeIf((target) -> target.registration().id().equals(id));
		updateTargets();
	}

	void reportLoad(String id, int running, long memoryUsed) {
		reportLoad(id, running, memoryUsed, 0);
	}

	void reportLoad(String id, int running, long memoryUsed, long pendingPrefillTokens) {
		TargetRegistration registration = this.targetList.stream()
			.map(Target::registration)
			.filter((candidate) -> candidate.id().equals(id))
			.findFirst()
			.orElseThrow();
		this.relayService.updateLoad(new EngineLoad(id, "bench", "giza",
				registration.address().getAddress().getHostAddress() + ":80", registration.bornMillis(), running, 0,
				pendingPrefillTokens, memoryUsed, MEMORY_TOKENS, false, -1, 0));
	}

	String engineAddress(String id) {
		return "10.0.0." + Math.floorMod(id.hashCode(), 250) + ":80";
	}

	RelayedRequest accept(String path, RecordingCallerChannel caller) {
		return accept(path, "key", caller);
	}

	RelayedRequest accept(String path, String key, RecordingCallerChannel caller) {
		return accept(path, key, OptionalLong.empty(), caller);
	}

	/**
	 * Accepts a request of a caller that resumes a stream.
	 */
	RelayedRequest acceptResumed(String path, long lastEventId, RecordingCallerChannel caller) {
		return accept(path, "key", OptionalLong.of(lastEventId), caller);
	}

	private RelayedRequest accept(String path, String key, OptionalLong lastEventId, RecordingCallerChannel caller) {
		boolean generation = path.startsWith("/notes/") || path.startsWith("/summary/");
		Optional<GenerationTraits> traits = generation
				? Optional.of(new GenerationTraits(3_000, 900, OptionalLong.empty(), List.of())) : Optional.empty();
		this.requestCount++;
		return this.relayService
			.accept(new CallerRequest("attempt-" + this.requestCount, "POST", "a.example", path, List.of(), new byte[0],
					Optional.ofNullable(key), traits, lastEventId, generation ? 39_000 : 1_500, this.clock.millis()),
					caller);
	}

	RelayedRequest acceptCall(String path, long deadlineMillis, RecordingCallerChannel caller) {
		this.requestCount++;
		return this.relayService
			.accept(new CallerRequest("attempt-" + this.requestCount, "POST", "a.example", path, List.of(), new byte[0],
					Optional.of("key"), Optional.empty(), OptionalLong.empty(), deadlineMillis, this.clock.millis()),
					caller);
	}

	RelayedRequest acceptGeneration(List<String> sharedParts, RecordingCallerChannel caller) {
		return acceptGeneration(new GenerationTraits(100, 100, OptionalLong.empty(), sharedParts), caller);
	}

	RelayedRequest acceptGeneration(GenerationTraits traits, RecordingCallerChannel caller) {
		this.requestCount++;
		return this.relayService.accept(new CallerRequest("attempt-" + this.requestCount, "POST", "a.example",
				"/notes/1", List.of(), ("prompt " + this.requestCount).getBytes(StandardCharsets.UTF_8),
				Optional.of("key"), Optional.of(traits), OptionalLong.empty(), 39_000, now()), caller);
	}

	long now() {
		return this.clock.millis();
	}

	/**
	 * Lets time pass in which the traffic thread runs nothing.
	 */
	void holdThread(long millis) {
		this.clock.advance(millis);
	}

	void advance(long millis) {
		this.scheduler.advance(millis);
	}

	/**
	 * Returns the clock, to let time pass in which no task runs.
	 */
	Clock.Manual clock() {
		return this.clock;
	}

	RecordingTargetClient targetClient() {
		return this.targetClient;
	}

	RecordingLoadReader loadReader() {
		return this.loadReader;
	}

	List<String> retryLoanRequests() {
		return this.retryLoanRequests;
	}

	List<Message.CrashEvidence> crashEvidence() {
		return this.crashEvidence;
	}

	RecordingAdmissionClient admissionClient() {
		return this.admissionClient;
	}

	RelayService relayService() {
		return this.relayService;
	}

	/**
	 * Records evidence.
	 */
	private final class RecordingRolloutClient implements RolloutClient {

		@Override
		public void send(String host, Message.RolloutEvidence evidence) {
			RelayFixture.this.rolloutEvidence.add(evidence);
		}

		@Override
		public void propose(RolloutDecision decision) {
			// The test makes the decisions.
		}

	}

}
