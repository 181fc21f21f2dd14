package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.process.relay.TargetClient;
import io.dotterelcrank.process.relay.TargetRequest;
import io.dotterelcrank.request.RequestException;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of what callers see on their sockets of a request that meets an error.
 */
class RequestDefectSocketTests {

	private static final String RESPONSE = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";

	private static final int READ_TIMEOUT_MILLIS = 10_000;

	static Stream<Supplier<Error>> errors() {
		return Stream.of(StackOverflowError::new, InternalError::new, () -> new NoClassDefFoundError("X"));
	}

	private static String statusOf(RelayServerFixture server) throws IOException {
		try (Socket caller = server.connect()) {
			caller.setSoTimeout(READ_TIMEOUT_MILLIS);
			caller.getOutputStream()
				.write("GET /order/1 HTTP/1.1\r\nHost: a\r\nId: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			byte[] status = caller.getInputStream().readNBytes("HTTP/1.1 200".length());
			return new String(status, StandardCharsets.US_ASCII);
		}
	}

	/** The connection was closed. */
	@ParameterizedTest
	@MethodSource("errors")
	void errorWhileARequestIsSentIsAnswered(Supplier<Error> errors) throws Exception {
		try (RelayServerFixture server = RelayServerFixture.start(new TestMessageMapper() {

			@Override
			public HttpHeaders targetHeaders(TargetRequest request) {
				throw errors.get();
			}

		})) {
			assertThat(statusOf(server)).isEqualTo("HTTP/1.1 502");
		}
	}

	@ParameterizedTest
	@MethodSource("errors")
	void errorWhileAResponseIsReadIsAnswered(Supplier<Error> errors) throws Exception {
		try (RelayServerFixture server = RelayServerFixture.start(new TestMessageMapper() {

			@Override
			public TargetClient.ResponseHead readResponseHead(HttpResponse response, TargetRequest request)
					throws RequestException {
				throw errors.get();
			}

		})) {
			server.target().respondWith(RESPONSE);
			assertThat(statusOf(server)).isEqualTo("HTTP/1.1 502");
		}
	}

	/** The caller got nothing for as long as it waited. */
	@ParameterizedTest
	@MethodSource("errors")
	void responseIsSentThoughItsEndCannotBeLogged(Supplier<Error> errors) throws Exception {
		try (RelayServerFixture server = RelayServerFixture.start()) {
			server.target().respondWith(RESPONSE);
			assertThat(FailingLog.during(LogEvent.REQUEST_ENDED, 1, errors, () -> statusOf(server)))
				.isEqualTo("HTTP/1.1 200");
		}
	}

	@ParameterizedTest
	@MethodSource("errors")
	void deadlineIsReportedThoughTheEndCannotBeLogged(Supplier<Error> errors) throws Exception {
		try (RelayServerFixture server = RelayServerFixture.start(300)) {
			assertThat(FailingLog.during(LogEvent.REQUEST_ENDED, 1, errors, () -> statusOf(server)))
				.isEqualTo("HTTP/1.1 504");
		}
	}

}
