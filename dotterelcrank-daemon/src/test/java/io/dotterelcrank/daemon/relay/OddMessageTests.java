package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.connection.Clearance;
import io.dotterelcrank.connection.CrashReport;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.EngineSpeed;
import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.process.membership.TargetRegistration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An entry daemon that gets odd messages of sidecars and peers while the store is
 * unreachable: none stops it from using the sound ones.
 */
class OddMessageTests {

	/** Time in which the state must be as expected, in milliseconds; far above usual. */
	private static final long WAIT_MILLIS = 10_000;

	/** Addresses that are none. */
	private static final List<String> ADDRESSES = List.of("", ":", "x", "worker.invalid:80", "localhost:80",
			"127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:99999999999999999999", "[::1]:80",
			"127.0.0.256:80", "0.0.0.0:80", "{".repeat(100_000));

	private final Transport transport = Transport.overTcp(() -> 0);

	private RelayEntryDaemon daemon;

	private int metricsPort;

	private Link link;

	@BeforeEach
	void start() throws Exception {
		int peerPort = freePort();
		this.metricsPort = freePort();
		Map<String, String> settings = new HashMap<>();
		Map.of("NAME", "e", "DATA_CENTRE", "dc", "IP", "127.0.0.1", "CALLERS", "127.0.0.1:" + freePort(), "READY",
				"127.0.0.1:" + freePort(), "PEERS", "127.0.0.1:" + peerPort, "STORE", "127.0.0.1:1", "METRICS_PORT",
				"" + this.metricsPort, "EXPOSED_SHARE", "0.1", "ROLLBACK_MILLIS", "3000")
			.forEach((name, value) -> settings.put("DOTTERELCRANK_" + name, value));
		this.daemon = RelayEntryDaemon.of(RelaySettingsReader.entry(settings), new DefectivePlatform());
		this.daemon.start();
		this.link = this.transport.open(new InetSocketAddress("127.0.0.1", peerPort), new Ignored());
	}

