package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests of the planned stop of a {@link RelayEntryDaemon}, over sockets, with a grace
 * period of a second.
 */
class RelayEntryDaemonStopTests {

	private static final int READ_TIMEOUT_MILLIS = 20_000;

	private RelayEntryDaemon daemon;

	private int callerPort;

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	@BeforeEach
	void start() throws Exception {
		this.callerPort = freePort();
		this.daemon = RelayEntryDaemon.of(RelaySettingsReader
			.entry(Map.of("DOTTERELCRANK_FIRST_START", "yes", "DOTTERELCRANK_NAME", "e", "DOTTERELCRANK_DATA_CENTRE",
					"dc", "DOTTERELCRANK_IP", "127.0.0.1", "DOTTERELCRANK_CALLERS", "127.0.0.1:" + this.callerPort,
					"DOTTERELCRANK_READY", "127.0.0.1:" + freePort(), "DOTTERELCRANK_PEERS", "127.0.0.1:" + freePort(),
					"DOTTERELCRANK_STORE", "127.0.0.1:1", "DOTTERELCRANK_GRACE_SECONDS", "3")),
				new UnreachablePlatform());
		this.daemon.start();
	}

	@AfterEach
	void kill() {
		this.daemon.kill();
	}

	@Test
	void hostWithoutRequestsClosesItsConnectionsAndEnds() throws Exception {
		try (Socket idle = new Socket("127.0.0.1", this.callerPort)) {
			idle.setSoTimeout(READ_TIMEOUT_MILLIS);
			this.daemon.stop();
			assertThat(idle.getInputStream().read()).isNegative();
		}
		assertConnectionsAreRefused();
	}

	private void assertConnectionsAreRefused() {
		assertThatExceptionOfType(ConnectException.class)
			.isThrownBy(() -> new Socket("127.0.0.1", this.callerPort).close());
	}

	/** Requests on connections that the kernel accepted were never read. */
	@Test
	void hostThatIsForcedToEndAcceptsNoConnectionThatItWouldNotRead() throws Exception {
		try (Socket slow = new Socket("127.0.0.1", this.callerPort)) {
			slow.getOutputStream().write("POST /order/1 HTTP/1.1\r\n".getBytes(StandardCharsets.ISO_8859_1));
			this.daemon.stop();
			assertConnectionsAreRefused();
		}
	}

	@Test
	void requestThatIsCompletedAfterTheForcedStopIsRefused() throws Exception {
		try (Socket slow = new Socket("127.0.0.1", this.callerPort)) {
			slow.getOutputStream().write("POST /order/1 HTTP/1.1\r\nHost: a\r\n".getBytes(StandardCharsets.ISO_8859_1));
			this.daemon.stop();
			slow.setSoTimeout(READ_TIMEOUT_MILLIS);
			slow.getOutputStream().write("Id: 1\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
			assertThat(new String(slow.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1))
				.startsWith("HTTP/1.1 503 ");
		}
	}

}
