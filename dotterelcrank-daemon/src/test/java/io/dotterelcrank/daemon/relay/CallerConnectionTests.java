package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.process.relay.TargetClient;
import io.dotterelcrank.process.relay.TargetRequest;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.plan.CallerLimits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of when callers' connections end, over sockets: a request that was read has a
 * response, and if not, a log line says why.
 */
class CallerConnectionTests {

	private static final String EVENT_STREAM_HEAD = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n"
			+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static final String EVENT = "f\r\nid: 1\ndata: x\n\n\r\n";

	private static final String RESPONSE = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";

	/** Time without a byte after which a read of a caller fails, in milliseconds. */
	private static final int READ_TIMEOUT_MILLIS = 10_000;

	private final AtomicLong advancedMillis = new AtomicLong();

	/** Unlike a manual clock it lets timeouts of the relay pass. */
	private final Clock clock = () -> Clock.system().millis() + this.advancedMillis.get();

	private final Logger logger = (Logger) LoggerFactory.getLogger(CallerConnection.class.getPackageName());

	private final List<String> lines = new CopyOnWriteArrayList<>();

	private final AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {

		@Override
		protected void append(ILoggingEvent event) {
			CallerConnectionTests.this.lines.add(event.getFormattedMessage());
		}

	};

	private final FaultyMessageMapper mapper = new FaultyMessageMapper();

	private RelayServerFixture fixture;

	private Socket socket;

	private CallerReader caller;

	@BeforeEach
	void start() throws Exception {
		this.appender.start();
		this.logger.addAppender(this.appender);
		this.logger.setLevel(Level.INFO);
		this.fixture = RelayServerFixture.start(this.mapper, this.clock);
		this.socket = this.fixture.connect();
		this.socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		this.caller = CallerReader.of(this.socket);
	}

	@AfterEach
	void stop() throws IOException {
		this.socket.close();
		this.fixture.close();
		this.logger.detachAppender(this.appender);
		this.logger.setLevel(null);
	}

	private static String request(String line, String id, String body) {
		return line + " HTTP/1.1\r\nHost: a\r\nId: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private void assertServed(String request) throws IOException {
		this.fixture.target().respondWith(RESPONSE);
		this.caller.send(request);
		assertThat(this.caller.read(false)).isEqualTo("200 s ok");
		awaitLoop();
	}

	/** The response may be read before the server has noticed that it is sent. */
	private void awaitLoop() {
		this.fixture.loop().submit(() -> {
		}).syncUninterruptibly();
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

	@ParameterizedTest
	@ValueSource(strings = { "1", "2" })
	void requestThatCannotBeReadIsAnswered(String unreadable) throws Exception {
		this.mapper.onRequest = (id) -> {
			if (id.equals(unreadable)) {
				throw new StackOverflowError();
			}
		};
		this.fixture.target().respondWith(RESPONSE.replace("Id: 1", unreadable.equals("1") ? "Id: 2" : "Id: 1"));
		this.caller.send(request("GET /lookup/x", "1", "") + request("GET /lookup/y", "2", ""));
		if (unreadable.equals("2")) {
			assertThat(this.caller.read(false)).isEqualTo("200 s ok");
		}
		assertThat(this.caller.read(false)).startsWith("500 ").contains("\"ran\":\"no\"");
		assertThat(awaitLine()).startsWith("DC880 request=" + unreadable + " ");
		if (unreadable.equals("1")) {
			assertThat(this.caller.read(false)).isEqualTo("200 s ok");
		}
	}

	@Test
	void requestThatCannotBeRelayedIsAnswered() throws Exception {
		this.mapper.readsNothing = true;
		this.caller.send(request("POST /order/x", "1", "b"));
		assertThat(this.caller.read(false)).startsWith("500 ").contains("\"ran\":\"unknown\"");
	}

	@Test
	void requestWhoseSendMeetsAnErrorIsAnswered() throws Exception {
		this.mapper.onSend = () -> {
			throw new StackOverflowError();
		};
		this.caller.send(request("POST /order/x", "1", "b"));
		assertThat(this.caller.read(false)).matches("50[024] .*");
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 80 })
	void requestThatIsReadInPartIsAnsweredAfterADefect(int length) throws Exception {
		String request = request("POST /order/x", "1", "b".repeat(100));
		this.caller.send(request.substring(0, length));
		Thread.sleep(50);
		this.fixture.withdrawLimits();
		this.caller.send(request.substring(length));
		assertThat(this.caller.read(false)).startsWith("500 ").contains("\"ran\":\"no\"");
		assertThat(this.caller.read(false)).isEqualTo("closed");
	}

	@Test
	void requestThatIsBeingServedIsAnsweredThoughTheNextOneMeetsADefect() throws Exception {
		this.caller.send(request("POST /order/x", "1", "b"));
		while (this.fixture.target().requests().isEmpty()) {
			Thread.onSpinWait();
		}
		this.fixture.withdrawLimits();
		this.caller.send(request("POST /order/y", "2", "b"));
		Thread.sleep(50);
		this.fixture.target().respondWith(RESPONSE);
		assertThat(this.caller.read(false)).isEqualTo("200 s ok");
		assertThat(this.caller.read(false)).isEqualTo("closed");
	}

