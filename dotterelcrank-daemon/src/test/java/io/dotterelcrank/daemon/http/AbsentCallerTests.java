package io.dotterelcrank.daemon.http;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;

import io.undertow.server.HttpServerExchange;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.dotterelcrank.daemon.embedded.Demo;
import io.dotterelcrank.daemon.embedded.EmbeddedFleet;
import io.dotterelcrank.daemon.embedded.Sleeper;
import io.dotterelcrank.daemon.relay.CallerReader;
import io.dotterelcrank.daemon.relay.LeavingCaller;
import io.dotterelcrank.process.entry.EntryProcess;
import io.dotterelcrank.standin.service.ServiceFault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over sockets that a request reaches no target once the close of its caller's
 * connection has arrived, however late an I/O thread handles the request, and that a call
 * ends with its caller's connection.
 */
class AbsentCallerTests {

	private static final int CALLERS = 10;

	private static final int MAX_POLLS = 200;

	private static final String CALLS_PATH = "/v1/services/desk-ledger/";

	private static EmbeddedFleet fleet;

	/** Number of tests begun. */
	private static int testCount;

	/** Set apart the calls of one test. */
	private final String absent = "absent-" + ++testCount;

	private final String present = "present-" + testCount;

	private final Semaphore held = new Semaphore(0);

	private final Semaphore hold = new Semaphore(0);

	private CallerHandler handler;

	private HttpServer server;

	@BeforeAll
	static void startFleet() throws IOException {
		fleet = Demo.startFleet(0);
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	@BeforeEach
	void start() throws IOException {
		this.handler = CallerHandler.of(entry());
		this.server = HttpServer.start("127.0.0.1", 0, this::handleUnlessHeld);
	}

	@AfterEach
	void stop() {
		this.hold.release(CALLERS);
		this.server.close();
	}

	private EntryProcess entry() {
		return fleet.entries().get("entry-a").entry();
	}

	private void handleUnlessHeld(HttpServerExchange exchange) {
		if (exchange.getRequestHeaders().contains("Held")) {
			this.held.release();
			this.hold.acquireUninterruptibly();
		}
		this.handler.handleRequest(exchange);
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket("127.0.0.1", this.server.port());
		socket.setSoTimeout(10_000);
		return socket;
	}

	private static String call(String method, String path, String headers) {
		return method + " " + CALLS_PATH + path + " HTTP/1.1\r\nHost: a\r\nWorkspace: w\r\n" + headers
				+ "Content-Length: 0\r\n\r\n";
	}

	private static String completion(boolean stream, String headers) {
		String body = "{\"model\":\"bench-model\",\"prompt\":\"[tokens=3]\",\"stream\":" + stream + "}";
		return "POST /v1/completions HTTP/1.1\r\nHost: a\r\nWorkspace: w\r\n" + headers + "Content-Length: "
				+ body.length() + "\r\n\r\n" + body;
	}

	private void sendAndLeaveBeforeItIsHandled(String request, boolean reset) throws Exception {
		for (int i = 0; i < CALLERS; i++) {
			Socket caller = connect();
			CallerReader.of(caller).send(request);
			this.held.acquire();
			LeavingCaller.leave(caller, reset);
			this.hold.release();
		}
	}

	private void serve(String request) throws IOException {
		for (int i = 0; i < CALLERS; i++) {
			try (Socket caller = connect()) {
				CallerReader reader = CallerReader.of(caller);
				reader.send(request);
				assertThat(reader.read(false)).startsWith("200 ");
			}
		}
	}

	private int runCount(String path) {
		return fleet.services()
			.values()
			.stream()
			.flatMap((service) -> service.runCounts().entrySet().stream())
			.filter((entry) -> entry.getKey().contains(" /" + path + " "))
			.mapToInt((entry) -> entry.getValue())
			.sum();
	}

	@ParameterizedTest
	@CsvSource({ "GET, false", "GET, true", "POST, false", "POST, true" })
	void callIsNotSentIfItsCallerLeftWhileTheThreadWasLate(String method, boolean reset) throws Exception {
		sendAndLeaveBeforeItIsHandled(call(method, this.absent, "Held: yes\r\n"), reset);
		serve(call(method, this.present, ""));
		assertThat(runCount(this.present)).isEqualTo(CALLERS);
		assertThat(runCount(this.absent)).isZero();
	}

	@Test
	void pipelinedCallsAreNotSentIfTheirCallerLeftWhileTheThreadWasLate() throws Exception {
		String requests = call("GET", this.absent, "Held: yes\r\n") + call("GET", this.absent, "");
		sendAndLeaveBeforeItIsHandled(requests, false);
		serve(call("GET", this.present, ""));
		assertThat(runCount(this.present)).isEqualTo(CALLERS);
		assertThat(runCount(this.absent)).isZero();
	}

	@ParameterizedTest
	@CsvSource({ "false, false", "false, true", "true, false", "true, true" })
	void generationIsNotSentIfItsCallerLeftWhileTheThreadWasLate(boolean stream, boolean reset) throws Exception {
		long requests = entry().dump().requests();
		sendAndLeaveBeforeItIsHandled(completion(stream, "Held: yes\r\n"), reset);
		serve(completion(stream, ""));
		assertThat(entry().dump().requests() - requests).isEqualTo(CALLERS);
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void callEndsWhenItsCallerLeaves(boolean reset) throws Exception {
		fleet.services().values().forEach((service) -> service.injectFault(ServiceFault.NO_ANSWER));
		Socket caller = connect();
		CallerReader.of(caller).send(call("GET", this.absent, "Deadline-Millis: 600000\r\n"));
		await(() -> runCount(this.absent) == 1);
		fleet.services().values().forEach((service) -> service.injectFault(ServiceFault.NONE));
		if (reset) {
			caller.setSoLinger(true, 0);
		}
		caller.close();
		await(() -> entry().dump().open() == 0);
	}

	@Test
	void callsSentDuringAResponseAreServed() throws Exception {
		for (int i = 0; i < CALLERS; i++) {
			try (Socket socket = connect()) {
				CallerReader caller = CallerReader.of(socket);
				caller.send(call("GET", "first", "Held: yes\r\n"));
				this.held.acquire();
				caller.send(call("GET", "second", ""));
				this.hold.release();
				caller.send(call("POST", "third", ""));
				assertThat(caller.read(false)).startsWith("200 ");
				assertThat(caller.read(false)).startsWith("200 ");
				assertThat(caller.read(false)).startsWith("200 ");
			}
		}
		assertThat(runCount("first")).isEqualTo(CALLERS);
		assertThat(runCount("second")).isEqualTo(CALLERS);
		assertThat(runCount("third")).isEqualTo(CALLERS);
	}

	private static void await(BooleanSupplier condition) {
		for (int i = 0; i < MAX_POLLS && !condition.getAsBoolean(); i++) {
			Sleeper.sleepMillis(50);
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

}
