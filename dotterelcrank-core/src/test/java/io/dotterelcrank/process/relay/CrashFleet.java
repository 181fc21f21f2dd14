package io.dotterelcrank.process.relay;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.simple.RandomSource;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.quarantine.Culprit;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.GenerationTraits;
import io.dotterelcrank.request.Ran;

/**
 * The relay services of several entry hosts on one manual clock, with engines and targets
 * of a plain service that crash under some requests and are back after seconds.
 */
final class CrashFleet {

	/** Time between two steps, in milliseconds. */
	static final int STEP_MILLIS = 10;

	/** Time after a disruption from which on a host has to keep all bounds. */
	static final long CONTACT_MILLIS = 3_000;

	private static final int SHARED_FIRST_PARTS = 4;

	private static final int EVENT_MILLIS = 40;

	private static final int MAX_LINK_MILLIS = 30;

	/** One of so many messages between hosts is lost. */
	private static final int LOST_MESSAGES = 10;

	private static final long LEASE_MILLIS = 2_500;

	private final Random random;

	private final Clock.Manual clock = Clock.manual(100_000);

	private final Scheduler.Manual scheduler = Scheduler.manual(this.clock);

	private final List<RelayService> hosts = new ArrayList<>();

	/** When each host last started, in milliseconds. */
	private final List<Long> startedMillis = new ArrayList<>();

	private final List<SimulatedTarget> targets = new ArrayList<>();

	/** All incarnations of targets that are listed, by id. */
	private final Map<String, Target> listed = new HashMap<>();

	/** Parts that crash each engine that begins to respond to a prompt with them. */
	private final Set<String> crashingParts = new HashSet<>();

	/** Path of each body that crashes each target that begins to run it. */
	private final Map<String, String> crashingBodies = new LinkedHashMap<>();

	private final List<Send> sends = new ArrayList<>();

	private final List<Crash> crashes = new ArrayList<>();

	private final List<Arrival> arrivals = new ArrayList<>();

	/** Ids of the requests that began at their first attempt. */
	private final Set<String> begun = new HashSet<>();

	/** Parts that crash engines, and fingerprints of requests that crash targets. */
	private final Set<String> crashingKeys = new HashSet<>();

	private final Set<Set<String>> wronglyBlamed = new HashSet<>();

	private int requestCount;

	CrashFleet(int hostCount, int engineCount, int plainCount, Random random) {
		this.random = random;
		for (int i = 0; i < engineCount; i++) {
			this.targets.add(new SimulatedTarget("bench", i));
		}
		for (int i = 0; i < plainCount; i++) {
			this.targets.add(new SimulatedTarget("desk", engineCount + i));
		}
		for (int i = 0; i < hostCount; i++) {
			this.hosts.add(createHost(i));
			this.startedMillis.add(now());
		}
		this.targets.forEach(SimulatedTarget::start);
	}

	private RelayService createHost(int index) {
		RelayService host = RelayService.of(this.clock, this.scheduler,
				RelayClients.of(new CrashingTargetClient(index))
					.withCrashEvidence((evidence, count) -> sendEvidence(index, evidence, count)),
				new RelaySettings("giza", 0.2, 54, 10_000, 2_000, 8_000),
				RandomSource.XO_RO_SHI_RO_128_PP.create(this.random.nextLong()), new MetricRegistry());
		host.updateEntryHosts(Math.max(1, this.hosts.size()));
		host.updatePlan(RelayFixture.plan(1));
		host.updatePlanAge(0);
		host.updateTargets(List.copyOf(this.listed.values()));
		host.start();
		return host;
	}

	private void sendEvidence(int from, Message.CrashEvidence evidence, int count) {
		List<Integer> others = new ArrayList<>(IntStream.range(0, this.hosts.size()).boxed().toList());
		others.remove(Integer.valueOf(from));
		Collections.shuffle(others, this.random);
		others.stream().limit(count).forEach((to) -> deliver(from, to, evidence));
	}

	private void deliver(int from, int to, Message.CrashEvidence evidence) {
		if (this.random.nextInt(LOST_MESSAGES) == 0) {
			return;
		}
		this.scheduler.schedule(1 + this.random.nextInt(MAX_LINK_MILLIS),
				() -> this.hosts.get(to)
					.quarantine()
					.handle(evidence)
					.forEach((response) -> deliver(to, from, response)));
	}

