package io.dotterelcrank.daemon.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.undertow.Undertow;
import io.undertow.util.HttpString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.platform.ServiceClient;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.request.ServiceResponse;
import io.dotterelcrank.standin.http.ServiceServer;
import io.dotterelcrank.standin.service.ServiceFault;
import io.dotterelcrank.standin.service.StandinService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Outcomes that {@link HttpServiceClient} and {@link StandinService} report under each
 * injected fault. A call must be sent at most once, and reported as not reached only if
 * the service did not run it.
 */
class HttpServiceClientTests {

	private static final long TIMEOUT_SECONDS = 30;

	private final Scheduler scheduler = Scheduler.singleThread("service");

	private final StandinService service = StandinService.withLatency(this.scheduler, 1);

	private ServiceServer server;

	@BeforeEach
	void start() throws IOException {
		this.server = ServiceServer.start(this.service, this.scheduler, 0);
	}

	@AfterEach
	void stop() {
		this.server.close();
		this.scheduler.close();
	}

	private static ServiceCall newCall(String method, long deadlineMillis) {
		return new ServiceCall("a", "w", "s", Priority.NORMAL, "", method, "/orders",
				List.of(new Header("X-Trace", "1")), "bell".getBytes(StandardCharsets.UTF_8), deadlineMillis);
	}

	private static String invoke(ServiceClient client, ServiceCall call) throws Exception {
		CompletableFuture<String> outcome = new CompletableFuture<>();
		client.invoke(call, new ServiceClient.Listener() {

			@Override
			public void responseReceived(ServiceResponse response) {
				outcome.complete("status " + response.status());
			}

			@Override
			public void failed(boolean reached, String message) {
				outcome.complete(reached ? "failed, reached" : "failed, not reached");
			}

		});
		return outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private HttpServiceClient newHttpClient() {
		return HttpServiceClient.at("http://127.0.0.1:" + this.server.port());
	}

	@ParameterizedTest
	@CsvSource({ "NONE, status 200, 1", "BREAK_BEFORE_RUN, 'failed, reached', 0",
			"BREAK_AFTER_RUN, 'failed, reached', 1", "BREAK_MID_ANSWER, 'failed, reached', 1",
			"NO_ANSWER, 'failed, reached', 1" })
	void sendsAtMostOnceAndReportsWhetherTheServiceWasReached(ServiceFault fault, String outcome, int runs)
			throws Exception {
		this.service.injectFault(fault);
		for (int i = 0; i < 3; i++) {
			HttpServiceClient client = newHttpClient();
			assertThat(invoke(client, newCall("POST", 2_000))).isEqualTo(outcome);
			assertThat(this.service.runCount("bell")).isEqualTo(runs * (i + 1));
		}
	}

	@ParameterizedTest
	@CsvSource({ "NONE, status 200, 1", "REFUSE_CONNECTION, 'failed, not reached', 0",
			"BREAK_BEFORE_RUN, 'failed, reached', 0", "BREAK_AFTER_RUN, 'failed, reached', 1",
			"NO_ANSWER, 'failed, reached', 1" })
	void standInReportsTheSameOutcomes(ServiceFault fault, String outcome, int runs) throws Exception {
		this.service.injectFault(fault);
		assertThat(invoke(this.service, newCall("POST", 100))).isEqualTo(outcome);
		assertThat(this.service.runCount("bell")).isEqualTo(runs);
	}

	@Test
	void refusedConnectionIsReportedAsNotReached() throws Exception {
		HttpServiceClient client = newHttpClient();
		this.server.close();
		assertThat(invoke(client, newCall("POST", 2_000))).isEqualTo("failed, not reached");
	}

	@Test
	void doesNotRetryWhenPooledConnectionBreaks() throws Exception {
		HttpServiceClient client = newHttpClient();
		assertThat(invoke(client, newCall("POST", 2_000))).isEqualTo("status 200");
		this.service.injectFault(ServiceFault.BREAK_AFTER_RUN);
		assertThat(invoke(client, newCall("POST", 2_000))).isEqualTo("failed, reached");
		assertThat(this.service.runCount("bell")).isEqualTo(2);
	}

	@ParameterizedTest
	@CsvSource({ "503, Retry-After, 0", "302, Location, /elsewhere", "307, Location, /elsewhere", "408, X, 1",
			"421, X, 1", "401, WWW-Authenticate, Basic" })
	void forwardsResponsesThatRequestRetryWithoutRetrying(int status, String header, String value) throws Exception {
		AtomicInteger requests = new AtomicInteger();
		Undertow server = Undertow.builder().addHttpListener(0, "127.0.0.1").setHandler((exchange) -> {
			requests.incrementAndGet();
			exchange.setStatusCode(status);
			exchange.getResponseHeaders().put(new HttpString(header), value);
		}).build();
		server.start();
		int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
		String outcome = invoke(HttpServiceClient.at("http://127.0.0.1:" + port), newCall("POST", 2_000));
		server.stop();
		assertThat(outcome).isEqualTo("status " + status);
		assertThat(requests).hasValue(1);
	}

}