	@Test
	void defectOfOneConnectionDoesNotEndTheChecksOfTheOthers() throws Exception {
		this.mapper.onDeadline = () -> {
			throw new IllegalStateException("no deadline");
		};
		String request = request("POST /order/x", "1", "bb");
		this.caller.send(request.substring(0, request.length() - 1));
		assertThat(this.caller.read(false)).startsWith("500 ").contains("\"ran\":\"no\"");
		try (Socket idle = this.fixture.connect()) {
			Thread.sleep(50);
			this.advancedMillis.addAndGet(16_000);
			assertThat(idle.getInputStream().read()).isEqualTo(-1);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "POST /order/x", "GET /lookup/x", "POST /stream/x" })
	void responseThatCannotBeEncodedIsReplacedByAnError(String line) throws Exception {
		this.mapper.responseHeader = new Header("not a name", "x");
		boolean stream = line.contains("stream");
		this.fixture.target().respondWith(stream ? EVENT_STREAM_HEAD + EVENT + "0\r\n\r\n" : RESPONSE);
		this.caller.send(request(line, "1", ""));
		assertThat(this.caller.read(false)).startsWith("500 ").contains("\"ran\":\"unknown\"");
		this.mapper.responseHeader = null;
		assertServed(request("GET /lookup/x", "1", ""));
	}

	@Test
	void errorThatCannotBeEncodedIsReplacedByAnother() throws Exception {
		this.mapper.onFailure = () -> {
			throw new IllegalStateException("no headers");
		};
		this.caller.send(request("GET /unknown", "1", ""));
		assertThat(this.caller.read(false)).startsWith("500 ");
	}

	@Test
	void connectionThatIsAnnouncedAsKeptIsKeptThoughTheServerCloses() throws Exception {
		this.mapper.onResponse = () -> {
			this.mapper.onResponse = () -> {
			};
			this.fixture.loop().execute(this.fixture.server()::closeAfterResponses);
		};
		this.fixture.target().respondWith(EVENT_STREAM_HEAD + EVENT + ScriptedTarget.PAUSE + "0\r\n\r\n");
		this.caller.send(request("POST /stream/x", "1", "b"));
		assertThat(this.caller.read(false)).startsWith("200 s id: 1");
		assertServed(request("GET /lookup/x", "1", ""));
		assertThat(this.caller.read(false)).isEqualTo("closed");
	}

	@ParameterizedTest
	@ValueSource(ints = { 10, 60 })
	void nextRequestThatIsReadInPartIsNotCutOffByAPlannedStop(int length) throws Exception {
		String next = request("POST /order/y", "1", "body");
		assertServed(request("GET /lookup/x", "1", "") + next.substring(0, length));
		assertThat(this.fixture.loop().submit(this.fixture.server()::closeIfIdle).get()).isFalse();
		Thread.sleep(50);
		assertThat(this.fixture.loop().submit(this.fixture.server()::closeIfIdle).get()).isFalse();
		assertServed(next.substring(length));
	}

	@Test
	void nextRequestThatIsReadInPartIsNotIdle() throws Exception {
		String next = request("POST /order/y", "1", "body").replace("Host: a", "Host: a\r\nWait: 60000");
		assertServed(request("GET /lookup/x", "1", "") + next.substring(0, next.length() - 2));
		this.advancedMillis.addAndGet(16_000);
		sweep();
		sweep();
		assertServed(next.substring(next.length() - 2));
	}

	@Test
	void pipelinedRequestIsNotCutOffBetweenTwoRequests() throws Exception {
		this.mapper.onResponse = () -> {
			this.advancedMillis.addAndGet(4_000);
			this.fixture.loop().execute(this.fixture.server()::closeTimedOut);
			this.fixture.loop().execute(this.fixture.server()::closeIfIdle);
			this.mapper.onResponse = () -> {
			};
		};
		this.caller.send(request("GET /lookup/x", "1", ""));
		while (this.fixture.target().requests().isEmpty()) {
			Thread.onSpinWait();
		}
		this.caller.send(request("POST /order/y", "1", "body").replace("Host: a", "Host: a\r\nWait: 60000"));
		Thread.sleep(50);
		this.fixture.target().respondWith(RESPONSE);
		this.fixture.target().respondWith(RESPONSE);
		assertThat(this.caller.read(false)).isEqualTo("200 s ok");
		assertThat(this.caller.read(false)).isEqualTo("200 s ok");
	}

	@Test
	void connectionMayBeReusedAfterALowerIdleTimeoutForAsLongAsBefore() throws Exception {
		assertServed(request("GET /lookup/x", "1", ""));
		this.fixture.putInForce(new CallerLimits(2_000, 10_000, 3_000, 5_000));
		this.advancedMillis.addAndGet(12_000);
		sweep();
		sweep();
		assertServed(request("GET /lookup/x", "1", ""));
		this.advancedMillis.addAndGet(6_000);
		assertThat(this.socket.getInputStream().read()).isEqualTo(-1);
	}