	/**
	 * Replaces a random host by one that has just started; its callers are gone.
	 */
	private void restartHost() {
		int index = this.random.nextInt(this.hosts.size());
		this.targets.forEach((target) -> target.open.removeIf((running) -> running.host == index));
		this.hosts.set(index, createHost(index));
		this.startedMillis.set(index, now());
	}

	/**
	 * Ends a third of the targets without notice within four seconds.
	 */
	private void reclaim() {
		for (SimulatedTarget target : this.targets) {
			if (this.random.nextInt(3) == 0) {
				this.scheduler.schedule(this.random.nextInt(4_000), () -> target.crash(Optional.empty()));
			}
		}
	}

	private void updateTargets() {
		List<Target> listedTargets = List.copyOf(this.listed.values());
		this.hosts.forEach((host) -> host.updateTargets(listedTargets));
	}

	/**
	 * Makes a part crash engines from now on.
	 * @param part id of the part
	 */
	void makeCrashing(String part) {
		this.crashingParts.add(part);
		this.crashingKeys.add(part);
	}

	/**
	 * Makes a request crash targets from now on, whenever it comes.
	 * @param path path of the request
	 * @param body body of the request
	 */
	void makeCrashing(String path, String body) {
		this.crashingBodies.put(body, path);
	}

	/**
	 * Lets callers send requests to random hosts.
	 * @param millis duration in milliseconds
	 * @param soundPerSecond sound requests of each kind a second, on average
	 * @param crashingPerSecond requests with each content that crashes targets a second
	 */
	void play(long millis, double soundPerSecond, double crashingPerSecond) {
		long endMillis = now() + millis;
		while (now() < endMillis) {
			if (occurs(soundPerSecond)) {
				acceptGeneration(Optional.empty());
			}
			if (occurs(soundPerSecond)) {
				String body = "sound" + ((this.random.nextInt(3) == 0) ? this.random.nextInt(5) : this.requestCount);
				accept("/lookup/", body, List.of());
			}
			for (String part : this.crashingParts) {
				if (occurs(crashingPerSecond)) {
					acceptGeneration(Optional.of(part));
				}
			}
			this.crashingBodies.forEach((body, path) -> {
				if (occurs(crashingPerSecond)) {
					accept(path, body, path.equals("/notes/") ? List.of("first0") : List.of());
				}
			});
			this.scheduler.advance(STEP_MILLIS);
			if (now() % RelayService.POLL_MILLIS == 0) {
				recordWronglyBlamed();
			}
		}
	}

	/**
	 * Plays 40 seconds in which hosts restart and a third of the targets is reclaimed, at
	 * random.
	 * @param soundPerSecond sound requests of each kind a second, on average
	 */
	void playWithFaults(double soundPerSecond) {
		for (int i = 0; i < 8; i++) {
			if (this.random.nextInt(4) == 0) {
				restartHost();
			}
			if (this.random.nextInt(8) == 0) {
				reclaim();
			}
			play(5_000, soundPerSecond, 0.2 + this.random.nextDouble());
		}
	}

	private boolean occurs(double perSecond) {
		return this.random.nextDouble() < perSecond * STEP_MILLIS / 1_000;
	}

	private void acceptGeneration(Optional<String> crashingPart) {
		String first = "first" + (crashingPart.isPresent() ? Math.floorMod(crashingPart.hashCode(), SHARED_FIRST_PARTS)
				: this.random.nextInt(SHARED_FIRST_PARTS));
		List<String> parts = crashingPart.map((part) -> List.of(first, part)).orElse(List.of(first));
		this.arrivals.add(new Arrival("attempt-" + (this.requestCount + 1), parts, crashingPart.isPresent(), now()));
		accept("/notes/", "prompt" + this.requestCount, parts);
	}

