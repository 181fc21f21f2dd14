package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.replica.KeyedTableStore;
import io.dotterelcrank.process.rollout.RolloutOrder;
import io.dotterelcrank.version.plan.CallerLimits;
import io.dotterelcrank.version.plan.RequestKind;
import io.dotterelcrank.version.plan.Route;
import io.dotterelcrank.version.plan.ServiceSpec;
import io.dotterelcrank.version.plan.ServingPlan;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the first records that {@link RelayEntryDaemon} reads after its start.
 */
class RelayEntryDaemonStartTests {

	/** Time in which a request would be sent, in milliseconds; several polls. */
	private static final long OBSERVED_MILLIS = 400;

	/** Time from the listing of the targets to that of the operators' table. */
	private static final long LISTING_MILLIS = 50;

	private final CountDownLatch removalDecoded = new CountDownLatch(1);

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	@Test
	void firstPlanIsNotUsedBeforeTheDataCentresOutOfServiceAreKnown() throws Exception {
		int callerPort = freePort();
		try (ScriptedTarget target = new ScriptedTarget()) {
			target.respondWith("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n");
			RelayEntryDaemon daemon = RelayEntryDaemon.of(
					RelaySettingsReader.entry(Map.of("DOTTERELCRANK_NAME", "e", "DOTTERELCRANK_DATA_CENTRE", "dc",
							"DOTTERELCRANK_IP", "127.0.0.1", "DOTTERELCRANK_CALLERS", "127.0.0.1:" + callerPort,
							"DOTTERELCRANK_READY", "127.0.0.1:" + freePort(), "DOTTERELCRANK_PEERS",
							"127.0.0.1:" + freePort(), "DOTTERELCRANK_STORE", "127.0.0.1:1")),
					new ListedPlatform(target, new RelayPlatform.DataCentreChanged("dc", true)));
			daemon.start();
			try (Socket caller = new Socket("127.0.0.1", callerPort)) {
				caller.getOutputStream()
					.write("GET /order/1 HTTP/1.1\r\nHost: a\r\nId: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
				Thread.sleep(OBSERVED_MILLIS);
				this.removalDecoded.countDown();
				byte[] status = caller.getInputStream().readNBytes("HTTP/1.1 503".length());
				assertThat(new String(status, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 503");
			}
			finally {
				daemon.kill();
			}
			assertThat(target.requests()).isEmpty();
		}
	}

	/** The plan was not used until the next version came. */
	@Test
	void planIsUsedThoughAnOrderThatCameWithItHasMetADefect() throws Exception {
		this.removalDecoded.countDown();
		int callerPort = freePort();
		try (ScriptedTarget target = new ScriptedTarget()) {
			target.respondWith("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n");
			RelayEntryDaemon daemon = RelayEntryDaemon.of(
					RelaySettingsReader.entry(Map.of("DOTTERELCRANK_NAME", "e", "DOTTERELCRANK_DATA_CENTRE", "dc",
							"DOTTERELCRANK_IP", "127.0.0.1", "DOTTERELCRANK_CALLERS", "127.0.0.1:" + callerPort,
							"DOTTERELCRANK_READY", "127.0.0.1:" + freePort(), "DOTTERELCRANK_PEERS",
							"127.0.0.1:" + freePort(), "DOTTERELCRANK_STORE", "127.0.0.1:1",
							"DOTTERELCRANK_EXPOSED_SHARE", "0.1", "DOTTERELCRANK_ROLLBACK_MILLIS", "3000")),
					new ListedPlatform(target,
							new RelayPlatform.RolloutOrdered(new RolloutOrder("other", "v2", 60_000, 1))));
			boolean served = FailingLog.during(LogEvent.ROLLOUT_ORDERED, 1, StackOverflowError::new, () -> {
				daemon.start();
				long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
				boolean success = false;
				while (!success && System.nanoTime() < until) {
					success = status(callerPort).equals("HTTP/1.1 200");
				}
				return success;
			});
			daemon.kill();
			assertThat(served).isTrue();
		}
	}

	private static String status(int callerPort) throws IOException {
		try (Socket caller = new Socket("127.0.0.1", callerPort)) {
			caller.getOutputStream()
				.write("GET /order/1 HTTP/1.1\r\nHost: a\r\nId: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			byte[] status = caller.getInputStream().readNBytes("HTTP/1.1 503".length());
			return new String(status, StandardCharsets.US_ASCII);
		}
	}

	/**
	 * A platform that lists a plan, one target, and another record of the operators,
	 * which is decoded late.
	 */
	private final class ListedPlatform extends UnreachablePlatform {

		private final ScriptedTarget target;

		/** What the other record says. */
		private final OperatorRecord other;

		ListedPlatform(ScriptedTarget target, OperatorRecord other) {
			this.target = target;
			this.other = other;
		}

		@Override
		public KeyedTableStore store(PooledHttpClient client) {
			return new KeyedTableStore() {

				private final CompletableFuture<Void> targetsListed = new CompletableFuture<>();

				@Override
				public CompletableFuture<Batch> list(String table) {
					return switch (table) {
						case "operators" -> this.targetsListed.thenApplyAsync(
								(listed) -> new Batch(List.of(record("config", 0), record("out/dc", 1)), 2, false),
								afterTargets());
						case "targets" -> {
							this.targetsListed.complete(null);
							yield CompletableFuture.completedFuture(new Batch(List.of(record("t", 0)), 1, false));
						}
						default -> failed();
					};
				}

				@Override
				public CompletableFuture<Batch> read(String table, long fromOffset, long waitMillis) {
					return failed();
				}

				@Override
				public CompletableFuture<Void> put(String table, String key, byte[] value) {
					return failed();
				}

				@Override
				public CompletableFuture<Boolean> tryAppend(String table, long endOffset, String key, byte[] value) {
					return failed();
				}

			};
		}

		private static Executor afterTargets() {
			return CompletableFuture.delayedExecutor(LISTING_MILLIS, TimeUnit.MILLISECONDS);
		}

		private static KeyedRecord record(String key, long offset) {
			return new KeyedRecord(key, offset, new byte[0]);
		}

		@Override
		public OperatorRecord decodeOperatorRecord(KeyedRecord record) {
			if (record.key().equals("config")) {
				Route route = new Route("/order/", "a", "/order/", RequestKind.NON_IDEMPOTENT, 4_000, 3_000, 0,
						List.of(new Route.WeightedService("s", 1)), 1, true, 180, false);
				return new PlanPublished(ServingPlan.withoutWorkspaces(1, List.of(route),
						List.of(new ServiceSpec("s", 100, 0, Optional.empty())), CallerLimits.INITIAL));
			}
			try {
				RelayEntryDaemonStartTests.this.removalDecoded.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			return this.other;
		}

		@Override
		public TargetRegistration decodeRegistration(KeyedRecord record) throws PlatformException {
			return new TargetRegistration("t", "s", this.target.address(), "dc", 4, false, 0, 1, 1);
		}

	}

}
