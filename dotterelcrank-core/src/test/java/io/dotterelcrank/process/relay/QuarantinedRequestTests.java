package io.dotterelcrank.process.relay;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of what requests tell the quarantine and of those that it refuses.
 */
class QuarantinedRequestTests {

	private static final List<String> CRASHING = List.of("first", "bad");

	private final RelayFixture fixture = new RelayFixture();

	private final RecordingCallerChannel caller = new RecordingCallerChannel();

	private RecordingTargetClient.RecordedExchange accept(List<String> parts, RecordingCallerChannel channel) {
		this.fixture.acceptGeneration(parts, channel);
		return lastExchange();
	}

	private RecordingTargetClient.RecordedExchange lastExchange() {
		return this.fixture.targetClient().exchange(this.fixture.targetClient().sendCount() - 1);
	}

	/**
	 * Loses engines to requests with the same parts.
	 */
	private void crashEngines(int count) {
		for (int i = 0; i < count; i++) {
			RecordingCallerChannel channel = new RecordingCallerChannel();
			RelayedRequest request = this.fixture.acceptGeneration(CRASHING, channel);
			RecordingTargetClient.RecordedExchange exchange = lastExchange();
			String id = exchange.request().target().id();
			exchange.startStream();
			exchange.fail(Ran.UNKNOWN);
			request.callerDisconnected();
			this.fixture.listTarget(id, "bench", false, 2 + i, false);
			this.fixture.advance(1_500);
			reportLoads();
		}
	}

	private void reportLoads() {
		for (String id : new String[] { "e1", "e2", "e3" }) {
			this.fixture.reportLoad(id, 0, 0);
		}
	}

