package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.connection.Clearance;
import io.dotterelcrank.connection.CrashReport;
import io.dotterelcrank.connection.CrashSuspect;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the messages that {@link RelayEntryDaemon} sends to peers and sidecars while
 * the store is unreachable.
 */
class RelayEntryDaemonTests {

	/** Timeout for a message, in seconds; far above the usual time. */
	private static final long WAIT_SECONDS = 20;

	private final Transport transport = Transport.overTcp(() -> 0);

	private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();

	private RelayEntryDaemon daemon;

	private Link link;

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	@BeforeEach
	void start() throws Exception {
		int peerPort = freePort();
		this.daemon = RelayEntryDaemon.of(
				RelaySettingsReader.entry(Map.of("DOTTERELCRANK_FIRST_START", "yes", "DOTTERELCRANK_NAME", "e",
						"DOTTERELCRANK_DATA_CENTRE", "dc", "DOTTERELCRANK_IP", "127.0.0.1", "DOTTERELCRANK_CALLERS",
						"127.0.0.1:" + freePort(), "DOTTERELCRANK_READY", "127.0.0.1:" + freePort(),
						"DOTTERELCRANK_PEERS", "127.0.0.1:" + peerPort, "DOTTERELCRANK_STORE", "127.0.0.1:1")),
				new UnreachablePlatform());
		this.daemon.start();
		this.link = this.transport.open(new InetSocketAddress("127.0.0.1", peerPort), new Listener());
	}

	@AfterEach
	void stop() {
		this.transport.close();
		this.daemon.kill();
	}

	@Test
	void loadReportIsAcknowledgedOnRequest() throws Exception {
		EngineLoad load = new EngineLoad("i", "s", "dc", "10.0.0.1:80", 1, 0, 0, 0, 0, 10, false, -1, 0);
		this.link.send(new Message.EngineLoadReport(load, false));
		this.link.send(new Message.EngineLoadReport(load, true));
		assertThat(this.received.poll(WAIT_SECONDS, TimeUnit.SECONDS))
			.isEqualTo(new Message.EngineLoadAck("10.0.0.1:80"));
		assertThat(this.received).isEmpty();
	}

	@Test
	void recordsResponseStatesTheAgeOfTheRecords() throws Exception {
		this.link.send(new Message.RecordsRequest("operators", 0, 0L));
		Message.RecordsResponse response = (Message.RecordsResponse) this.received.poll(WAIT_SECONDS, TimeUnit.SECONDS);
		assertThat(response.records()).isEmpty();
		assertThat(response.ageMillis()).isEqualTo(Integer.MAX_VALUE);
	}

	@Test
	void ratePermitsAreIssuedToOtherHosts() throws Exception {
		this.link.send(new Message.RatePermitRequest("t", true, 0.5, 0));
		this.link.send(new Message.RatePermitRequest("t", true, 0.5, 0));
		assertThat(this.received.poll(WAIT_SECONDS, TimeUnit.SECONDS))
			.isEqualTo(new Message.RatePermit("t", true, true, 0));
		assertThat(this.received.poll(WAIT_SECONDS, TimeUnit.SECONDS))
			.isEqualTo(new Message.RatePermit("t", false, true, 2_000));
	}

	@Test
	void evidenceOfCrashesIsSentToHostsThatAsk() throws Exception {
		CrashReport report = new CrashReport("t", 10, -1, List.of(new CrashSuspect("r", List.of("first", "bad"))));
		this.link.send(new Message.CrashEvidence(List.of(report), List.of(new Clearance("first", 5)), true, false));
		Message.CrashEvidence reply = (Message.CrashEvidence) this.received.poll(WAIT_SECONDS, TimeUnit.SECONDS);
		assertThat(reply.crashes()).extracting(CrashReport::suspects).containsExactly(report.suspects());
		assertThat(reply.clearances()).extracting(Clearance::key).containsExactly("first");
	}

	/** The link was closed, and with it that to the sidecar of a sound engine. */
	@Test
	void messageThatMeetsADefectDoesNotCloseItsLink() throws Exception {
		this.link.send(new Message.EngineLoadReport(null, true));
		this.link.send(new Message.RetryLoanRequest("s"));
		assertThat(this.received.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isInstanceOf(Message.RetryLoan.class);
	}

	/**
	 * Collects the messages of the daemon.
	 */
	private final class Listener implements Link.Listener {

		@Override
		public void opened(Link openedLink) {
			// The link queues messages sent before it is open.
		}

		@Override
		public void received(Link sender, long version, Message message) {
			RelayEntryDaemonTests.this.received.add(message);
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