	@Test
	void raisedIdleTimeoutIsInForceAtOnce() throws Exception {
		this.fixture.putInForce(new CallerLimits(2_000, 10_000, 3_000, 5_000));
		assertServed(request("GET /lookup/x", "1", ""));
		this.fixture.putInForce(new CallerLimits(2_000, 10_000, 3_000, 15_000));
		this.advancedMillis.addAndGet(12_000);
		sweep();
		sweep();
		assertServed(request("GET /lookup/x", "1", ""));
	}

	@Test
	void pipelinedRequestsAreAnsweredThoughTheServerCloses() throws Exception {
		this.fixture.loop().submit(this.fixture.server()::closeAfterResponses).sync();
		this.fixture.target().respondWith(RESPONSE);
		this.fixture.target().respondWith(RESPONSE);
		this.caller.send(request("GET /lookup/x", "1", "") + request("GET /lookup/y", "1", ""));
		assertThat(this.caller.read(false)).isEqualTo("200 s ok");
		assertThat(this.caller.read(false)).isEqualTo("200 s ok");
		assertThat(this.caller.read(false)).isEqualTo("closed");
	}

	@ParameterizedTest
	@ValueSource(strings = { "idle", "stop" })
	void requestThatHasArrivedButIsUnreadIsNotCutOff(String close) throws Exception {
		assertServed(request("GET /lookup/x", "1", ""));
		this.fixture.target().respondWith(RESPONSE);
		this.fixture.loop().submit(() -> {
			this.caller.send(request("POST /order/y", "1", "b"));
			this.advancedMillis.addAndGet(close.equals("idle") ? 16_000 : 0);
			if (close.equals("idle")) {
				this.fixture.server().closeTimedOut();
			}
			else {
				this.fixture.server().closeIfIdle();
			}
			return null;
		}).sync();
		assertThat(this.caller.read(false)).isEqualTo("200 s ok");
	}

	/** Its head counted as late though the rest had arrived. */
	@Test
	void headWhoseRestHasArrivedButIsUnreadIsNotCutOff() throws Exception {
		String next = request("GET /lookup/y", "1", "");
		assertServed(request("GET /lookup/x", "1", "") + next.substring(0, 10));
		this.fixture.target().respondWith(RESPONSE);
		this.fixture.loop().submit(() -> {
			this.caller.send(next.substring(10));
			this.advancedMillis.addAndGet(4_000);
			this.fixture.server().closeTimedOut();
			return null;
		}).sync();
		assertThat(this.caller.read(false)).isEqualTo("200 s ok");
	}

	/** Connections that the kernel had accepted were reset with the listener. */
	@Test
	void requestOnAConnectionThatIsNotYetAcceptedIsAnswered() throws Exception {
		this.socket.close();
		this.fixture.target().respondWith(RESPONSE);
		try (Socket last = this.fixture.loop().submit(() -> {
			Socket arrived = this.fixture.connect();
			CallerReader.of(arrived).send(request("POST /order/y", "1", "b"));
			assertThat(this.fixture.server().closeIfIdle()).isFalse();
			return arrived;
		}).get()) {
			last.setSoTimeout(READ_TIMEOUT_MILLIS);
			assertThat(CallerReader.of(last).read(false)).isEqualTo("200 s ok");
		}
	}

	/**
	 * Throws, or returns what cannot be used, where a test says so.
	 */
	private static final class FaultyMessageMapper extends TestMessageMapper {

		private volatile Consumer<String> onRequest = (id) -> {
		};

		private volatile Runnable onSend = () -> {
		};

		private volatile Runnable onResponse = () -> {
		};

		private volatile Runnable onFailure = () -> {
		};

		private volatile Runnable onDeadline = () -> {
		};

		private volatile boolean readsNothing;

		private volatile Header responseHeader;

		@Override
		public CallerRequest readRequest(HttpRequest head, byte[] body, long arrivedMillis) {
			this.onRequest.accept(requestId(head));
			return this.readsNothing ? null : super.readRequest(head, body, arrivedMillis);
		}

		@Override
		public long deadlineMillis(HttpRequest head) {
			this.onDeadline.run();
			return super.deadlineMillis(head);
		}

		@Override
		public HttpHeaders targetHeaders(TargetRequest request) {
			this.onSend.run();
			return super.targetHeaders(request);
		}

		@Override
		public TargetClient.ResponseHead readResponseHead(HttpResponse response, TargetRequest request)
				throws RequestException {
			this.onResponse.run();
			TargetClient.ResponseHead head = super.readResponseHead(response, request);
			return (this.responseHeader != null) ? new TargetClient.ResponseHead(head.status(),
					List.of(this.responseHeader), head.ran(), head.misdirected(), head.confirmed(), head.eventStream(),
					head.requestLimit(), head.leaving(), head.pauseMillis()) : head;
		}

		@Override
		public List<Header> failureHeaders(Failure failure) {
			this.onFailure.run();
			return super.failureHeaders(failure);
		}

	}

}
