package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.process.membership.Member;
import io.dotterelcrank.process.relay.EngineReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the links that a {@link RelaySidecarDaemon} opens while the store is
 * unreachable.
 */
class RelaySidecarDaemonTests {

	/** Timeout for a link, in seconds; far above the usual time. */
	private static final long WAIT_SECONDS = 20;

	private final Transport transport = Transport.overTcp(() -> 0);

	private final CountDownLatch linked = new CountDownLatch(1);

	private RelaySidecarDaemon daemon;

	@AfterEach
	void stop() {
		this.daemon.kill();
		this.transport.close();
	}

	/**
	 * Replays an engine that starts while the store is silent: its sidecar knows the
	 * seeds only, and half of the entry hosts are no seeds.
	 */
	@Test
	void entryHostThatIsNoSeedIsLearnedFromASeedWhileTheStoreIsUnreachable() throws Exception {
		InetSocketAddress loopback = new InetSocketAddress("127.0.0.1", 0);
		InetSocketAddress other = this.transport.listen(loopback,
				new Listener((link) -> this.linked.countDown(), (link, message) -> {
				}));
		Member member = new Member("b", other, "dc");
		InetSocketAddress seed = this.transport.listen(loopback, new Listener((link) -> {
		}, (link, message) -> {
			if (message instanceof Message.RecordsRequest request) {
				link.send(new Message.RecordsResponse(request.table(), 1, 0,
						List.of(new KeyedRecord(member.name(), 0, member.format().getBytes(StandardCharsets.UTF_8))), 0,
						0L));
			}
		}));
		this.daemon = RelaySidecarDaemon.of(RelaySettingsReader
			.sidecar(Map.of("DOTTERELCRANK_NAME", "s", "DOTTERELCRANK_DATA_CENTRE", "dc", "DOTTERELCRANK_IP",
					"127.0.0.2", "DOTTERELCRANK_ENGINE", "127.0.0.1:1", "DOTTERELCRANK_SERVICE", "bench",
					"DOTTERELCRANK_STORE", "127.0.0.1:1", "DOTTERELCRANK_SEEDS", "127.0.0.1:" + seed.getPort())),
				new UnreachablePlatform());
		this.daemon.start();
		assertThat(this.linked.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
	}

	/** The load was never read again, and entry hosts got no reports any more. */
	@Test
	void unexpectedErrorInAnEngineReportDoesNotEndTheReports() throws Exception {
		BlockingQueue<EngineLoad> loads = new LinkedBlockingQueue<>();
		InetSocketAddress seed = this.transport.listen(new InetSocketAddress("127.0.0.1", 0), new Listener((link) -> {
		}, (link, message) -> {
			if (message instanceof Message.EngineLoadReport report) {
				loads.add(report.load());
			}
		}));
		AtomicInteger polls = new AtomicInteger();
		startDaemon(seed, new UnreachablePlatform() {

			@Override
			public CompletableFuture<EngineReport> fetchEngineReport(PooledHttpClient client,
					InetSocketAddress engine) {
				int poll = polls.incrementAndGet();
				EngineLoad load = new EngineLoad("", "", "", "127.0.0.1:1", 1, poll, 0, 0, 0, 10, false, -1, -1);
				return switch (poll) {
					case 1 -> CompletableFuture.completedFuture(null);
					case 2 -> CompletableFuture.completedFuture(new EngineReport(null, List.of()));
					case 3 -> CompletableFuture.completedFuture(new EngineReport(load, null));
					case 4 -> throw new IllegalArgumentException("odd address");
					default -> CompletableFuture.completedFuture(new EngineReport(load, List.of()));
				};
			}

		});
		assertThat(loads.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isNotNull();
		assertThat(polls.get()).isGreaterThan(4);
	}

	/** Neither load nor id of the engine was read again after an error. */
	@Test
	void errorOfACallToTheEngineDoesNotEndTheReports() throws Exception {
		BlockingQueue<EngineLoad> loads = new LinkedBlockingQueue<>();
		InetSocketAddress seed = this.transport.listen(new InetSocketAddress("127.0.0.1", 0), new Listener((link) -> {
		}, (link, message) -> {
			if (message instanceof Message.EngineLoadReport report && !report.load().id().isEmpty()) {
				loads.add(report.load());
			}
		}));
		AtomicInteger polls = new AtomicInteger();
		AtomicInteger idReads = new AtomicInteger();
		startDaemon(seed, new UnreachablePlatform() {

			@Override
			public CompletableFuture<EngineReport> fetchEngineReport(PooledHttpClient client,
					InetSocketAddress engine) {
				int poll = polls.incrementAndGet();
				if (poll == 1) {
					throw new StackOverflowError();
				}
				return CompletableFuture.completedFuture(new EngineReport(
						new EngineLoad("", "", "", "127.0.0.1:1", 1, poll, 0, 0, 0, 10, false, -1, -1), List.of()));
			}

			@Override
			public CompletableFuture<String> fetchEngineId(PooledHttpClient client, InetSocketAddress engine) {
				if (idReads.incrementAndGet() == 1) {
					throw new StackOverflowError();
				}
				return CompletableFuture.completedFuture("i");
			}

		});
		assertThat(loads.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isNotNull();
	}

	/** Records of peers that are odd neither end the exchange nor hide sound ones. */
	@Test
	void entryHostIsLearnedFromASeedThoughOddOnesAreListedToo() throws Exception {
		InetSocketAddress loopback = new InetSocketAddress("127.0.0.1", 0);
		InetSocketAddress other = this.transport.listen(loopback,
				new Listener((link) -> this.linked.countDown(), (link, message) -> {
				}));
		String sound = new Member("b", other, "dc").format();
		AtomicInteger requests = new AtomicInteger();
		InetSocketAddress seed = this.transport.listen(loopback, new Listener((link) -> {
		}, (link, message) -> {
			if (message instanceof Message.RecordsRequest request) {
				List<KeyedRecord> records = (requests.incrementAndGet() == 1) ? null
						: List.of(member("entry.invalid:80 dc", 0), member("127.0.0.1:0 dc", 1),
								member("127.0.0.1:65536 dc", 2), member("{".repeat(100_000), 3), member("", 4),
								new KeyedRecord(null, 5, new byte[] { 1 }), member(sound, 6), member(":1", 7));
				link.send(new Message.RecordsResponse(request.table(), 8, 0, records, 0, 0L));
			}
		}));
		startDaemon(seed, new UnreachablePlatform());
		assertThat(this.linked.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
	}

	private static KeyedRecord member(String value, long offset) {
		return new KeyedRecord("m" + offset, offset, value.getBytes(StandardCharsets.UTF_8));
	}

	private void startDaemon(InetSocketAddress seed, RelayPlatform platform) throws Exception {
		this.daemon = RelaySidecarDaemon.of(RelaySettingsReader.sidecar(
				Map.of("DOTTERELCRANK_NAME", "s", "DOTTERELCRANK_DATA_CENTRE", "dc", "DOTTERELCRANK_IP", "127.0.0.2",
						"DOTTERELCRANK_ENGINE", "127.0.0.1:1", "DOTTERELCRANK_SERVICE", "bench", "DOTTERELCRANK_STORE",
						"127.0.0.1:1", "DOTTERELCRANK_SEEDS", "127.0.0.1:" + seed.getPort())),
				platform);
		this.daemon.start();
	}

	/**
	 * Listener of an entry host's links.
	 *
	 * @param onOpen handles an accepted link
	 * @param onMessage handles a message
	 */
	private record Listener(Consumer<Link> onOpen, BiConsumer<Link, Message> onMessage) implements Link.Listener {

		@Override
		public void opened(Link link) {
			this.onOpen.accept(link);
		}

		@Override
		public void received(Link link, long version, Message message) {
			this.onMessage.accept(link, message);
		}

		@Override
		public void writable(Link link) {
			// Messages are small.
		}

		@Override
		public void closed(Link link) {
			// Nothing is kept.
		}

	}

}
