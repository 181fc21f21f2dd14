package io.dotterelcrank.process.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.simple.RandomSource;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.limit.RequestLimit;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.Ran;

/**
 * The relay services of several entry hosts on one manual clock, with three targets of a
 * plain service that respond by themselves and may name a request limit.
 */
final class RelayFleet {

	/** Time between two steps, in milliseconds. */
	static final int STEP_MILLIS = 10;

	private static final int MAX_RESPONSE_MILLIS = 60;

	private static final int MAX_LINK_MILLIS = 30;

	/** One of so many requests for a permit is lost. */
	private static final int LOST_MESSAGES = 20;

	private final Random random;

	private final Clock.Manual clock = Clock.manual(100_000);

	private final Scheduler.Manual scheduler = Scheduler.manual(this.clock);

	private final List<RelayService> hosts = new ArrayList<>();

	/** Limit that each target names now. */
	private final Map<String, RequestLimit> limits = new HashMap<>();

	/** When each host first passed on a limit of each target. */
	private final Map<String, Long> toldMillis = new HashMap<>();

	private final List<Send> sends = new ArrayList<>();

	private int requestCount;

	RelayFleet(int hostCount, Random random) {
		this.random = random;
		for (int i = 0; i < hostCount; i++) {
			this.hosts.add(createHost(i));
		}
		for (RelayService host : this.hosts) {
			host.updateEntryHosts(hostCount);
			host.updatePlan(RelayFixture.plan(1));
			host.updatePlanAge(0);
			host.updateTargets(List.of(target("p1"), target("p2"), target("p3")));
			host.start();
		}
	}

	private RelayService createHost(int index) {
		return RelayService.of(this.clock, this.scheduler,
				RelayClients.of(new RespondingTargetClient(index))
					.withRatePermits((request) -> askIssuer(index, request)),
				new RelaySettings("giza", 0.2, 54, 10_000, 2_000, 8_000),
				RandomSource.XO_RO_SHI_RO_128_PP.create(index + 1L), new MetricRegistry());
	}

	private void askIssuer(int host, Message.RatePermitRequest request) {
		int issuer = Math.floorMod(request.target().hashCode(), this.hosts.size());
		if (this.random.nextInt(LOST_MESSAGES) == 0) {
			return;
		}
		this.scheduler.schedule(1 + this.random.nextInt(MAX_LINK_MILLIS), () -> {
			Message.RatePermit permit = this.hosts.get(issuer).issueRatePermit(request);
			this.scheduler.schedule(1 + this.random.nextInt(MAX_LINK_MILLIS),
					() -> this.hosts.get(host).handleRatePermit(permit));
		});
	}

	private static Target target(String id) {
		int host = Math.floorMod(id.hashCode(), 250);
		return new Target(new TargetRegistration(id, "desk", new InetSocketAddress("10.0.0." + host, 80), "giza", 24,
				false, 0, 1, 1), 0, true, false);
	}

	void limit(String target, RequestLimit limit) {
		this.limits.put(target, limit);
	}

	/**
	 * Lets callers send requests to random hosts.
	 * @param millis duration in milliseconds
	 * @param requestsPerSecond requests of all callers a second, on average
	 */
	void play(long millis, double requestsPerSecond) {
		long endMillis = now() + millis;
		while (now() < endMillis) {
			double expected = requestsPerSecond * STEP_MILLIS / 1_000;
			int arrivals = (int) expected + ((this.random.nextDouble() < expected - (int) expected) ? 1 : 0);
			for (int i = 0; i < arrivals; i++) {
				accept(this.hosts.get(this.random.nextInt(this.hosts.size())));
			}
			this.scheduler.advance(STEP_MILLIS);
		}
	}

	private void accept(RelayService host) {
		String path = this.random.nextBoolean() ? "/lookup/" : "/order/";
		this.requestCount++;
		host.accept(new CallerRequest("attempt-" + this.requestCount, "POST", "a.example", path + this.requestCount,
				List.of(), new byte[0], Optional.of("key"), Optional.empty(), OptionalLong.empty(), 1_500, now()),
				new RecordingCallerChannel());
	}

	long now() {
		return this.clock.millis();
	}

	List<Send> sends(String target) {
		return this.sends.stream().filter((send) -> send.target().equals(target)).toList();
	}

	int requestCount() {
		return this.requestCount;
	}

	/**
	 * Returns whether a host had passed on a limit of a target some time before.
	 * @param send a request that the host has sent
	 * @param millis time since the host was told, in milliseconds
	 */
	boolean wasTold(Send send, long millis) {
		Long told = this.toldMillis.get(send.host() + send.target());
		return told != null && told + millis <= send.millis();
	}

	/**
	 * A request that reached a target.
	 *
	 * @param host index of the host that sent it
	 * @param target id of the target
	 * @param millis when it was sent
	 */
	record Send(int host, String target, long millis) {
	}

	/**
	 * Targets as one host sees them; they answer some requests with a server error.
	 */
	private final class RespondingTargetClient extends RecordingTargetClient {

		private final int host;

		RespondingTargetClient(int host) {
			this.host = host;
		}

		@Override
		public Exchange send(TargetRequest request, Listener listener) {
			String target = request.target().id();
			RelayFleet.this.sends.add(new Send(this.host, target, now()));
			RecordedExchange exchange = new RecordedExchange(request, listener);
			RelayFleet.this.scheduler.schedule(1 + RelayFleet.this.random.nextInt(MAX_RESPONSE_MILLIS),
					() -> respond(exchange, target));
			return exchange;
		}

		private void respond(RecordedExchange exchange, String target) {
			if (exchange.ended()) {
				return;
			}
			RequestLimit limit = RelayFleet.this.limits.getOrDefault(target, RequestLimit.NONE);
			if (limit.named()) {
				RelayFleet.this.toldMillis.putIfAbsent(this.host + target, now());
			}
			exchange.withRequestLimit(limit);
			switch (RelayFleet.this.random.nextInt(20)) {
				case 0 -> exchange.respond(500, "");
				case 1 -> exchange.refuse(503);
				case 2 -> exchange.fail(Ran.UNKNOWN);
				default -> exchange.respond(200, "");
			}
		}

	}

}