	@AfterEach
	void stop() {
		this.transport.close();
		this.daemon.kill();
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	private String awaitState(String... contents) throws Exception {
		long until = System.nanoTime() + 1_000_000 * WAIT_MILLIS;
		String state = state();
		while (!Arrays.stream(contents).allMatch(state::contains) && System.nanoTime() < until) {
			Thread.sleep(20);
			state = state();
		}
		return state;
	}

	private String state() throws IOException {
		HttpURLConnection connection = (HttpURLConnection) URI.create("http://127.0.0.1:" + this.metricsPort + "/state")
			.toURL()
			.openConnection();
		return new String(connection.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
	}

	private static EngineLoad load(String id, String address, long number) {
		return new EngineLoad(id, "s", "dc", address, 1, (int) number, (int) number, number, number, number, false,
				number, number, new EngineSpeed(Double.NaN, Double.POSITIVE_INFINITY, -1, 1e300));
	}

	/** A name that is not found ended each later update of the targets. */
	@Test
	void loadReportWithAnAddressThatIsNoneDoesNotHideOthers() throws Exception {
		// Reports of one engine are passed on at intervals.
		ADDRESSES.forEach((address) -> this.link
			.send(new Message.EngineLoadReport(load("odd" + address.hashCode(), address, 1), true)));
		this.link.send(new Message.EngineLoadReport(load("sound", "127.0.0.1:9", 1), false));
		assertThat(awaitState("id=sound")).contains("id=sound").doesNotContain("id=odd");
		for (long number : new long[] { Long.MIN_VALUE, -1, Long.MAX_VALUE }) {
			this.link.send(new Message.EngineLoadReport(load("sound", "127.0.0.1:9", number), false));
			this.link.send(new Message.AdmissionResponse(number, true, load("sound", "127.0.0.1:9", number)));
		}
		this.link.send(new Message.EngineLoadReport(load("later", "127.0.0.1:10", 1), false));
		assertThat(awaitState("id=later")).contains("id=later");
	}

	/** Sound records after one whose decoder fails in an unexpected way were lost. */
	@Test
	void recordOfAPeerThatMeetsADefectDoesNotHideThoseAfterIt() throws Exception {
		for (String table : List.of("targets", "operators", "members")) {
			List<KeyedRecord> records = Stream.of("first", "malformed", "defect", "overflow", "linkage", "last")
				.map((key) -> new KeyedRecord(key, key.length(), "127.0.0.2:9 dc".getBytes(StandardCharsets.UTF_8)))
				.toList();
			this.link.send(new Message.RecordsPush("p", table, 0, 100, 0, records, 0, 0));
		}
		assertThat(awaitState("id=first", "id=last")).contains("id=first").contains("id=last");
	}

	@Test
	void oddMessagesOfPeersDoNotEndTheirHandling() throws Exception {
		this.link.send(new Message.RecordsPush("", "unheard", -1, -1, -1, List.of(), -1, -1));
		this.link.send(new Message.RecordsPush("p", "targets", Long.MAX_VALUE, Long.MAX_VALUE, Long.MIN_VALUE,
				List.of(new KeyedRecord("", -1, new byte[0]), new KeyedRecord("k".repeat(255), 1, new byte[262_144])),
				0, Long.MIN_VALUE));
		this.link.send(new Message.RecordsRequest("", Long.MIN_VALUE, -1L));
		this.link.send(new Message.RecordsRequest(null, Long.MAX_VALUE, Long.MAX_VALUE));
		this.link.send(new Message.RecordsPushAck("targets", Long.MAX_VALUE, Long.MAX_VALUE));
		this.link.send(new Message.RetryLoanRequest(null));
		for (double rate : new double[] { Double.NaN, Double.POSITIVE_INFINITY, -1, 0, Double.MIN_VALUE, 1e300 }) {
			this.link.send(new Message.RatePermitRequest("t", true, rate, Long.MIN_VALUE));
			this.link.send(new Message.RatePermitRequest(null, true, rate, Long.MAX_VALUE));
		}
		this.link.send(new Message.CrashEvidence(null, null, true, true));
		this.link.send(new Message.CrashEvidence(List.of(new CrashReport(null, Long.MAX_VALUE, Long.MIN_VALUE, null)),
				List.of(new Clearance(null, Long.MIN_VALUE)), true, true));
		for (int stage : new int[] { Integer.MIN_VALUE, -1, 9, Integer.MAX_VALUE }) {
			this.link.send(new Message.RolloutEvidence(null, Long.MAX_VALUE, "s", Long.MIN_VALUE, Long.MIN_VALUE, stage,
					stage, Long.MIN_VALUE, Long.MAX_VALUE, null));
		}
		this.link.send(new Message.EngineLoadReport(load("sound", "127.0.0.1:9", 1), false));
		assertThat(awaitState("id=sound")).contains("id=sound");
	}

	/**
	 * A platform whose decoder fails for some keys.
	 */
	private static final class DefectivePlatform extends UnreachablePlatform {

		@Override
		public TargetRegistration decodeRegistration(KeyedRecord record) throws PlatformException {
			fail(record.key());
			return new TargetRegistration(record.key(), "s", new InetSocketAddress("127.0.0.1", 9), "dc", 1, false, 0,
					1, 1);
		}

		@Override
		public OperatorRecord decodeOperatorRecord(KeyedRecord record) {
			if (!record.key().equals("malformed")) {
				try {
					fail(record.key());
				}
				catch (PlatformException ex) {
					throw new IllegalStateException(ex);
				}
			}
			return new Unrelated();
		}

		private static void fail(String key) throws PlatformException {
			switch (key) {
				case "malformed" -> throw new PlatformException("odd");
				case "defect" -> throw new IllegalStateException("odd");
				case "overflow" -> throw new StackOverflowError();
				case "linkage" -> throw new NoClassDefFoundError("odd");
				default -> {
				}
			}
		}

	}

	/**
	 * Ignores all messages.
	 */
	private static final class Ignored implements Link.Listener {

		@Override
		public void opened(Link openedLink) {
			// The link queues messages sent before it is open.
		}

		@Override
		public void received(Link sender, long version, Message message) {
			// Only the state of the daemon is checked.
		}

		@Override
		public void writable(Link writableLink) {
			// Messages are small, so no flow control.
		}

		@Override
		public void closed(Link closedLink) {
			// The test has ended.
		}

	}

}