	@Test
	void requestWhoseContentCrashesEnginesIsRefusedAtOnceAsNotRun() {
		crashEngines(3);
		int sends = this.fixture.targetClient().sendCount();
		this.fixture.acceptGeneration(CRASHING, this.caller);
		assertThat(this.fixture.targetClient().sendCount()).isEqualTo(sends);
		assertThat(this.caller.failure().code()).isEqualTo(ResultCode.QUARANTINED);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.NO);
		assertThat(this.caller.failure().retryAfterMillis()).isGreaterThan(60_000);
	}

	@Test
	void repeatedCallThatCrashesTargetsIsRefusedAtOnceAsNotRun() {
		for (int i = 0; i < 3; i++) {
			RelayedRequest request = this.fixture.accept("/order/1", new RecordingCallerChannel());
			String id = lastExchange().request().target().id();
			lastExchange().fail(Ran.UNKNOWN);
			request.callerDisconnected();
			this.fixture.listTarget(id, "desk", false, 2 + i, false);
			this.fixture.advance(1_500);
		}
		this.fixture.accept("/order/1", this.caller);
		assertThat(this.caller.failure().code()).isEqualTo(ResultCode.QUARANTINED);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.NO);
		int sends = this.fixture.targetClient().sendCount();
		this.fixture.accept("/order/2", new RecordingCallerChannel());
		assertThat(this.fixture.targetClient().sendCount()).isEqualTo(sends + 1);
	}

	@Test
	void retryOfARequestThatMayHaveRunIsNotRefusedAsNotRun() {
		for (int i = 0; i < 2; i++) {
			this.fixture.accept("/order/1", new RecordingCallerChannel());
			String id = lastExchange().request().target().id();
			lastExchange().fail(Ran.UNKNOWN);
			this.fixture.listTarget(id, "desk", false, 2 + i, false);
			this.fixture.advance(1_500);
		}
		this.fixture.accept("/order/1", this.caller);
		lastExchange().fail(Ran.UNKNOWN);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
	}

	@Test
	void soundRequestWithTheSameFirstPartIsServed() {
		crashEngines(3);
		RecordingTargetClient.RecordedExchange exchange = accept(List.of("first"), this.caller);
		exchange.startStream();
		exchange.sendEvent(1);
		exchange.complete();
		assertThat(this.caller.eventIds()).isEqualTo("1");
	}

	@Test
	void streamThatEndsInsideItsFirstEventIsALoss() {
		for (int i = 0; i < 3; i++) {
			RelayedRequest request = this.fixture.acceptGeneration(CRASHING, new RecordingCallerChannel());
			RecordingTargetClient.RecordedExchange exchange = lastExchange();
			exchange.startStream();
			exchange.sendBytes("id: 1\nda");
			exchange.complete();
			request.callerDisconnected();
			this.fixture.listTarget(exchange.request().target().id(), "bench", false, 2 + i, false);
			this.fixture.advance(1_500);
			reportLoads();
		}
		assertThat(this.fixture.relayService().quarantine().culprits()).hasSize(1);
	}

	@Test
	void engineThatSaidItWasLeavingHasNotCrashed() {
		for (int i = 0; i < 3; i++) {
			RecordingTargetClient.RecordedExchange exchange = accept(CRASHING, new RecordingCallerChannel());
			String id = exchange.request().target().id();
			this.fixture.listTarget(id, "bench", true);
			exchange.fail(Ran.UNKNOWN);
			this.fixture.listTarget(id, "bench", false, 2 + i, false);
		}
		assertThat(this.fixture.relayService().quarantine().culprits()).isEmpty();
	}

	/**
	 * Breaks a connection to each of the engines in turn.
	 * @param respond whether the engine responds to the next request
	 */
	private void breakConnections(boolean respond) {
		List<String> engines = List.of("e1", "e2", "e3");
		for (String engine : engines) {
			engines.forEach((id) -> this.fixture.listTarget(id, "bench", !id.equals(engine)));
			RelayedRequest broken = this.fixture.acceptGeneration(CRASHING, new RecordingCallerChannel());
			lastExchange().fail(Ran.UNKNOWN);
			broken.callerDisconnected();
			this.fixture.advance(10);
			if (respond) {
				RelayedRequest next = this.fixture.acceptGeneration(List.of(), new RecordingCallerChannel());
				assertThat(lastExchange().request().target().id()).isEqualTo(engine);
				lastExchange().startStream();
				next.callerDisconnected();
			}
			this.fixture.advance(1_500);
			reportLoads();
		}
	}

	@Test
	void engineThatRespondsAfterABrokenConnectionHasNotCrashed() {
		breakConnections(true);
		assertThat(this.fixture.relayService().quarantine().culprits()).isEmpty();
	}

	@Test
	void engineThatStaysSilentAfterABrokenConnectionHasCrashed() {
		breakConnections(false);
		assertThat(this.fixture.relayService().quarantine().culprits()).hasSize(1);
	}

	@ParameterizedTest
	@CsvSource({ "999, true", "1000, false" })
	void streamIsASuspectUntilItHasRunForASecond(long millis, boolean suspected) {
		RecordingTargetClient.RecordedExchange exchange = accept(List.of("sound"), new RecordingCallerChannel());
		exchange.startStream();
		exchange.sendEvent(1);
		this.fixture.advance(millis);
		exchange.fail(Ran.UNKNOWN);
		this.fixture.advance(RelayService.POLL_MILLIS);
		assertThat(this.fixture.crashEvidence().stream().anyMatch((evidence) -> !evidence.crashes().isEmpty()))
			.isEqualTo(suspected);
	}

	@Test
	void emptyStreamClearsNothing() {
		RelayedRequest request = this.fixture.acceptGeneration(CRASHING, new RecordingCallerChannel());
		lastExchange().fail(Ran.UNKNOWN);
		request.callerDisconnected();
		this.fixture.advance(1_500);
		reportLoads();
		RecordingTargetClient.RecordedExchange empty = accept(CRASHING, new RecordingCallerChannel());
		empty.startStream();
		empty.complete();
		crashEngines(2);
		assertThat(this.fixture.relayService().quarantine().culprits()).hasSize(1);
	}

}
