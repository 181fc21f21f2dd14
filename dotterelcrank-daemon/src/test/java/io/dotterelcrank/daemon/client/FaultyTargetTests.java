package io.dotterelcrank.daemon.client;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import io.dotterelcrank.daemon.relay.ScriptedTarget;
import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.process.platform.ServiceClient;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.request.ServiceResponse;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Engines and plain services that write what belongs to no request, or break off, over
 * sockets.
 */
class FaultyTargetTests {

	private static final String REFUSAL = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";

	private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Trace: 1\r\nContent-Length: 2\r\n\r\n";

	private static final String STREAM = "{\"index\":-1,\"reason\":\"stop\",\"count\":0}\n";

	private ScriptedTarget target;

	@BeforeEach
	void start() throws IOException {
		this.target = new ScriptedTarget();
	}

	@AfterEach
	void stop() throws IOException {
		this.target.close();
	}

	private String address() {
		return "http://127.0.0.1:" + this.target.address().getPort();
	}

	private static String generate(EngineClient client) throws Exception {
		CompletableFuture<String> outcome = new CompletableFuture<>();
		client.generate(new Generation("g", "w", "m", Priority.NORMAL, "p", 1, 1, 5_000), new EngineClient.Listener() {

			@Override
			public void token(int index, String text) {
				// Only the end matters.
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
		return outcome.get(10, TimeUnit.SECONDS);
	}

	private static String invoke(ServiceClient client) throws Exception {
		CompletableFuture<String> outcome = new CompletableFuture<>();
		client.invoke(
				new ServiceCall("a", "w", "s", Priority.NORMAL, "", "POST", "/orders", List.of(), new byte[0], 5_000),
				new ServiceClient.Listener() {

					@Override
					public void responseReceived(ServiceResponse response) {
						outcome.complete("status " + response.status());
					}

					@Override
					public void failed(boolean reached, String message) {
						outcome.complete(reached ? "failed, reached" : "failed, not reached");
					}

				});
		return outcome.get(10, TimeUnit.SECONDS);
	}

	/** The next generation counted as refused and was started at a second engine. */
	@Test
	void refusalThatAnEngineWritesTwiceRefusesNoOtherGeneration() throws Exception {
		this.target.respondWith(REFUSAL + REFUSAL);
		this.target.respondWith("HTTP/1.1 200 OK\r\nContent-Length: " + STREAM.length() + "\r\n\r\n" + STREAM);
		EngineClient client = HttpEngineClient.at(address());
		assertThat(generate(client)).isEqualTo("REFUSED");
		assertThat(generate(client)).isEqualTo("stop");
		assertThat(this.target.connections()).isEqualTo(2);
	}

	/** The next caller got the refusal although its call had run. */
	@Test
	void responseThatAServiceWritesTwiceIsNotTheNextCallers() throws Exception {
		this.target.respondWith(REFUSAL + REFUSAL);
		this.target.respondWith(HEAD + "ok");
		ServiceClient client = HttpServiceClient.at(address());
		assertThat(invoke(client)).isEqualTo("status 503");
		assertThat(invoke(client)).isEqualTo("status 200");
		assertThat(this.target.connections()).isEqualTo(2);
	}

	/** Each later report was the one before it. */
	@Test
	void reportThatAnEngineWritesTwiceIsReadOnce() throws Exception {
		this.target.respondWith(report(1) + report(1));
		this.target.respondWith(report(2));
		EngineClient client = HttpEngineClient.at(address());
		assertThat(client.report().running()).isEqualTo(1);
		assertThat(client.report().running()).isEqualTo(2);
	}

	private static String report(int running) {
		String body = "{\"memoryTokens\":9,\"usedTokens\":0,\"running\":" + running
				+ ",\"waiting\":0,\"preemptions\":0," + "\"stepMillis\":7,\"generations\":[],\"cacheEvents\":[]}";
		return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	static IntStream cuts() {
		return IntStream.range(0, HEAD.length());
	}

	@ParameterizedTest
	@MethodSource("cuts")
	void headThatBreaksOffIsNoResponse(int length) throws Exception {
		this.target.respondWith(HEAD.substring(0, length) + ScriptedTarget.CLOSE);
		this.target.respondWith(HEAD.substring(0, length) + ScriptedTarget.CLOSE);
		assertThat(invoke(HttpServiceClient.at(address()))).isEqualTo("failed, reached");
		assertThat(generate(HttpEngineClient.at(address()))).isEqualTo("INTERRUPTED");
	}

}
