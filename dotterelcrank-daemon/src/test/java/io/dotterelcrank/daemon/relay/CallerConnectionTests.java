package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of when callers' connections end, over sockets: a request that was read has a
 * response, and if not, a log line says why.
 */
class CallerConnectionTests {

	private static final String RESPONSE = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";

	private final AtomicLong advancedMillis = new AtomicLong();

	/** Unlike a manual clock it lets timeouts of the relay pass. */
	private final Clock clock = () -> Clock.system().millis() + this.advancedMillis.get();

	private final Logger logger = (Logger) LoggerFactory.getLogger(CallerConnection.class);

	private final List<String> lines = new CopyOnWriteArrayList<>();

	private final AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {

		@Override
		protected void append(ILoggingEvent event) {
			CallerConnectionTests.this.lines.add(event.getFormattedMessage());
		}

	};

	private RelayServerFixture fixture;

	private Socket socket;

	private CallerReader caller;

	@BeforeEach
	void start() throws Exception {
		this.appender.start();
		this.logger.addAppender(this.appender);
		this.logger.setLevel(Level.INFO);
		this.fixture = RelayServerFixture.start(new TestMessageMapper(), this.clock);
		this.socket = this.fixture.connect();
		this.caller = CallerReader.of(this.socket);
	}

	@AfterEach
	void stop() throws IOException {
		this.logger.detachAppender(this.appender);
		this.logger.setLevel(null);
		this.socket.close();
		this.fixture.close();
	}

	private static String request(String line, String id, String body) {
		return line + " HTTP/1.1\r\nHost: a\r\nId: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private void assertServed(String request) throws IOException {
		this.fixture.target().respondWith(RESPONSE);
		this.caller.send(request);
		assertThat(this.caller.read(false)).isEqualTo("200 s ok");
	}

	private void sweep() throws InterruptedException {
		this.fixture.loop().submit(this.fixture.server()::closeTimedOut).sync();
	}

	private String awaitLine() {
		while (this.lines.isEmpty()) {
			Thread.onSpinWait();
		}
		return this.lines.get(0);
	}

	@Test
	void callerThatLeavesDuringItsRequestIsLogged() throws Exception {
		this.caller.send(request("POST /order/x", "7", "b"));
		while (this.fixture.target().requests().isEmpty()) {
			Thread.onSpinWait();
		}
		this.socket.close();
		assertThat(awaitLine()).startsWith("DC904 request=7 of caller=")
			.contains("read=\"whole\" cause=\"the caller closed it\"");
	}

	@ParameterizedTest
	@CsvSource({ "POST /order/x HTTP/1.1|Host: a, '', part of the head, its head was not complete in time",
			"POST /order/x HTTP/1.1|Host: a|Id: 7|Content-Length: 5||bo, 7, head and 2 bytes of the body, the caller closed it" })
	void closeOfARequestThatIsReadInPartIsLogged(String beginning, String id, String read, String cause)
			throws Exception {
		this.caller.send(beginning.replace("|", "\r\n"));
		while (!cause.equals("the caller closed it") && this.lines.isEmpty()) {
			this.advancedMillis.addAndGet(100);
			sweep();
		}
		this.socket.shutdownOutput();
		assertThat(awaitLine()).startsWith("DC904 request=" + id + " of caller=")
			.contains("read=\"" + read + "\" cause=\"" + cause + "\"");
	}

	@Test
	void requestBehindTheLastResponseIsLogged() throws Exception {
		this.fixture.target().respondWith(RESPONSE);
		this.caller.send(request("GET /lookup/x", "1", "").replace("Host: a", "Host: a\r\nConnection: close")
				+ request("GET /lookup/y", "2", ""));
		assertThat(this.caller.read(false)).isEqualTo("200 s ok");
		assertThat(awaitLine()).startsWith("DC904 request=2 of caller=").contains("read=\"pipelined\"");
	}

	@Test
	void callersWithoutAnOpenRequestAreNotLogged() throws Exception {
		this.fixture.connect().close();
		assertServed(request("GET /lookup/x", "1", ""));
		this.advancedMillis.addAndGet(16_000);
		while (this.socket.getInputStream().read() >= 0) {
			Thread.onSpinWait();
		}
		sweep();
		assertThat(this.lines).isEmpty();
	}

}
