package io.dotterelcrank.daemon.client;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.process.platform.ServiceClient;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.request.ServiceResponse;
import io.dotterelcrank.standin.http.EndlessPart;
import io.dotterelcrank.standin.http.EndlessServer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests over sockets that a system which writes a part of a response without end does not
 * fill the heap of the product's own clients.
 */
class EndlessServerTests {

	private static final long WAIT_SECONDS = 30;

	/** Time until the deadline of a call, in milliseconds. */
	private static final long DEADLINE_MILLIS = 60_000;

	/** The largest body, and what the buffers of both sides hold. */
	private static final long MAX_READ_BYTES = 2 * LimitedSocketFactory.MAX_BYTES;

	private static String address(EndlessServer server) {
		return "http://127.0.0.1:" + server.address().getPort();
	}

	@ParameterizedTest
	@EnumSource(EndlessPart.class)
	void requestToThePlatformFails(EndlessPart part) throws Exception {
		try (EndlessServer server = EndlessServer.start(part)) {
			JsonHttpClient client = JsonHttpClient.of(address(server));
			assertThatExceptionOfType(PlatformException.class).isThrownBy(() -> client.getText("/x", ""));
			assertThatExceptionOfType(PlatformException.class)
				.isThrownBy(() -> client.send(client.requestBuilder("/x").build(), String.class));
			server.awaitClosed(2);
			assertThat(server.writtenBytes()).isLessThan(2 * MAX_READ_BYTES);
		}
	}

	@ParameterizedTest
	@EnumSource(EndlessPart.class)
	void callOfAServiceFailsBeforeItsDeadline(EndlessPart part) throws Exception {
		try (EndlessServer server = EndlessServer.start(part)) {
			CompletableFuture<String> outcome = new CompletableFuture<>();
			HttpServiceClient.at(address(server))
				.invoke(new ServiceCall("a", "w", "s", Priority.NORMAL, "", "POST", "/orders", List.of(), new byte[0],
						DEADLINE_MILLIS), new ServiceClient.Listener() {

							@Override
							public void responseReceived(ServiceResponse response) {
								outcome.complete("response " + response.status());
							}

							@Override
							public void failed(boolean mayHaveRun, String message) {
								outcome.complete("failed " + mayHaveRun);
							}

						});
			assertThat(outcome.get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("failed true");
			server.awaitClosed(1);
			assertThat(server.writtenBytes()).isLessThan(MAX_READ_BYTES);
		}
	}

	@ParameterizedTest
	@EnumSource(EndlessPart.class)
	void streamOfAnEngineFails(EndlessPart part) throws Exception {
		try (EndlessServer server = EndlessServer.start(part)) {
			CompletableFuture<String> outcome = new CompletableFuture<>();
			HttpEngineClient.at(address(server))
				.generate(new Generation("g", "w", "m", Priority.NORMAL, "p", 1, 1, DEADLINE_MILLIS),
						new EngineClient.Listener() {

							@Override
							public void token(int index, String text) {
								outcome.complete("token " + text);
							}

							@Override
							public void finished(int count, String reason) {
								outcome.complete(reason);
							}

							@Override
							public void failed(EngineClient.StreamFailure failure, String message) {
								outcome.complete(failure.name());
							}

						});
			assertThat(outcome.get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("INTERRUPTED");
			server.awaitClosed(1);
			assertThat(server.writtenBytes()).isLessThan(MAX_READ_BYTES);
		}
	}

}
