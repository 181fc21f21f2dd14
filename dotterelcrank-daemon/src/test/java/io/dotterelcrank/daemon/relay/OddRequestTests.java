package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.Socket;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of callers' connections over sockets: what belongs to one request reaches its
 * target as it is, and what is sent for one response is not cut off by what the
 * connection does next.
 */
class OddRequestTests {

	/** More than the kernel's buffers of both sides hold, in bytes. */
	private static final int LARGE_BYTES = 7 * 1024 * 1024;

	private static final String LARGE_RESPONSE = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: " + LARGE_BYTES
			+ "\r\n\r\n" + "x".repeat(LARGE_BYTES);

	private RelayServerFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = RelayServerFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private static String request(String line, String id, String body) {
		return line + " HTTP/1.1\r\nHost: a\r\nId: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private static String response(String id, String body) {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: s" + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
				+ body;
	}

	@Test
	void responseThatIsBeingSentIsNotCutOffByTheAbortOfTheNextOne() throws Exception {
		this.fixture.target().respondWith(LARGE_RESPONSE);
		this.fixture.target()
			.respondWith("HTTP/1.1 200 OK\r\nId: 2\r\nSeal: s\r\nContent-Type: text/event-stream\r\n"
					+ "Transfer-Encoding: chunked\r\n\r\n" + ScriptedTarget.CLOSE);
		try (Socket socket = this.fixture.connect()) {
			CallerReader caller = CallerReader.of(socket);
			caller.send(request("GET /lookup/x", "1", "") + request("POST /stream/x", "2", "b"));
			this.fixture.target().awaitScriptsWritten(2);
			Thread.sleep(200);
			assertThat(caller.read(false)).startsWith("200 s x").hasSize(6 + LARGE_BYTES);
			assertThat(caller.read(false)).isIn("cut ", "closed");
		}
	}

