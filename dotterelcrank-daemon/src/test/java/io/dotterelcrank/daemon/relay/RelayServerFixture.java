package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;

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

	/** Time without a byte after which a read of a caller fails, in milliseconds. */
	private static final int READ_TIMEOUT_MILLIS = 10_000;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final ScriptedTarget target = new ScriptedTarget();

	private final EventLoop loop = this.group.next();

	private final RelayService service;

	private final int port;

	/** 0 before the first plan. */
	private long planVersion;

	private RelayServerFixture() throws IOException, InterruptedException {
		Clock clock = Clock.system();
		this.service = RelayService.of(clock, new EventLoopScheduler(this.loop),
				RelayClients.of(HttpTargetClient.of(PooledHttpClient.create(this.loop), new TestMessageMapper())),
				new RelaySettings("dc", 0.2, 50, 10_000, 2_000, 8_000), RandomSource.XO_RO_SHI_RO_128_PP.create(1),
				new MetricRegistry());
		this.loop.submit(() -> {
			this.service.updateTargets(List.of(new Target(
					new TargetRegistration("t", "s", this.target.address(), "dc", 4, false, 0, 1, 1), 0, true, false)));
			this.service.start();
		}).sync();
		try (ServerSocket free = new ServerSocket(0)) {
			this.port = free.getLocalPort();
		}
		CallerServer.start(this.loop, new InetSocketAddress("127.0.0.1", this.port), this.service,
				new TestMessageMapper(), this.service::callerLimits, clock);
	}

	static RelayServerFixture start() throws IOException, InterruptedException {
		RelayServerFixture fixture = withoutPlan();
		fixture.putInForce(LIMITS);
		return fixture;
	}

	/**
	 * Starts a server whose host has received no plan.
	 */
	static RelayServerFixture withoutPlan() throws IOException, InterruptedException {
		return new RelayServerFixture();
	}

	/**
	 * Puts a new plan in force, which differs in the limits only.
	 */
	void putInForce(CallerLimits limits) throws InterruptedException {
		this.planVersion++;
		ServingPlan plan = ServingPlan.of(this.planVersion,
				List.of(route("/order/", RequestKind.NON_IDEMPOTENT), route("/lookup/", RequestKind.IDEMPOTENT),
						route("/stream/", RequestKind.STREAMING)),
				List.of(new ServiceSpec("s", 100, 0, Optional.empty())), List.of(), limits);
		this.loop.submit(() -> {
			this.service.updatePlan(plan);
			this.service.updatePlanAge(0);
		}).sync();
	}

	private static Route route(String prefix, RequestKind kind) {
		return new Route(prefix, "a", prefix, kind, 2_000, 1_500, 0, List.of(new Route.WeightedService("s", 1)), 1,
				true, 180, false);
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
		this.group.shutdownGracefully();
	}

}
