package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.Socket;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.dotterelcrank.version.plan.CallerLimits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over sockets that limits for callers which rise or fall are in force on
 * connections that are open already, and that no limit is guessed before the first plan.
 */
class CallerLimitsTests {

	/** Above the limit of a request line, in bytes. */
	private static final int LARGE_BYTES = 20_000;

	private static final CallerLimits NARROW = new CallerLimits(2_000, 2_000, 3_000, 15_000);

	private static final CallerLimits WIDE = new CallerLimits(32_768, 8_000_000, 3_000, 15_000);

	private static final String RESPONSE = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";

	private RelayServerFixture fixture;

	private Socket socket;

	private CallerReader caller;

	@BeforeEach
	void start() throws Exception {
		this.fixture = RelayServerFixture.withoutPlan();
		this.socket = this.fixture.connect();
		this.caller = CallerReader.of(this.socket);
	}

	@AfterEach
	void stop() throws IOException {
		this.socket.close();
		this.fixture.close();
	}

	private static String request(int headerBytes, int bodyBytes) {
		return "POST /order/x HTTP/1.1\r\nHost: a\r\nId: 1\r\nCookie: " + "c".repeat(headerBytes)
				+ "\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "b".repeat(bodyBytes);
	}

	private void assertServed(String request) throws IOException {
		this.fixture.target().respondWith(RESPONSE);
		this.caller.send(request);
		assertThat(this.caller.read(false)).isEqualTo("200 s ok");
	}

	private void assertRejected(String request, int status) throws IOException {
		this.caller.send(request);
		assertThat(this.caller.read(false)).startsWith(status + " ");
	}

	/**
	 * A connection that was open before the first plan got 431 for as long as it lived.
	 */
	@Test
	void largeHeadIsReadOnAConnectionFromBeforeTheFirstPlan() throws Exception {
		this.caller.send("GET /order/x HTTP/1.1\r\n");
		this.fixture.putInForce(WIDE);
		assertServed("Host: a\r\nId: 1\r\n\r\n");
		assertServed(request(LARGE_BYTES, 0));
	}

	@Test
	void raisedLimitForHeadsIsInForceOnAnOpenConnection() throws Exception {
		this.fixture.putInForce(NARROW);
		assertServed(request(10, 3));
		this.fixture.putInForce(WIDE);
		assertServed(request(LARGE_BYTES, 3));
	}

	@Test
	void headThatIsBeingReadMayGrowWithTheLimit() throws Exception {
		this.fixture.putInForce(NARROW);
		this.caller.send("POST /order/x HTTP/1.1\r\nHost: a\r\nId: 1\r\nCookie: " + "c".repeat(1_500));
		Thread.sleep(50);
		this.fixture.putInForce(WIDE);
		assertServed("c".repeat(LARGE_BYTES) + "\r\n\r\n");
	}

	@Test
	void loweredLimitForHeadsIsInForceOnAnOpenConnection() throws Exception {
		this.fixture.putInForce(WIDE);
		assertServed(request(LARGE_BYTES, 3));
		this.fixture.putInForce(NARROW);
		assertRejected(request(3_000, 3), 431);
		assertThat(this.fixture.target().requests()).hasSize(1);
	}

	@Test
	void limitForBodiesRisesAndFallsOnAnOpenConnection() throws Exception {
		this.fixture.putInForce(NARROW);
		assertServed(request(10, 3));
		this.fixture.putInForce(WIDE);
		assertServed(request(10, 5_000_000));
		this.fixture.putInForce(NARROW);
		assertRejected(request(10, 3_000), 413);
	}

	@Test
	void loweredIdleTimeoutIsInForceOnAnOpenConnection() throws Exception {
		this.fixture.putInForce(WIDE);
		assertServed(request(10, 3));
		this.fixture.putInForce(new CallerLimits(2_000, 2_000, 3_000, 100));
		assertThat(this.caller.read(false)).isEqualTo("closed");
	}

	/** Without a plan nobody knows whether the operators allow it: not 431 or 413. */
	@ParameterizedTest
	@ValueSource(strings = { "head", "body" })
	void largeRequestBeforeTheFirstPlanIsAskedToReturn(String part) throws Exception {
		String request = part.equals("head") ? request(LARGE_BYTES, 0)
				: request(10, 0).replace("Content-Length: 0", "Content-Length: 5000000");
		assertRejected(request, 503);
	}

	@ParameterizedTest
	@ValueSource(strings = { "GET /order/", "GET /order/x HTTP/1.1\r\nX: ",
			"POST /order/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
			"POST /order/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " })
	void lineWithoutEndIsRejected(String beginning) throws Exception {
		this.fixture.putInForce(NARROW);
		this.caller.send(beginning);
		this.caller.send("x".repeat(64 * 1024));
		assertThat(this.caller.read(false)).startsWith("431 ");
	}

	@ParameterizedTest
	@ValueSource(strings = { "GET /order/x HTTP/1.1\r\n",
			"POST /order/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" })
	void linesWithoutEndAreRejected(String beginning) throws Exception {
		this.fixture.putInForce(NARROW);
		this.caller.send(beginning);
		this.caller.send("X: y\r\n".repeat(4_000));
		assertThat(this.caller.read(false)).startsWith("431 ");
	}

	@Test
	void chunksOfALargeBodyAreNoHead() throws Exception {
		this.fixture.putInForce(new CallerLimits(2_000, 8_000_000, 3_000, 15_000));
		String chunk = "ffff\r\n" + "b".repeat(0xffff) + "\r\n";
		assertServed("POST /order/x HTTP/1.1\r\nHost: a\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
				+ chunk.repeat(40) + "1\r\nb\r\n".repeat(20_000) + "0\r\n\r\n");
	}

}
