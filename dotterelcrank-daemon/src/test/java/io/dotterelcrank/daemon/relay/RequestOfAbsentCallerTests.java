package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.dotterelcrank.process.relay.TargetRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over sockets that a request reaches no target once the close of its caller's
 * connection has arrived, however late the traffic thread reads both.
 */
class RequestOfAbsentCallerTests {

	private static final String RESPONSE = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";

	private static final int CALLERS = 20;

	private final HoldingMapper mapper = new HoldingMapper();

	private RelayServerFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = RelayServerFixture.start(this.mapper);
		for (int i = 0; i < 3 * CALLERS; i++) {
			this.fixture.target().respondWith(RESPONSE);
		}
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	@ParameterizedTest
	@CsvSource({ "false, false", "false, true", "true, false", "true, true" })
	void requestIsNotSentIfItsCallerLeftWhileTheThreadWasLate(boolean kept, boolean reset) throws Exception {
		Socket[] callers = new Socket[CALLERS];
		for (int i = 0; kept && i < CALLERS; i++) {
			callers[i] = this.fixture.connect();
			serve(callers[i]);
		}
		CountDownLatch hold = holdThread();
		for (int i = 0; i < CALLERS; i++) {
			callers[i] = kept ? callers[i] : this.fixture.connect();
			send(callers[i], "/lookup/absent");
			LeavingCaller.leave(callers[i], reset);
		}
		hold.countDown();
		assertAbsentCallersAreNotServed();
	}

	@Test
	void pipelinedRequestIsNotSentIfItsCallerLeftWhileTheThreadWasLate() throws Exception {
		CountDownLatch hold = holdThread();
		Socket caller = this.fixture.connect();
		send(caller, "/lookup/absent");
		send(caller, "/lookup/absent");
		LeavingCaller.leave(caller, false);
		hold.countDown();
		assertAbsentCallersAreNotServed();
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void requestIsNotWrittenIfItsCallerLeftAfterItWasPlaced(boolean reset) throws Exception {
		CountDownLatch hold = this.mapper.holdNext();
		Socket caller = this.fixture.connect();
		send(caller, "/lookup/absent");
		this.mapper.awaitHeld();
		LeavingCaller.leave(caller, reset);
		hold.countDown();
		assertAbsentCallersAreNotServed();
	}

	/**
	 * Holds the traffic thread until the latch is counted down.
	 */
	private CountDownLatch holdThread() throws InterruptedException {
		CountDownLatch held = new CountDownLatch(1);
		CountDownLatch hold = new CountDownLatch(1);
		this.fixture.loop().execute(() -> {
			held.countDown();
			awaitUninterruptibly(hold);
		});
		held.await();
		return hold;
	}

	private static void awaitUninterruptibly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void send(Socket caller, String path) throws IOException {
		caller.getOutputStream()
			.write(("GET " + path + " HTTP/1.1\r\nHost: a\r\nId: 1\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
	}

	private void serve(Socket caller) throws IOException {
		send(caller, "/lookup/present");
		assertThat(CallerReader.of(caller).read(false)).isEqualTo("200 s ok");
	}

	/**
	 * Serves a caller that is present, after which all earlier requests have been placed.
	 */
	private void assertAbsentCallersAreNotServed() throws Exception {
		try (Socket present = this.fixture.connect()) {
			serve(present);
		}
		this.fixture.loop().submit(() -> {
		}).sync();
		assertThat(this.fixture.target().requests()).isNotEmpty()
			.allMatch((request) -> request.startsWith("GET /lookup/present "));
	}

	/**
	 * Holds the traffic thread while it converts a request for its target.
	 */
	private static final class HoldingMapper extends TestMessageMapper {

		private final CountDownLatch held = new CountDownLatch(1);

		private volatile CountDownLatch hold;

		CountDownLatch holdNext() {
			CountDownLatch next = new CountDownLatch(1);
			this.hold = next;
			return next;
		}

		void awaitHeld() throws InterruptedException {
			this.held.await();
		}

		@Override
		public HttpHeaders targetHeaders(TargetRequest request) {
			CountDownLatch held = this.hold;
			this.hold = null;
			if (held != null) {
				this.held.countDown();
				awaitUninterruptibly(held);
			}
			return super.targetHeaders(request);
		}

	}

}
