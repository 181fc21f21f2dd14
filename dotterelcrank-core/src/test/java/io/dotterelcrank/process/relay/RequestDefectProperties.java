package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import io.dotterelcrank.request.Ran;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Properties of requests of each kind while any one log line fails, as each step of a
 * request has one: every caller gets one response, all but one are served, a request that
 * was sent is not reported as not run, and nothing is left.
 */
class RequestDefectProperties {

	/** Log lines of the run; more than there are when nothing fails. */
	private static final int LINES = 30;

	private static final int STEP_MILLIS = 50;

	private static final int STEPS = 60;

	/** Step at which the engine of the generation begins to drain. */
	private static final int DRAIN_STEP = 8;

	private static final int EVENTS = 20;

	private final RelayFixture fixture = new RelayFixture();

	private final List<RecordingCallerChannel> callers = List.of(new RecordingCallerChannel(),
			new RecordingCallerChannel(), new RecordingCallerChannel());

	/** Number of events sent in each exchange; 0 for a stream without any. */
	private final Map<RecordingTargetClient.RecordedExchange, Long> sentEvents = new HashMap<>();

	private int answeredCopies;

	static IntStream lines() {
		return IntStream.range(0, LINES);
	}

	@ParameterizedTest
	@MethodSource("lines")
	void failingLogLineEndsOneRequestAtMost(int line) {
		FailingLog.duringLine(line, StackOverflowError::new, this::run);
		assertThat(this.callers).extracting(RecordingCallerChannel::endCount).containsOnly(1);
		assertThat(this.callers.stream().filter((caller) -> caller.failure() == null && !caller.aborted()).count())
			.isGreaterThanOrEqualTo(this.callers.size() - 1);
		for (int caller = 0; caller < this.callers.size(); caller++) {
			boolean notRun = this.callers.get(caller).failure() != null
					&& this.callers.get(caller).failure().ran() == Ran.NO;
			assertThat(notRun && wasSent("attempt-" + (caller + 1))).isFalse();
		}
		assertThat(this.fixture.relayService().activeRequests()).isZero();
		assertThat(this.fixture.relayService().targetPool().targets())
			.allMatch((target) -> target.outstandingRequestCount() == 0);
	}

	private boolean wasSent(String id) {
		return exchanges().stream().anyMatch((exchange) -> exchange.request().request().id().equals(id));
	}

	private List<RecordingTargetClient.RecordedExchange> exchanges() {
		RecordingTargetClient client = this.fixture.targetClient();
		return new ArrayList<>(IntStream.range(0, client.sendCount()).mapToObj(client::exchange).toList());
	}

	private void run() {
		this.fixture.accept("/notes/1", this.callers.get(0));
		this.fixture.accept("/lookup/1", this.callers.get(1));
		this.fixture.accept("/order/1", this.callers.get(2));
		for (int step = 0; step < STEPS; step++) {
			this.fixture.advance(STEP_MILLIS);
			if (step >= DRAIN_STEP) {
				drainFirstEngine();
			}
			exchanges().stream().filter((exchange) -> !exchange.ended()).forEach(this::respond);
			RecordingTargetClient client = this.fixture.targetClient();
			for (; this.answeredCopies < client.copyRequestCount(); this.answeredCopies++) {
				client.completeCopy(this.answeredCopies, TargetClient.CopyOutcome.COPIED, "h" + this.answeredCopies);
			}
		}
		this.fixture.advance(40_000);
	}

	/**
	 * Lists the engine as draining, which the host repeats if it has failed.
	 */
	private void drainFirstEngine() {
		try {
			exchanges().stream()
				.filter((exchange) -> exchange.request().request().uri().startsWith("/notes/"))
				.findFirst()
				.ifPresent((exchange) -> this.fixture.listTarget(exchange.request().target().id(), "bench", true));
		}
		catch (StackOverflowError ex) {
			// The traffic thread logs it.
		}
	}

	private void respond(RecordingTargetClient.RecordedExchange exchange) {
		if (!exchange.request().request().uri().startsWith("/notes/")) {
			exchange.respondUnlessCancelled(200, "ok");
			return;
		}
		Long sent = this.sentEvents.get(exchange);
		if (sent == null) {
			this.sentEvents.put(exchange, exchange.request().lastEventId().orElse(0));
			exchange.startStream();
			return;
		}
		this.sentEvents.put(exchange, sent + 1);
		exchange.sendEvent((int) (sent + 1));
		if (sent + 1 >= EVENTS && !exchange.ended()) {
			exchange.complete();
		}
	}

}
