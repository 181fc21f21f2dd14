package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.apache.commons.rng.simple.RandomSource;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.relay.RelayClients;
import io.dotterelcrank.process.relay.RelayService;
import io.dotterelcrank.process.relay.RelaySettings;
import io.dotterelcrank.version.plan.CallerLimits;
import io.dotterelcrank.version.plan.RequestKind;
import io.dotterelcrank.version.plan.Route;
import io.dotterelcrank.version.plan.ServiceSpec;
import io.dotterelcrank.version.plan.ServingPlan;

/**
 * A server for callers in front of one {@link ScriptedTarget}, over sockets. Requests
 * whose path begins with {@code /order/} may run once, with {@code /lookup/} more than
 * once, with {@code /stream/} they are streams. Not thread-safe.
 */
final class RelayServerFixture implements AutoCloseable {

	/** Limit of a request body, in bytes. */
	static final int MAX_BODY_BYTES = 10_000;

	private static final CallerLimits LIMITS = new CallerLimits(2_000, MAX_BODY_BYTES, 3_000, 15_000);

	/** Timeout of routes unless a test sets another one, in milliseconds. */
	private static final long TIMEOUT_MILLIS = 2_000;

	private static final long LONG_TIMEOUT_MILLIS = 60_000;

	/** Time without a byte after which a read of a caller fails, in milliseconds. */
	private static final int READ_TIMEOUT_MILLIS = 30_000;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final ScriptedTarget target = new ScriptedTarget();

	private final EventLoop loop = this.group.next();

	private final RelayService service;

	private final int port;

	private final CallerServer server;

	private volatile boolean limitsWithdrawn;

	/** 0 before the first plan. */
	private long planVersion;

	/** Timeout of all routes, in milliseconds. */
	private final long timeoutMillis;

	/** Services with a target of their own, by path prefix. */
	private final Map<String, InetSocketAddress> added = new TreeMap<>();

	private RelayServerFixture(long timeoutMillis, HttpMessageMapper mapper, Clock clock)
			throws IOException, InterruptedException {
		this.timeoutMillis = timeoutMillis;
		this.service = RelayService.of(clock, new EventLoopScheduler(this.loop),
				RelayClients.of(HttpTargetClient.of(PooledHttpClient.create(this.loop), mapper)),
				new RelaySettings("dc", 0.2, 50, 10_000, 2_000, 8_000), RandomSource.XO_RO_SHI_RO_128_PP.create(1),
				new MetricRegistry());
		this.loop.submit(() -> {
			this.service.updateTargets(List.of(listing("s", this.target.address())));
			this.service.start();
		}).sync();
		try (ServerSocket free = new ServerSocket(0)) {
			this.port = free.getLocalPort();
		}
		this.server = CallerServer.start(this.loop, new InetSocketAddress("127.0.0.1", this.port), this.service, mapper,
				this::limits, clock);
	}

	static RelayServerFixture start() throws IOException, InterruptedException {
		return start(TIMEOUT_MILLIS);
	}

	static RelayServerFixture start(long timeoutMillis) throws IOException, InterruptedException {
		return start(timeoutMillis, new TestMessageMapper(), Clock.system());
	}

	/**
	 * Starts a server whose messages are converted by another mapper.
	 */
	static RelayServerFixture start(HttpMessageMapper mapper) throws IOException, InterruptedException {
		return start(TIMEOUT_MILLIS, mapper, Clock.system());
	}

	/**
	 * Starts a server that uses a mapper and a clock of the test, and whose routes leave
	 * the timeout to the caller.
	 */
	static RelayServerFixture start(HttpMessageMapper mapper, Clock clock) throws IOException, InterruptedException {
		return start(LONG_TIMEOUT_MILLIS, mapper, clock);
	}

	private static RelayServerFixture start(long timeoutMillis, HttpMessageMapper mapper, Clock clock)
			throws IOException, InterruptedException {
		RelayServerFixture fixture = new RelayServerFixture(timeoutMillis, mapper, clock);
		fixture.putInForce(LIMITS);
		return fixture;
	}

	private static Target listing(String service, InetSocketAddress address) {
		return new Target(new TargetRegistration("t-" + address.getPort(), service, address, "dc", 4, false, 0, 1, 1),
				0, true, false);
	}

	/**
	 * Adds a target that is the only one of its service.
	 * @param prefix prefix of the paths that are routed to it; they may run once
	 * @param address its address
	 */
	void addTarget(String prefix, InetSocketAddress address) throws InterruptedException {
		this.added.put(prefix, address);
		putInForce(LIMITS);
		List<Target> targets = new ArrayList<>(List.of(listing("s", this.target.address())));
		this.added.forEach((path, target) -> targets.add(listing(path, target)));
		this.loop.submit(() -> this.service.updateTargets(targets)).sync();
	}

	/**
	 * Starts a server whose host has received no plan.
	 */
	static RelayServerFixture withoutPlan() throws IOException, InterruptedException {
		return new RelayServerFixture(TIMEOUT_MILLIS, new TestMessageMapper(), Clock.system());
	}

	/**
	 * Puts a new plan in force, which differs in the limits only.
	 */
	void putInForce(CallerLimits limits) throws InterruptedException {
		this.planVersion++;
		List<Route> routes = new ArrayList<>(List.of(route("/order/", RequestKind.NON_IDEMPOTENT, "s"),
				route("/lookup/", RequestKind.IDEMPOTENT, "s"), route("/stream/", RequestKind.STREAMING, "s")));
		List<ServiceSpec> services = new ArrayList<>(List.of(new ServiceSpec("s", 100, 0, Optional.empty())));
		this.added.keySet().forEach((prefix) -> {
			routes.add(route(prefix, RequestKind.NON_IDEMPOTENT, prefix));
			services.add(new ServiceSpec(prefix, 100, 0, Optional.empty()));
		});
		ServingPlan plan = ServingPlan.withoutWorkspaces(this.planVersion, routes, services, limits);
		this.loop.submit(() -> {
			this.service.updatePlan(plan);
			this.service.updatePlanAge(0);
		}).sync();
	}

	private Route route(String prefix, RequestKind kind, String serviceName) {
		return new Route(prefix, "a", prefix, kind, this.timeoutMillis, 1_500, 0,
				List.of(new Route.WeightedService(serviceName, 1)), 1, true, 180, false);
	}

	private CallerLimits limits() {
		if (this.limitsWithdrawn) {
			throw new IllegalStateException("no limits");
		}
		return this.service.callerLimits();
	}

	/**
	 * Makes each further look at the limits for callers fail.
	 */
	void withdrawLimits() {
		this.limitsWithdrawn = true;
	}

	EventLoop loop() {
		return this.loop;
	}

	CallerServer server() {
		return this.server;
	}

	ScriptedTarget target() {
		return this.target;
	}

	/**
	 * Opens a caller's connection.
	 * @return the connection, to be closed by the test
	 */
	Socket connect() throws IOException {
		Socket socket = new Socket("127.0.0.1", this.port);
		socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		return socket;
	}

	@Override
	public void close() throws IOException {
		this.target.close();
		this.group.shutdownGracefully(0, 5, TimeUnit.SECONDS).syncUninterruptibly();
	}

}
