package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;
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

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a request that crashes targets at one host and comes again at another, over
 * sockets.
 */
class CrashingRequestTests {

	private static final CallerLimits LIMITS = new CallerLimits(2_000, 10_000, 3_000, 15_000);

	private static final int TARGETS = 3;

	private static final int MAX_REQUESTS = 200;

	/** Time between two requests, in milliseconds. */
	private static final long PAUSE_MILLIS = 20;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final Scheduler control = Scheduler.singleThread("test-control");

	private final Transport transport = Transport.overTcp(() -> 0);

	private final List<CrashingTarget> targets = new ArrayList<>();

	private final InetSocketAddress first = freeAddress();

	private final InetSocketAddress second = freeAddress();

	private final InetSocketAddress firstPeer = freeAddress();

	private final InetSocketAddress secondPeer = freeAddress();

	CrashingRequestTests() throws IOException {
		// The addresses are free ports.
	}

	private static InetSocketAddress freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
		}
	}

	@BeforeEach
	void start() throws Exception {
		for (int i = 0; i < TARGETS; i++) {
			this.targets.add(new CrashingTarget());
		}
		startHost(this.first, this.firstPeer, this.secondPeer);
		startHost(this.second, this.secondPeer, this.firstPeer);
	}

	private void startHost(InetSocketAddress callers, InetSocketAddress peerAddress, InetSocketAddress otherPeer)
			throws Exception {
		EventLoop loop = this.group.next();
		RelayService[] service = new RelayService[1];
		PeerCrashEvidenceClient client = new PeerCrashEvidenceClient(this.transport, this.control,
				() -> List.of(otherPeer), (evidence) -> loop.execute(() -> service[0].quarantine().handle(evidence)),
				RandomSource.XO_RO_SHI_RO_128_PP.create(1));
		service[0] = RelayService.of(Clock.system(), new EventLoopScheduler(loop),
				RelayClients.of(HttpTargetClient.of(PooledHttpClient.create(loop), new TestMessageMapper()))
					.withCrashEvidence(client),
				new RelaySettings("dc", 0.2, 50, 10_000, 2_000, 8_000), RandomSource.XO_RO_SHI_RO_128_PP.create(1),
				new MetricRegistry());
		this.transport.listen(peerAddress, new PeerListener(loop, service[0]));
		loop.submit(() -> {
			service[0].updatePlan(ServingPlan.withoutWorkspaces(1,
					List.of(new Route("/order/", "a", "/order/", RequestKind.NON_IDEMPOTENT, 4_000, 3_000, 0,
							List.of(new Route.WeightedService("s", 1)), 1, true, 180, false)),
					List.of(new ServiceSpec("s", 100, 0, Optional.empty())), LIMITS));
			service[0].updatePlanAge(0);
			service[0].updateTargets(this.targets.stream().map(CrashingTarget::listing).toList());
			service[0].start();
		}).sync();
		CallerServer.start(loop, callers, service[0], new TestMessageMapper(), () -> LIMITS, Clock.system());
	}

	@AfterEach
	void stop() throws IOException {
		for (CrashingTarget target : this.targets) {
			target.close();
		}
		this.transport.close();
		this.control.close();
		this.group.shutdownGracefully();
	}

	private static String post(InetSocketAddress host, String body) throws IOException {
		try (Socket socket = new Socket(host.getAddress(), host.getPort())) {
			socket.setSoTimeout(10_000);
			socket.getOutputStream()
				.write(("POST /order/x HTTP/1.1\r\nHost: a\r\nId: 1\r\nConnection: close\r\nContent-Length: "
						+ body.length() + "\r\n\r\n" + body)
					.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
	}

	/**
	 * Repeats the crashing request until it is refused as not run.
	 */
	private static String repeatUntilRefused(InetSocketAddress host) throws Exception {
		String response = post(host, "crash");
		for (int i = 0; i < MAX_REQUESTS && !response.startsWith("HTTP/1.1 503"); i++) {
			Thread.sleep(PAUSE_MILLIS);
			response = post(host, "crash");
		}
		return response;
	}

	private int crashingRequests() {
		return this.targets.stream().mapToInt((target) -> target.crashingRequests).sum();
	}

	@Test
	void requestThatCrashedTargetsAtOneHostIsRefusedAtAnother() throws Exception {
		assertThat(repeatUntilRefused(this.first)).contains("Ran: no");
		assertThat(repeatUntilRefused(this.second)).contains("Ran: no");
		int sent = crashingRequests();
		assertThat(post(this.first, "crash")).startsWith("HTTP/1.1 503");
		assertThat(post(this.second, "crash")).startsWith("HTTP/1.1 503");
		assertThat(crashingRequests()).isEqualTo(sent);
		assertThat(post(this.second, "sound")).startsWith("HTTP/1.1 200").endsWith("sound");
	}

	/**
	 * Passes evidence of other hosts to a service.
	 *
	 * @param loop the service's thread
	 * @param service the service
	 */
	private record PeerListener(EventLoop loop, RelayService service) implements Link.Listener {

		@Override
		public void opened(Link link) {
			// The other side sends first.
		}

		@Override
		public void received(Link link, long version, Message message) {
			if (message instanceof Message.CrashEvidence evidence) {
				this.loop.execute(() -> this.service.quarantine().handle(evidence).forEach(link::send));
			}
		}

		@Override
		public void writable(Link link) {
			// Messages are small, so no flow control.
		}

		@Override
		public void closed(Link link) {
			// The test has ended.
		}

	}

	/**
	 * A target that closes each connection with a crashing request, and serves others.
	 */
	private static final class CrashingTarget {

		private final ServerSocket server = new ServerSocket(0, 50, freeAddress().getAddress());

		private volatile int crashingRequests;

		CrashingTarget() throws IOException {
			Thread thread = new Thread(this::serve, "crashing-target");
			thread.setDaemon(true);
			thread.start();
		}

		Target listing() {
			int port = this.server.getLocalPort();
			return new Target(new TargetRegistration("t" + port, "s", new InetSocketAddress("127.0.0.1", port), "dc", 4,
					false, 0, 1, 1), 0, true, false);
		}

		private void serve() {
			while (!this.server.isClosed()) {
				try (Socket socket = this.server.accept()) {
					if (isCrashing(socket)) {
						this.crashingRequests++;
						continue;
					}
					socket.getOutputStream()
						.write("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 5\r\n\r\nsound"
							.getBytes(StandardCharsets.ISO_8859_1));
				}
				catch (IOException ex) {
					// The other side has closed the connection, or the test has ended.
				}
			}
		}

		private static boolean isCrashing(Socket socket) throws IOException {
			StringBuilder request = new StringBuilder();
			while (!request.toString().endsWith("\r\n\r\ncrash") && !request.toString().endsWith("\r\n\r\nsound")) {
				int next = socket.getInputStream().read();
				if (next < 0) {
					throw new IOException("closed");
				}
				request.append((char) next);
			}
			return request.toString().endsWith("crash");
		}

		void close() throws IOException {
			this.server.close();
		}

	}

}