	private void accept(String path, String body, List<String> parts) {
		this.requestCount++;
		Optional<GenerationTraits> traits = path.equals("/notes/")
				? Optional.of(new GenerationTraits(1_000, 100, OptionalLong.empty(), parts)) : Optional.empty();
		RelayService host = this.hosts.get(this.random.nextInt(this.hosts.size()));
		CallerRequest request = new CallerRequest("attempt-" + this.requestCount, "POST", "a.example", path, List.of(),
				body.getBytes(StandardCharsets.UTF_8), Optional.of("key"), traits, OptionalLong.empty(),
				traits.isPresent() ? 39_000 : 1_500, now());
		if (this.crashingBodies.containsKey(body) || parts.stream().anyMatch(this.crashingParts::contains)) {
			this.crashingKeys.add(new RequestContent(request, host).fingerprint());
		}
		host.accept(request, new RecordingCallerChannel());
	}

	long now() {
		return this.clock.millis();
	}

	/**
	 * Returns when a part or body crashed a target for the nth time.
	 * @param content id of the part, or the body
	 * @param count number of the crash, from 1
	 * @return the time, or empty if it has crashed fewer
	 */
	OptionalLong crashMillis(String content, int count) {
		return this.crashes.stream()
			.filter((crash) -> crash.content().equals(content))
			.mapToLong(Crash::millis)
			.skip(count - 1L)
			.findFirst();
	}

	/**
	 * Counts the requests with a part or body that hosts in contact have sent to targets.
	 * @param content id of the part, or the body
	 * @param sinceMillis start of the span, in milliseconds
	 * @return number of requests, retries included
	 */
	long sendsSince(String content, long sinceMillis) {
		return this.sends.stream()
			.filter((send) -> send.contents().contains(content) && send.millis() > sinceMillis && send.inContact())
			.count();
	}

	/**
	 * Returns how many sound requests with a first part began at the first attempt.
	 * @param first first part of their prompts
	 * @param fromMillis start of the span, in milliseconds
	 * @param toMillis end of the span, in milliseconds
	 * @return fraction, or 1 if there are fewer than 20
	 */
	double begunFraction(String first, long fromMillis, long toMillis) {
		List<Arrival> counted = this.arrivals.stream()
			.filter((arrival) -> !arrival.crashing() && arrival.parts().get(0).equals(first)
					&& arrival.millis() >= fromMillis && arrival.millis() < toMillis)
			.toList();
		long begunCount = counted.stream().filter((arrival) -> this.begun.contains(arrival.id())).count();
		return (counted.size() < 20) ? 1 : (double) begunCount / counted.size();
	}

	/**
	 * Returns the content that some host has refused although it crashes nothing.
	 * @return keys of culprits without a key that crashes targets
	 */
	Set<Set<String>> wronglyBlamed() {
		return this.wronglyBlamed;
	}

	private void recordWronglyBlamed() {
		this.hosts.stream()
			.flatMap((host) -> host.quarantine().culprits().stream())
			.map(Culprit::keys)
			.filter((keys) -> keys.stream().noneMatch(this.crashingKeys::contains))
			.forEach(this.wronglyBlamed::add);
	}

	String firstPartBeside(String part) {
		return "first" + Math.floorMod(Optional.of(part).hashCode(), SHARED_FIRST_PARTS);
	}

	/**
	 * A request that reached a target.
	 *
	 * @param contents shared parts of its prompt, and its body
	 * @param millis when it was sent
	 * @param inContact whether the sending host had run for long enough
	 */
	record Send(List<String> contents, long millis, boolean inContact) {
	}

	/**
	 * A target that ended.
	 *
	 * @param content part or body that crashed it; empty text if none did
	 * @param millis when it ended
	 */
	record Crash(String content, long millis) {
	}

	/**
	 * A generation that a caller asked for.
	 *
	 * @param id id of the attempt
	 * @param parts shared parts of its prompt
	 * @param crashing whether one of the parts crashes engines
	 * @param millis when it arrived
	 */
	record Arrival(String id, List<String> parts, boolean crashing, long millis) {
	}

	/**
	 * A request at a target.
	 *
	 * @param host index of the host that sent it
	 * @param exchange its response
	 */
	private record Running(int host, RecordingTargetClient.RecordedExchange exchange) {
	}

	/**
	 * One target through all its incarnations.
	 */
	private final class SimulatedTarget {

		private final String service;

		private final int index;

		private int incarnation;

		private boolean up;

		private final List<Running> open = new ArrayList<>();

		SimulatedTarget(String service, int index) {
			this.service = service;
			this.index = index;
		}

		String id() {
			return this.service + this.index + "-" + this.incarnation;
		}

