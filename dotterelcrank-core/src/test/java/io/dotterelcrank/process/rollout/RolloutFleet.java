package io.dotterelcrank.process.rollout;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.rollout.RolloutDecision.Stage;

/**
 * Hosts, targets and a store in virtual time, around the classes under test. Counts what
 * operators are promised, by itself.
 */
final class RolloutFleet {

	static final RolloutSettings SETTINGS = new RolloutSettings(0.1, 50, 5_000);

	static final int DATA_CENTRES = 4;

	private static final String SERVICE = "service";

	private static final long TICK_MILLIS = 10;

	private static final long CONTACT_MILLIS = 4_000;

	private static final long AFTER_MILLIS = 12_000;

	private static final double[] ROUTE_SHARES = { 0.5, 0.3, 0.18, 0.02 };

	private static final double[] ROUTE_MILLIS = { 40, 120, 60, 200 };

	final Clock.Manual clock = Clock.manual(1_000_000);

	final UniformRandomProvider random;

	final Scenario scenario;

	final List<SimulatedHost> hosts = new ArrayList<>();

	final List<SimulatedTarget> targets = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::millis).thenComparingLong(Event::sequence));

	private final RolloutDecider.TestFactory tests;

	private long sequence;

	private long listVersion;

	private RolloutDecision decision;

	private int decisionVersion;

	private RolloutOrder order;

	private long orderMillis;

	private long decidedMillis;

	private long storeAwayUntil;

	private double rateFactor = 1;

	private double slowFactor = 1;

	private double lossRate = 0.005;

	private long maxDelayMillis = 20;

	private final double badShare;

	private final double slowdown;

	private final long laterMillis;

	private final int badRoute;

	private long serviceRequests;

	private long exposed;

	private int badAnswers;

	private long fiftiethMillis = Long.MAX_VALUE / 2;

	private int lateSends;

	private int cutOff;

	private int sentBeforeTrial;

	private int refused;

	private int requests;

	private boolean clockLost;

	RolloutFleet(Scenario scenario, RolloutDecider.TestFactory tests) {
		this.scenario = scenario;
		this.tests = tests;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed());
		this.badShare = 0.2 + 0.4 * this.random.nextDouble();
		this.slowdown = 4 + 4 * this.random.nextDouble();
		this.laterMillis = (long) (0.85 * scenario.durationMillis() * this.random.nextDouble());
		this.badRoute = this.random.nextInt(3);
		for (int i = 0; i < scenario.hosts(); i++) {
			this.hosts.add(new SimulatedHost("h" + i, i % DATA_CENTRES));
		}
		for (int i = 0; i < scenario.oldTargets(); i++) {
			this.targets.add(new SimulatedTarget("v1", i % DATA_CENTRES));
		}
	}

	Result run() {
		long startMillis = this.clock.millis();
		if (this.scenario.disturbed()) {
			disturb();
		}
		at(3_000, this::order);
		at(3_200 + this.random.nextInt(1_500), () -> {
			for (int i = 0; i < this.scenario.oldTargets(); i++) {
				this.targets.add(new SimulatedTarget("v2", i % DATA_CENTRES));
			}
			this.listVersion++;
		});
		long endMillis = startMillis + 3_000 + this.scenario.durationMillis() + AFTER_MILLIS;
		for (long tick = 0; this.clock.millis() < endMillis; tick++) {
			while (!this.events.isEmpty() && this.events.peek().millis() <= this.clock.millis()) {
				this.events.poll().action().run();
			}
			tick(tick);
			this.clock.advance(TICK_MILLIS);
		}
		return result();
	}

	private void order() {
		this.order = new RolloutOrder(SERVICE, "v2", this.scenario.durationMillis(), 7);
		this.orderMillis = this.clock.millis();
	}

	private boolean beforeDeadline() {
		return this.order != null && this.clock.millis() < this.orderMillis + this.scenario.durationMillis();
	}

	private Result result() {
		boolean bad = this.scenario.fault() != Fault.NONE;
		boolean exposedTooMuch = bad
				&& this.exposed > SETTINGS.exposedShare() * this.serviceRequests + SETTINGS.exposedSlack();
		Stage stage = (this.decision != null) ? this.decision.stage() : null;
		return new Result(stage, this.decidedMillis - this.orderMillis, exposedTooMuch, bad ? this.lateSends : 0,
				this.cutOff, this.sentBeforeTrial, this.refused, this.requests, this.exposed, this.serviceRequests,
				this.clockLost, (this.decision != null) ? this.decision.reason() : "");
	}

	private void at(long delayMillis, Runnable action) {
		this.events.add(new Event(this.clock.millis() + delayMillis, this.sequence++, action));
	}

	private void tick(long tick) {
		for (int i = 0; i < this.hosts.size(); i++) {
			SimulatedHost host = this.hosts.get(i);
			if (host.runs() && (tick + i) % 5 == 0) {
				if ((tick + i) % 10 == 0) {
					host.readStore();
				}
				host.poll();
			}
		}
		double mean = this.scenario.requestsPerSecond() * this.rateFactor * TICK_MILLIS / 1_000;
		for (double sum = -Math.log(this.random.nextDouble()); sum < mean; sum -= Math.log(this.random.nextDouble())) {
			SimulatedHost host = this.hosts.get(this.random.nextInt(this.hosts.size()));
			if (host.runs()) {
				host.serve();
			}
		}
	}

	private void disturb() {
		long length = 3_000 + this.scenario.durationMillis();
		int number = 1 + this.random.nextInt(4);
		for (int i = 0; i < number; i++) {
			long millis = (long) (length * this.random.nextDouble());
			long lasts = 1_000 + this.random.nextInt(5_000);
			switch (this.random.nextInt(8)) {
				case 0 -> at(millis, () -> restart(this.hosts.get(this.random.nextInt(this.hosts.size()))));
				case 1 -> at(millis, () -> anyHost().frozenUntil = this.clock.millis() + lasts);
				case 2 -> at(millis, () -> anyHost().cutUntil = this.clock.millis() + lasts);
				case 3 -> at(millis, () -> storeAway(lasts));
				case 4 -> at(millis, () -> {
					for (int j = 0; j < 1 + this.scenario.oldTargets() / 8; j++) {
						reclaim();
					}
				});
				case 5 -> at(millis, () -> {
					this.rateFactor = 3;
					this.slowFactor = 2.5;
					at(lasts, () -> {
						this.rateFactor = 1;
						this.slowFactor = 1;
					});
				});
				case 6 -> at(millis, () -> loseDataCentre(this.random.nextInt(DATA_CENTRES), lasts));
				default -> at(millis, () -> {
					this.lossRate = 0.2;
					this.maxDelayMillis = 800;
					at(lasts, () -> {
						this.lossRate = 0.005;
						this.maxDelayMillis = 20;
					});
				});
			}
		}
		if (this.random.nextInt(20) == 0) {
			at((long) (length * this.random.nextDouble()), () -> {
				this.clockLost = this.order != null;
				this.hosts.forEach(this::restart);
			});
		}
	}

	private SimulatedHost anyHost() {
		return this.hosts.get(this.random.nextInt(this.hosts.size()));
	}

	private void storeAway(long millis) {
		this.storeAwayUntil = Math.max(this.storeAwayUntil, this.clock.millis() + millis);
		at(millis, this::resetBadAnswers);
	}

	// The time for a roll-back counts from the 50th bad answer since the store was away.
	private void resetBadAnswers() {
		if (this.clock.millis() >= this.storeAwayUntil) {
			this.badAnswers = 0;
			this.fiftiethMillis = Long.MAX_VALUE / 2;
		}
	}

	private void restart(SimulatedHost host) {
		host.requests.clear();
		host.disturbedMillis = this.clock.millis();
		host.generation++;
		host.startedMillis = this.clock.millis() + 500;
		host.start();
	}

	private void reclaim() {
		List<SimulatedTarget> alive = this.targets.stream().filter((target) -> target.alive).toList();
		if (alive.isEmpty()) {
			return;
		}
		SimulatedTarget lost = alive.get(this.random.nextInt(alive.size()));
		lost.alive = false;
		failAll(lost);
		at(1_000, () -> {
			this.targets.remove(lost);
			this.listVersion++;
		});
		at(3_000, () -> {
			SimulatedTarget replacement = new SimulatedTarget(lost.version, lost.dataCentre);
			replacement.coldUntil = this.clock.millis() + 3_000;
			this.targets.add(replacement);
			this.listVersion++;
		});
	}

	private void failAll(SimulatedTarget target) {
		for (Request request : List.copyOf(target.running)) {
			request.end(true);
		}
	}

	private void loseDataCentre(int dataCentre, long lasts) {
		List<SimulatedTarget> lost = this.targets.stream().filter((target) -> target.dataCentre == dataCentre).toList();
		lost.forEach((target) -> {
			target.alive = false;
			failAll(target);
		});
		at(2_000, () -> {
			this.targets.removeAll(lost);
			this.listVersion++;
		});
		at(2_000 + lasts, () -> {
			lost.forEach((target) -> target.alive = true);
			this.targets.addAll(lost);
			this.listVersion++;
		});
		this.hosts.stream()
			.filter((host) -> host.dataCentre == dataCentre)
			.forEach((host) -> host.cutUntil = this.clock.millis() + lasts);
	}

	private void store(SimulatedHost host, RolloutDecision proposal, int readVersion) {
		if (this.clock.millis() < this.storeAwayUntil || host.isCut() || readVersion != this.decisionVersion) {
			return;
		}
		this.decision = proposal;
		this.decisionVersion++;
		this.decidedMillis = this.clock.millis();
		if (proposal.stage() == Stage.COMPLETED) {
			this.hosts.stream()
				.filter(SimulatedHost::inTouch)
				.forEach((each) -> this.cutOff += (int) each.requests.stream()
					.filter((request) -> !request.target.candidate())
					.count());
		}
	}

	/**
	 * What is wrong with a version.
	 */
	enum Fault {

		NONE, FAILING, SLOW, LATER, UNDER_LOAD, ONE_ROUTE

	}

	record Scenario(int hosts, int oldTargets, double requestsPerSecond, long durationMillis, Fault fault,
			boolean disturbed, long seed) {
	}

	record Result(Stage stage, long millis, boolean exposedTooMuch, int lateSends, int cutOff, int sentBeforeTrial,
			int refused, int requests, long exposed, long serviceRequests, boolean clockLost, String reason) {
	}

	private record Event(long millis, long sequence, Runnable action) {
	}

	/**
	 * Target with its load.
	 */
	private final class SimulatedTarget {

		private final String version;

		private final int dataCentre;

		private final TargetRegistration registration;

		private final Set<Request> running = new HashSet<>();

		private boolean alive = true;

		private long coldUntil;

		private double load;

		private long loadMillis;

		SimulatedTarget(String version, int dataCentre) {
			this.version = version;
			this.dataCentre = dataCentre;
			String id = "t" + RolloutFleet.this.sequence++;
			this.registration = new TargetRegistration(id, SERVICE, InetSocketAddress.createUnresolved(id, 1),
					"dc" + dataCentre, 8, false, 0, RolloutFleet.this.clock.millis(), 1, version);
		}

		boolean candidate() {
			return this.version.equals("v2");
		}

		// Requests in the last second, about.
		double count() {
			long nowMillis = RolloutFleet.this.clock.millis();
			this.load = this.load * Math.exp((this.loadMillis - nowMillis) / 1_000d) + 1;
			this.loadMillis = nowMillis;
			return this.load;
		}

		boolean isBad(int route, double requestsLately) {
			Scenario scenario = RolloutFleet.this.scenario;
			long age = RolloutFleet.this.clock.millis() - RolloutFleet.this.orderMillis;
			boolean applies = switch (scenario.fault()) {
				case NONE -> false;
				case FAILING, SLOW -> true;
				case LATER -> age >= RolloutFleet.this.laterMillis;
				case UNDER_LOAD -> requestsLately >= 0.6 * scenario.requestsPerSecond() / scenario.oldTargets();
				case ONE_ROUTE -> route == RolloutFleet.this.badRoute;
			};
			return candidate() && applies && RolloutFleet.this.random.nextDouble() < RolloutFleet.this.badShare;
		}

	}

	/**
	 * Request at one target.
	 */
	private final class Request {

		private final SimulatedHost host;

		private final SimulatedTarget target;

		private final int route;

		private final boolean bad;

		private final long responseMillis;

		private boolean responded;

		private boolean ended;

		Request(SimulatedHost host, SimulatedTarget target, int route, boolean bad, long responseMillis) {
			this.host = host;
			this.target = target;
			this.route = route;
			this.bad = bad;
			this.responseMillis = responseMillis;
		}

		void respond(boolean failed) {
			if (this.ended || this.responded) {
				return;
			}
			this.responded = true;
			RolloutFleet fleet = RolloutFleet.this;
			if (this.bad && ++fleet.badAnswers == SETTINGS.exposedSlack()) {
				fleet.fiftiethMillis = Math.min(fleet.fiftiethMillis, fleet.clock.millis());
			}
			this.host.outcome(this, failed);
		}

		void end(boolean broken) {
			if (!this.ended) {
				respond(broken);
				this.ended = true;
				this.target.running.remove(this);
				this.host.requests.remove(this);
			}
		}

	}

	/**
	 * Entry host with the class under test.
	 */
	private final class SimulatedHost implements RolloutClient {

		private final String name;

		private final int dataCentre;

		private final Set<Request> requests = new HashSet<>();

		private RolloutControl control;

		private int generation;

		private long startedMillis;

		private long frozenUntil;

		private long cutUntil;

		private long disturbedMillis = Long.MIN_VALUE / 2;

		private long readList = -1;

		private int readDecision;

		private boolean readOrder;

		SimulatedHost(String name, int dataCentre) {
			this.name = name;
			this.dataCentre = dataCentre;
			start();
		}

		void start() {
			this.control = RolloutControl.of(RolloutFleet.this.clock, this.name, SETTINGS, this,
					RolloutFleet.this.tests);
			this.readList = -1;
			this.readDecision = 0;
			this.readOrder = false;
		}

		boolean runs() {
			long nowMillis = RolloutFleet.this.clock.millis();
			if (nowMillis < this.frozenUntil) {
				this.disturbedMillis = nowMillis;
			}
			return nowMillis >= this.frozenUntil && nowMillis >= this.startedMillis;
		}

		boolean isCut() {
			return RolloutFleet.this.clock.millis() < this.cutUntil;
		}

		boolean inTouch() {
			long nowMillis = RolloutFleet.this.clock.millis();
			return nowMillis - Math.max(this.disturbedMillis, this.cutUntil) > CONTACT_MILLIS
					&& nowMillis - RolloutFleet.this.storeAwayUntil > CONTACT_MILLIS;
		}

		void readStore() {
			RolloutFleet fleet = RolloutFleet.this;
			if (isCut() || fleet.clock.millis() < fleet.storeAwayUntil) {
				return;
			}
			if (this.readList < 0) {
				this.control.updateHosts(fleet.hosts.stream().map((host) -> host.name).toList());
			}
			if (!this.readOrder && fleet.order != null) {
				this.readOrder = true;
				this.control.updateOrder(fleet.order);
			}
			if (this.readDecision < fleet.decisionVersion) {
				this.readDecision = fleet.decisionVersion;
				this.control.updateDecision(fleet.decision);
			}
			this.control.updateAge(20);
			if (this.readList < fleet.listVersion) {
				this.readList = fleet.listVersion;
				this.control.updateTargets(fleet.targets.stream().map((target) -> target.registration).toList());
			}
		}

		void poll() {
			for (Request request : List.copyOf(this.requests)) {
				if (this.control.isBeingReplaced(request.target.registration)) {
					move(request);
				}
			}
			this.control.updateOutstanding(SERVICE,
					(int) this.requests.stream().filter((request) -> !request.target.candidate()).count());
			this.control.poll();
		}

		private void move(Request request) {
			// Only a generation that has begun is resumed elsewhere.
			if (request.responded) {
				choose().filter(SimulatedTarget::candidate).ifPresent((target) -> {
					request.end(false);
					send(target, request.route, 2_000);
				});
			}
		}

		void serve() {
			RolloutFleet fleet = RolloutFleet.this;
			fleet.requests++;
			if (fleet.beforeDeadline()) {
				fleet.serviceRequests++;
			}
			double draw = fleet.random.nextDouble();
			int route = 0;
			while (draw >= ROUTE_SHARES[route] && route < ROUTE_SHARES.length - 1) {
				draw -= ROUTE_SHARES[route++];
			}
			int chosen = route;
			long streamMillis = (fleet.random.nextInt(10) == 0) ? 5_000 + fleet.random.nextInt(20_000) : 0;
			choose().ifPresentOrElse((target) -> send(target, chosen, streamMillis), () -> fleet.refused++);
		}

		private java.util.Optional<SimulatedTarget> choose() {
			RolloutFleet fleet = RolloutFleet.this;
			int number = fleet.targets.size();
			SimulatedTarget allowed = null;
			int start = fleet.random.nextInt(Math.max(1, number));
			for (int i = 0; i < number; i++) {
				SimulatedTarget target = fleet.targets.get((start + i) % number);
				boolean tooCold = fleet.clock.millis() < target.coldUntil && fleet.random.nextInt(5) > 0;
				if (tooCold) {
					continue;
				}
				if (this.control.prefers(target.registration)) {
					return java.util.Optional.of(target);
				}
				if (allowed == null && this.control.allows(target.registration)) {
					allowed = target;
				}
			}
			return java.util.Optional.ofNullable(allowed);
		}

		private void send(SimulatedTarget target, int route, long streamMillis) {
			RolloutFleet fleet = RolloutFleet.this;
			this.control.recordSend(target.registration);
			if (target.candidate()) {
				fleet.exposed += fleet.beforeDeadline() ? 1 : 0;
				fleet.lateSends += (fleet.clock.millis() > fleet.fiftiethMillis + SETTINGS.rollbackMillis()) ? 1 : 0;
				fleet.sentBeforeTrial += (fleet.decision == null) ? 1 : 0;
			}
			else if (fleet.decision != null && fleet.decision.stage() == Stage.COMPLETED && inTouch()) {
				fleet.cutOff++;
			}
			boolean bad = target.isBad(route, target.count());
			boolean slow = bad && (fleet.scenario.fault() == Fault.SLOW || fleet.scenario.seed() % 3 == 0);
			double gaussian = Math.sqrt(-2 * Math.log(1 - fleet.random.nextDouble()))
					* Math.cos(2 * Math.PI * fleet.random.nextDouble());
			double millis = ROUTE_MILLIS[route] * Math.exp(0.4 * gaussian) * fleet.slowFactor
					* ((fleet.clock.millis() < target.coldUntil) ? 2 : 1) * (slow ? fleet.slowdown : 1);
			boolean failed = (bad && !slow) || fleet.random.nextDouble() < 0.003;
			Request request = new Request(this, target, route, bad, Math.round(millis));
			this.requests.add(request);
			target.running.add(request);
			if (!target.alive) {
				fleet.at(100, () -> request.end(true));
				return;
			}
			fleet.at(request.responseMillis, () -> request.respond(failed));
			fleet.at(request.responseMillis + (failed ? 0 : streamMillis), () -> request.end(failed));
		}

		void outcome(Request request, boolean failed) {
			if (this.requests.contains(request)) {
				this.control.recordOutcome(new RolloutOutcome(SERVICE, request.target.version, "r" + request.route,
						"dc" + request.target.dataCentre, failed, request.responseMillis));
			}
		}

		@Override
		public void send(String receiver, Message.RolloutEvidence evidence) {
			RolloutFleet fleet = RolloutFleet.this;
			if (isCut() || fleet.random.nextDouble() < fleet.lossRate) {
				return;
			}
			SimulatedHost other = fleet.hosts.get(Integer.parseInt(receiver.substring(1)));
			int receiving = other.generation;
			fleet.at(2 + (long) (fleet.maxDelayMillis * fleet.random.nextDouble()), () -> {
				if (!other.isCut() && other.runs() && other.generation == receiving) {
					other.control.handleEvidence(evidence);
				}
			});
		}

		@Override
		public void propose(RolloutDecision proposal) {
			int read = this.readDecision;
			RolloutFleet.this.at(5 + RolloutFleet.this.random.nextInt(30),
					() -> RolloutFleet.this.store(this, proposal, read));
		}

	}

}
