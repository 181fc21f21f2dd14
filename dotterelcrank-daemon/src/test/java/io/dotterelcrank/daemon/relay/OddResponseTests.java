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
 * Tests of odd responses of targets, over sockets: a caller on a kept connection gets
 * status, seal and whole body as the target sent them or a failure without a seal, and
 * its next request its own response.
 */
class OddResponseTests {

	private static final String FAILED = "502";

	private RelayServerFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = RelayServerFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	/**
	 * Sends two requests on one connection.
	 * @param line method and path of the first one
	 * @param response the target's bytes; {@code |} stands for a line break of HTTP,
	 * {@code ~} for a line feed
	 * @return what the caller got as response to the first one, without the text of this
	 * system's errors
	 */
	private String exchange(String line, String response) throws IOException {
		try (Socket socket = this.fixture.connect()) {
			CallerReader caller = CallerReader.of(socket);
			this.fixture.target().respondWith(response.replace("|", "\r\n").replace("~", "\n"));
			this.fixture.target().respondWith("HTTP/1.1 201 OK\r\nId: 2\r\nSeal: t\r\nContent-Length: 6\r\n\r\nsecond");
			caller.send(line + " HTTP/1.1\r\nHost: a\r\nId: 1\r\nContent-Length: 1\r\n\r\nb");
			String first = caller.read(line.startsWith("HEAD "));
			caller.send("POST /order/y HTTP/1.1\r\nHost: a\r\nId: 2\r\nContent-Length: 1\r\n\r\nb");
			assertThat(caller.read(false)).as("second response, after " + first).isEqualTo("201 t second");
			return first.replaceFirst(" +\\{.*", "");
		}
	}

	private String order(String response) throws IOException {
		return exchange("POST /order/x", response);
	}

	@ParameterizedTest
	@ValueSource(strings = { "Transfer-Encoding: gzip, chunked||5|whole|0||",
			"Transfer-Encoding: gzip|Transfer-Encoding: chunked||5|whole|0||",
			"Transfer-Encoding: chunked, gzip||5|whole|0||<close>", "Transfer-Encoding: gzip||whole<close>",
			"Transfer-Encoding: gzip|Content-Length: 5||whole", "Transfer-Encoding: xchunked||5|whole|0||<close>",
			"Transfer-Encoding: chunked, chunked||5|whole|0||" })
	void bodyInAnotherTransferEncodingIsNotForwardedAsTheBody(String rest) throws IOException {
		assertThat(order("HTTP/1.1 200 OK|Id: 1|Seal: s|" + rest)).isEqualTo(FAILED);
	}