		void start() {
			this.incarnation++;
			this.up = true;
			InetSocketAddress address = new InetSocketAddress("10.1." + this.index / 250 + "." + (1 + this.index % 250),
					80);
			CrashFleet.this.listed.put(id(), new Target(
					new TargetRegistration(id(), this.service, address, "giza", 24, false, 0, this.incarnation, 1), 0,
					true, false));
			updateTargets();
		}

		void crash(Optional<String> content) {
			if (!this.up) {
				return;
			}
			this.up = false;
			CrashFleet.this.crashes.add(new Crash(content.orElse(""), now()));
			List<Running> lost = List.copyOf(this.open);
			this.open.clear();
			lost.stream()
				.filter((running) -> !running.exchange.ended())
				.forEach((running) -> running.exchange.fail(Ran.UNKNOWN));
			String endedId = id();
			CrashFleet.this.scheduler.schedule(LEASE_MILLIS, () -> {
				CrashFleet.this.listed.remove(endedId);
				updateTargets();
			});
			CrashFleet.this.scheduler.schedule(3_000 + CrashFleet.this.random.nextInt(2_000), this::start);
		}

	}

	/**
	 * Targets as one host sees them.
	 */
	private final class CrashingTargetClient extends RecordingTargetClient {

		private final int host;

		CrashingTargetClient(int host) {
			this.host = host;
		}

		@Override
		public Exchange send(TargetRequest request, Listener listener) {
			RecordedExchange exchange = new RecordedExchange(request, listener);
			Optional<SimulatedTarget> reached = CrashFleet.this.targets.stream()
				.filter((candidate) -> candidate.up && candidate.id().equals(request.target().id()))
				.findFirst();
			if (reached.isEmpty()) {
				schedule(2, exchange, () -> exchange.fail(Ran.NO));
				return exchange;
			}
			SimulatedTarget target = reached.get();
			List<String> contents = new ArrayList<>(
					request.request().traits().map(GenerationTraits::sharedParts).orElse(List.of()));
			contents.add(new String(request.request().body(), StandardCharsets.UTF_8));
			CrashFleet.this.sends
				.add(new Send(contents, now(), now() - CrashFleet.this.startedMillis.get(this.host) >= CONTACT_MILLIS));
			target.open.add(new Running(this.host, exchange));
			Optional<String> crashing = contents.stream()
				.filter((content) -> CrashFleet.this.crashingParts.contains(content)
						|| CrashFleet.this.crashingBodies.containsKey(content))
				.findFirst();
			if (target.service.equals("bench")) {
				generate(target, request, exchange, crashing);
			}
			else if (crashing.isPresent()) {
				schedule(60 + CrashFleet.this.random.nextInt(60), exchange, () -> target.crash(crashing));
			}
			else {
				schedule(5 + CrashFleet.this.random.nextInt(60), exchange, () -> exchange.respond(200, ""));
			}
			return exchange;
		}

		private void generate(SimulatedTarget engine, TargetRequest request, RecordedExchange exchange,
				Optional<String> crashing) {
			if (request.resumeFrom().isPresent() && crashing.isPresent()) {
				schedule(5, exchange, () -> exchange.refuse(503));
				return;
			}
			schedule(50 + CrashFleet.this.random.nextInt(350), exchange, () -> {
				exchange.startStream();
				if (crashing.isPresent()) {
					schedule(20 + CrashFleet.this.random.nextInt(70), exchange, () -> engine.crash(crashing));
					return;
				}
				if (request.resumeFrom().isEmpty()) {
					CrashFleet.this.begun.add(request.request().id());
				}
				int events = 3 + CrashFleet.this.random.nextInt(40);
				stream(exchange, (int) request.lastEventId().orElse(0) + 1, events);
			});
		}

		private void stream(RecordedExchange exchange, int id, int remaining) {
			schedule(EVENT_MILLIS, exchange, () -> {
				if (remaining == 0) {
					exchange.complete();
					return;
				}
				exchange.sendEvent(id);
				stream(exchange, id + 1, remaining - 1);
			});
		}

		private void schedule(long millis, RecordedExchange exchange, Runnable task) {
			CrashFleet.this.scheduler.schedule(millis, () -> {
				if (!exchange.ended()) {
					task.run();
				}
			});
		}

	}

}