	@Test
	void responseThatIsBeingSentIsNotCutOffByTheRejectionOfTheNextRequest() throws Exception {
		this.fixture.target().respondWith(LARGE_RESPONSE);
		try (Socket socket = this.fixture.connect()) {
			CallerReader caller = CallerReader.of(socket);
			caller.send(request("GET /lookup/x", "1", "") + "POST /order/x HTTP/1.1\r\nContent-Length: x\r\n\r\n");
			this.fixture.target().awaitScriptsWritten(1);
			Thread.sleep(1_000);
			assertThat(caller.read(false)).startsWith("200 s x").hasSize(6 + LARGE_BYTES);
			assertThat(caller.read(false)).startsWith("400 ");
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 20_000, 400_000, 8_000_000 })
	void rejectionOfALargeBodyReachesACallerThatSendsItWhole(int length) throws Exception {
		try (Socket socket = this.fixture.connect()) {
			CallerReader caller = CallerReader.of(socket);
			for (String piece : request("POST /order/x", "1", "b".repeat(length)).split("(?<=\\G.{100000})")) {
				caller.send(piece);
			}
			assertThat(caller.read(false)).startsWith("413 ");
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "POST /order/x HTTP/1.1\r\nHost: a\r\nId: 1\r\nContent-Len",
			"POST /order/x HTTP/1.1\r\nHost: a\r\nId: 1\r\nContent-Length: 5\r\n\r\nbo",
			"POST /order/x HTTP/1.1\r\nHost: a\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
			"POST /order/x HTTP/1.1\r\nHost: a\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
			"POST /order/x HTTP/1.1\r\nHost: a\r\nId: 1\r\n" })
	void requestThatBreaksOffReachesNoTarget(String cut) throws Exception {
		try (Socket socket = this.fixture.connect()) {
			CallerReader caller = CallerReader.of(socket);
			caller.send(cut);
			socket.shutdownOutput();
			assertThat(caller.read(false)).isEqualTo("closed");
		}
		assertThat(this.fixture.target().requests()).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "/order/\u00e9x", "/order/x?q=\u00ff", "/order/\u00c3\u00a9", "/order/x?u=http://b", "/order/%C3%A9",
			"/order//x/../y", "'/order/\"<>{}|^`'", "/order/x#f", "/order/x\u0000\u007f" })
	void pathReachesTheTargetUnchanged(String path) throws Exception {
		this.fixture.target().respondWith(response("1", "ok"));
		try (Socket socket = this.fixture.connect()) {
			CallerReader caller = CallerReader.of(socket);
			caller.send(request("POST " + path, "1", "b"));
			assertThat(caller.read(false)).isEqualTo("200 s1 ok");
		}
		assertThat(this.fixture.target().requests().get(0)).startsWith("POST " + path + " HTTP/1.1\r\n");
	}

	/** A whole URI, which is valid HTTP/1.1, got 404. */
	@ParameterizedTest
	@CsvSource({ "http://a/order/x, /order/x", "HTTP://a/order/x?q=1, /order/x?q=1",
			"http://a:8740/order/x?u=http://b/, /order/x?u=http://b/", "http://a/order/%2F, /order/%2F" })
	void wholeUriIsServedLikeItsPath(String uri, String path) throws Exception {
		this.fixture.target().respondWith(response("1", "ok"));
		try (Socket socket = this.fixture.connect()) {
			CallerReader caller = CallerReader.of(socket);
			caller.send(request("POST " + uri, "1", "b").replace("Host: a", "Host: other"));
			assertThat(caller.read(false)).isEqualTo("200 s1 ok");
		}
		assertThat(this.fixture.target().requests().get(0)).startsWith("POST " + path + " HTTP/1.1\r\n")
			.contains("ost: a")
			.doesNotContain("other");
	}

	@ParameterizedTest
	@CsvSource({ "http:///order/x, 400", "http://, 400", "http://:80/order/x, 400", "http://u@a/order/x, 400",
			"http://b/order/x, 404", "http://a?/order/x, 404", "http://a, 404", "https://a/order/x, 404",
			"ftp://a/order/x, 404" })
	void uriThatNamesNoRouteReachesNoTarget(String uri, String status) throws Exception {
		try (Socket socket = this.fixture.connect()) {
			CallerReader caller = CallerReader.of(socket);
			caller.send(request("POST " + uri, "1", "b"));
			assertThat(caller.read(false)).startsWith(status + ' ');
		}
		assertThat(this.fixture.target().requests()).isEmpty();
	}

	@Test
	void wholeUriWithSeveralHostHeadersIsRejected() throws Exception {
		try (Socket socket = this.fixture.connect()) {
			CallerReader caller = CallerReader.of(socket);
			caller.send(request("POST http://a/order/x", "1", "b").replace("Host: a", "Host: a\r\nHost: b"));
			assertThat(caller.read(false)).startsWith("400 ");
		}
		assertThat(this.fixture.target().requests()).isEmpty();
	}

	@Test
	void headersReachTargetAndCallerUnchanged() throws Exception {
		this.fixture.target().respondWith(response("1", "ok").replace("Seal: s1", "Seal: s\u00e9"));
		try (Socket socket = this.fixture.connect()) {
			CallerReader caller = CallerReader.of(socket);
			caller.send(request("POST /order/x", "1", "b").replace("Host: a", "Host: a\r\nX: \u00e9"));
			assertThat(caller.read(false)).isEqualTo("200 s\u00e9 ok");
		}
		assertThat(this.fixture.target().requests().get(0)).contains("\r\nX: \u00e9\r\n");
	}

	@ParameterizedTest
	@ValueSource(strings = { "POST /order/x y HTTP/1.1", "POST /order/x\ty HTTP/1.1", "POST /order/x\u000by HTTP/1.1",
			"POST /order/x HTTP/1.1 x", "PO ST /order/x HTTP/1.1", "POST /order/x HTTP/1.1x", "POST /order/x",
			"P\u00e9ST /order/x HTTP/1.1" })
	void requestLineThatIsAmbiguousReachesNoTarget(String line) throws Exception {
		this.fixture.target().respondWith(response("1", "ok"));
		try (Socket socket = this.fixture.connect()) {
			CallerReader caller = CallerReader.of(socket);
			caller.send(line + "\r\nHost: a\r\nId: 1\r\nContent-Length: 0\r\n\r\n");
			assertThat(caller.read(false)).startsWith("400 ");
		}
		assertThat(this.fixture.target().requests()).isEmpty();
	}

	@Test
	void surplusBytesBehindARequestAreNoPartOfItOrOfAnother() throws Exception {
		this.fixture.target().respondWith(response("1", "first"));
		this.fixture.target().respondWith(response("2", "second"));
		try (Socket socket = this.fixture.connect()) {
			CallerReader caller = CallerReader.of(socket);
			caller.send("GET /lookup/x HTTP/1.1\r\nHost: a\r\nId: 1\r\n\r\nsurplus\r\n"
					+ request("GET /lookup/y", "2", ""));
			assertThat(caller.read(false)).isEqualTo("200 s1 first");
			assertThat(caller.read(false)).startsWith("400 ");
			assertThat(caller.read(false)).isEqualTo("closed");
		}
		assertThat(this.fixture.target().requests()).hasSize(1);
	}

	@Test
	void requestBehindARejectedOneIsNotServed() throws Exception {
		this.fixture.target().respondWith(response("1", "first"));
		try (Socket socket = this.fixture.connect()) {
			CallerReader caller = CallerReader.of(socket);
			caller.send("POST /order/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n"
					+ request("GET /lookup/y", "1", ""));
			assertThat(caller.read(false)).startsWith("400 ");
			assertThat(caller.read(false)).isEqualTo("closed");
		}
		assertThat(this.fixture.target().requests()).isEmpty();
	}

	@Test
	void requestsWithTheSameIdGetTheirOwnResponses() throws Exception {
		try (Socket one = this.fixture.connect(); Socket other = this.fixture.connect()) {
			CallerReader first = CallerReader.of(one);
			CallerReader second = CallerReader.of(other);
			first.send(request("GET /lookup/x", "1", ""));
			while (this.fixture.target().requests().isEmpty()) {
				Thread.onSpinWait();
			}
			second.send(request("POST /order/y", "1", "b"));
			while (this.fixture.target().requests().size() < 2) {
				Thread.onSpinWait();
			}
			this.fixture.target().respondWith(response("1", "one"));
			this.fixture.target().respondWith(response("1", "other"));
			assertThat(first.read(false)).isIn("200 s1 one", "200 s1 other");
			assertThat(second.read(false)).isIn("200 s1 one", "200 s1 other");
		}
	}

	@Test
	void responseAfterTheCallersDisconnectReachesNoOtherCaller() throws Exception {
		try (Socket gone = this.fixture.connect()) {
			CallerReader.of(gone).send(request("POST /order/x", "1", "b"));
			while (this.fixture.target().requests().isEmpty()) {
				Thread.onSpinWait();
			}
		}
		try (Socket socket = this.fixture.connect()) {
			CallerReader caller = CallerReader.of(socket);
			caller.send(request("POST /order/y", "1", "b"));
			while (this.fixture.target().requests().size() < 2) {
				Thread.onSpinWait();
			}
			this.fixture.target().respondWith(response("1", "one"));
			this.fixture.target().respondWith(response("1", "two"));
			assertThat(caller.read(false)).isIn("200 s1 one", "200 s1 two");
			caller.send(request("POST /order/z", "2", "b"));
			this.fixture.target().respondWith(response("2", "next"));
			assertThat(caller.read(false)).isEqualTo("200 s2 next");
		}
	}

	@Test
	void responsesOfPipelinedRequestsOfAllKindsKeepTheirOrder() throws Exception {
		String event = "id: 1\ndata: x\n\n";
		this.fixture.target().respondWith(ScriptedTarget.PAUSE + response("1", "first"));
		this.fixture.target()
			.respondWith("HTTP/1.1 200 OK\r\nId: 2\r\nSeal: t\r\nContent-Type: text/event-stream\r\n"
					+ "Transfer-Encoding: chunked\r\n\r\nf\r\n" + event + "\r\n" + ScriptedTarget.PAUSE + "0\r\n\r\n");
		this.fixture.target().respondWith("HTTP/1.1 204 OK\r\nId: 3\r\nSeal: u\r\n\r\n");
		this.fixture.target().respondWith("HTTP/1.1 500 No\r\nId: 4\r\nSeal: v\r\nContent-Length: 2\r\n\r\nno");
		this.fixture.target().respondWith("HTTP/1.1 200 OK\r\nId: 5\r\nSeal: w\r\nContent-Length: 9\r\n\r\n");
		this.fixture.target().respondWith(response("6", "last"));
		try (Socket socket = this.fixture.connect()) {
			CallerReader caller = CallerReader.of(socket);
			caller.send(request("GET /lookup/1", "1", "") + request("POST /stream/2", "2", "b")
					+ request("POST /order/3", "3", "b") + request("POST /order/4", "4", "b")
					+ request("HEAD /lookup/5", "5", "") + request("POST /order/6", "6", "b"));
			assertThat(caller.read(false)).isEqualTo("200 s1 first");
			assertThat(caller.read(false)).isEqualTo("200 t " + event.trim());
			assertThat(caller.read(false)).isEqualTo("204 u");
			assertThat(caller.read(false)).isEqualTo("500 v no");
			assertThat(caller.read(true)).isEqualTo("200 w");
			assertThat(caller.read(false)).isEqualTo("200 s6 last");
		}
	}

}