	/**
	 * A sealed refusal was forwarded, though its target may have run the request.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 408, 429, 503 })
	void refusalAfterARunIsNotForwarded(int status) throws IOException {
		assertThat(order("HTTP/1.1 " + status + " Busy|Id: 1|Seal: s|Retry-After: 1|Content-Length: 5||whole"))
			.isEqualTo(FAILED);
		assertThat(order("HTTP/1.0 " + status + "|Id: 1|Seal: s||whole<close>")).isEqualTo(FAILED);
	}

	@ParameterizedTest
	@ValueSource(strings = { "2000", "0200", "+200", "-200", "20", "000", "099", "600", "999", "2", "200OK", "x", "" })
	void statusThatIsNoneOfTheProtocolIsNotForwarded(String status) throws IOException {
		assertThat(order("HTTP/1.1 " + status + " OK|Id: 1|Seal: s|Content-Length: 5||whole")).isEqualTo(FAILED);
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.10", "HTTP/11.1", "XTTP/1.1", "HHTTP/1.1", "SPDY/3.1", "HTTP", "x HTTP/1.1",
			"HTTP/1.1|HTTP/1.1", "HTTP/1.1 200 OK|HTTP/1.1" })
	void statusLineThatIsNoneOfTheProtocolIsNotForwarded(String version) throws IOException {
		assertThat(order(version + " 200 OK|Id: 1|Seal: s|Content-Length: 5||whole")).isEqualTo(FAILED);
	}

	/**
	 * A line of a head without a colon was read as a header up to its first space, and
	 * the rest dropped: also the status line of the response behind the piece of another
	 * one.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "x HTTP/1.1 500 Broken", "x\tHTTP/1.1 500 Broken", "x ", "x y", "x", "x y|Y: z", " | x y",
			"Y: z|x \u00ffHTTP/1.1 500 Broken" })
	void headWithALineWithoutAColonIsNotForwarded(String line) throws IOException {
		assertThat(order("HTTP/1.1 200 OK|" + line + "|Id: 1|Seal: s|Content-Length: 5||whole")).isEqualTo(FAILED);
		assertThat(order("HTTP/1.1 200 OK|Id: 1|Seal: s|Content-Length: 5|" + line + "||whole")).isEqualTo(FAILED);
		assertThat(order("HTTP/1.1 103 Hints|" + line + "||HTTP/1.1 200 OK|Id: 1|Seal: s|Content-Length: 5||whole"))
			.isEqualTo(FAILED);
	}

	@ParameterizedTest
	@ValueSource(strings = { "x:", "x: ", "x :y", "x: HTTP/1.1", "x:y: z", "x: a| folded" })
	void headWhoseLinesHaveColonsIsForwarded(String line) throws IOException {
		assertThat(order("|HTTP/1.1 103 Hints|" + line + "||HTTP/1.1 200 OK|Id: 1|Seal: s|" + line
				+ "|Content-Length: 5||whole"))
			.isEqualTo("200 s whole");
		assertThat(order("HTTP/1.1 200 OK|Id: 1|Seal: s|" + line + "|Transfer-Encoding: chunked||5|whole|0||"))
			.isEqualTo("200 s whole");
	}

	@ParameterizedTest
	@ValueSource(ints = { 200, 201, 205, 206, 299, 302, 400, 407, 409, 430, 500, 502, 504, 599 })
	void statusSealAndBodyAreForwarded(int status) throws IOException {
		assertThat(order("HTTP/1.1 " + status + " \u00e9|Id: 1|Seal: s|Content-Length: 5||whole"))
			.isEqualTo(status + " s whole");
		assertThat(order("HTTP/1.0 " + status + "|Id: 1|Seal: s||whole<close>")).isEqualTo(status + " s whole");
	}

	@ParameterizedTest
	@ValueSource(ints = { 204, 304 })
	void bytesBehindAResponseThatHasNoBodyAreNotForwarded(int status) throws IOException {
		assertThat(order("HTTP/1.1 " + status + " x|Id: 1|Seal: s|Content-Length: 5||whole")).isEqualTo(status + " s");
		assertThat(order("HTTP/1.1 " + status + " x|Id: 1|Seal: s|Transfer-Encoding: chunked||5|whole|0||"))
			.isEqualTo(status + " s");
	}

	@ParameterizedTest
	@CsvSource({ "'', 200 s whole", "'HTTP/1.1 100 Continue||', 200 s whole",
			"'HTTP/1.1 103 Hints|Id: 1|Seal: u|Content-Length: 5||', 200 s whole",
			"'HTTP/1.1 103 Hints|Content-Length: 5||abcde', 502", "'HTTP/1.1 199 x||', 200 s whole" })
	void interimResponseIsNoResponse(String interim, String expected) throws IOException {
		assertThat(order(interim + "HTTP/1.1 200 OK|Id: 1|Seal: s|Content-Length: 5||whole")).isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "'Content-Length: 2|Content-Length: 5||whole', 502",
			"'Content-Length: 5|Content-Length: 5||whole', 502", "'Content-Length: 5, 2||whole', 502",
			"'Content-Length: +5||whole', 502", "'Content-Length: 5 5||whole', 502", "'Content-Length: 5x||whole', 502",
			"'Content-Length: -1||whole<close>', 502", "'Content-Length: ||whole<close>', 502",
			"'X: a| HTTP/1.1 500 No|Content-Length: 5||whole', 502", "'junk|Content-Length: 5||whole', 502",
			"'X: a~Content-Length: 5~~whole', 502", "'X: a| b|Content-Length: 5||whole', 200 s whole",
			"'Content-Length: 5||wholeXYZ', 200 s whole", "'Content-Length: 7||whole<close>', 502",
			"'Content-Length: 7||whole<reset>', 502", "'|whole<reset>', 502" })
	void bodyIsForwardedInItsLengthOrNotAtAll(String rest, String expected) throws IOException {
		assertThat(order("HTTP/1.1 200 OK|Id: 1|Seal: s|" + rest)).isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "5|whole|0||, 200 s whole", "5;x=y|whole|0||, 200 s whole", "2|wh|3|ole|0|Seal: u||, 200 s whole",
			"3|whole|0||, 502", "5|whole|0|HTTP/1.1 500 x||, 502", "0x5|whole|0||, 502", "+5|whole|0||, 502",
			"-5|whole|0||, 502", "|whole|0||, 502", "5~whole~0~~, 502", "5|wholeHTTP/1.1 500 No|0||, 502",
			"5|whole|HTTP/1.1 500 No||, 502", "5|whole|<close>, 502", "5|whole|0|<close>, 502", "5|whole|0<close>, 502",
			"5|whole<close>, 502", "5|who<reset>, 502", "5|whole|0|<reset>, 502" })
	void chunksAreForwardedWholeOrNotAtAll(String chunks, String expected) throws IOException {
		assertThat(order("HTTP/1.1 200 OK|Id: 1|Seal: s|Transfer-Encoding: chunked||" + chunks)).isEqualTo(expected);
	}

	@ParameterizedTest
	@ValueSource(strings = { "Transfer-Encoding: chunked||", "Content-Length: 5||", "Content-Length: 15||", "|",
			"Content-Length: 5||whole" })
	void responseToHeadRequestEndsWithItsHead(String rest) throws IOException {
		for (String path : new String[] { "/order/x", "/stream/x" }) {
			for (String type : new String[] { "text/plain", "text/event-stream" }) {
				assertThat(exchange("HEAD " + path, "HTTP/1.1 200 OK|Id: 1|Seal: s|Content-Type: " + type + "|" + rest))
					.as(path + " " + type)
					.isEqualTo("200 s");
			}
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "Transfer-Encoding: chunked||", "Content-Length: 0||", "|" })
	void responseWithoutContentIsNoEventStream(String rest) throws IOException {
		assertThat(exchange("POST /stream/x", "HTTP/1.1 204 No|Id: 1|Seal: s|Content-Type: text/event-stream|" + rest))
			.isEqualTo("204 s");
	}

	@Test
	void eventStreamOfAnyStatusIsForwardedWhole() throws IOException {
		for (int status : new int[] { 200, 201, 205 }) {
			assertThat(exchange("POST /stream/x",
					"HTTP/1.1 " + status
							+ " OK|Id: 1|Seal: s|Content-Type: text/event-stream|Content-Length: 15||id: 1~data: x~~"))
				.isEqualTo(status + " s id: 1\ndata: x");
		}
	}

}
