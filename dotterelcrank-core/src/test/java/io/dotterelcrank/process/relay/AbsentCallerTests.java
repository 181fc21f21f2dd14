package io.dotterelcrank.process.relay;

import java.util.List;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.request.Ran;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no attempt of a request is written, and nothing is asked for it, once the
 * close of its caller's connection has arrived, read or not.
 */
class AbsentCallerTests {

	private final RelayFixture fixture = new RelayFixture();

	private final RecordingCallerChannel caller = new RecordingCallerChannel();

	@Test
	void firstAttemptIsNotWritten() {
		this.fixture.accept("/order/1", this.caller);
		assertNotWrittenAfterCallerLeft(0);
	}

	@Test
	void retryIsNotWritten() {
		this.fixture.accept("/order/1", this.caller);
		this.fixture.targetClient().exchange(0).beginWrite();
		this.fixture.targetClient().exchange(0).refuse(503);
		assertNotWrittenAfterCallerLeft(1);
	}

	@Test
	void hedgeIsNotWrittenAndTheSlowAttemptIsCancelled() {
		this.fixture.accept("/lookup/1", this.caller);
		this.fixture.targetClient().exchange(0).beginWrite();
		this.fixture.advance(1_000);
		assertThat(this.fixture.targetClient().sendCount()).isEqualTo(2);
		assertNotWrittenAfterCallerLeft(1);
		assertThat(this.fixture.targetClient().exchange(0).cancelled()).isTrue();
	}

	@Test
	void waitingGenerationAsksNoSidecarForAdmission() {
		this.fixture.admissionClient().link();
		List<String> engines = List.of("e1", "e2", "e3");
		engines.forEach((id) -> this.fixture.reportLoad(id, 9, RelayFixture.MEMORY_TOKENS));
		this.fixture.accept("/notes/1", this.caller);
		assertThat(this.fixture.admissionClient().requestCount()).isZero();
		this.caller.leave();
		engines.forEach((id) -> this.fixture.reportLoad(id, 0, 0));
		this.fixture.advance(RelayService.POLL_MILLIS);
		assertThat(this.fixture.admissionClient().requestCount()).isZero();
		assertThat(this.fixture.relayService().activeRequests()).isZero();
		assertThat(this.fixture.targetClient().sendCount()).isZero();
	}

	@Test
	void nextSidecarIsNotAskedAfterARefusalOrTimeout() {
		this.fixture.admissionClient().link();
		this.fixture.accept("/notes/1", this.caller);
		assertThat(this.fixture.admissionClient().requestCount()).isOne();
		this.caller.leave();
		this.fixture.advance(AdmissionRequester.TIMEOUT_MILLIS);
		assertThat(this.fixture.admissionClient().requestCount()).isOne();
		assertThat(this.fixture.relayService().activeRequests()).isZero();
	}

	@Test
	void slowRequestIsNotHedged() {
		this.fixture.accept("/lookup/1", this.caller);
		this.fixture.targetClient().exchange(0).beginWrite();
		this.caller.leave();
		this.fixture.advance(1_000);
		assertThat(this.fixture.targetClient().sendCount()).isOne();
		assertThat(this.fixture.targetClient().exchange(0).cancelled()).isTrue();
	}

	@Test
	void silentStreamIsNotStoppedForItsResume() {
		this.fixture.accept("/notes/1", this.caller);
		this.fixture.targetClient().exchange(0).startStream();
		this.fixture.targetClient().exchange(0).sendEvent(1);
		this.caller.leave();
		this.fixture.advance(GenerationResumer.STALL_GAPS * 180 + RelayService.POLL_MILLIS);
		assertThat(this.fixture.targetClient().copyRequestCount()).isZero();
		assertThat(this.fixture.targetClient().exchange(0).cancelled()).isTrue();
	}

	@Test
	void resumeIsNotWritten() {
		this.fixture.accept("/notes/1", this.caller);
		this.fixture.targetClient().exchange(0).beginWrite();
		this.fixture.targetClient().exchange(0).startStream();
		this.fixture.targetClient().exchange(0).sendEvent(1);
		this.fixture.advance(1_500);
		this.fixture.targetClient().exchange(0).fail(Ran.UNKNOWN);
		this.fixture.targetClient().completeCopy(0, TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		assertThat(this.fixture.targetClient().exchange(1).request().resumeFrom()).isPresent();
		assertNotWrittenAfterCallerLeft(1);
	}

	@Test
	void attemptWhoseTimeIsOverIsNotWritten() {
		this.fixture.accept("/order/1", this.caller);
		this.fixture.targetClient().exchange(0).markUnwritten();
		this.fixture.holdThread(60_000);
		this.fixture.targetClient().exchange(0).beginWrite();
		assertThat(this.fixture.targetClient().exchange(0).cancelled()).isTrue();
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.NO);
	}

	@Test
	void attemptIsWrittenWhileTheCallerIsConnected() {
		this.fixture.accept("/order/1", this.caller);
		this.fixture.targetClient().exchange(0).beginWrite();
		assertThat(this.fixture.targetClient().exchange(0).cancelled()).isFalse();
	}

	private void assertNotWrittenAfterCallerLeft(int exchange) {
		this.caller.leave();
		this.fixture.targetClient().exchange(exchange).beginWrite();
		assertThat(this.fixture.targetClient().exchange(exchange).cancelled()).isTrue();
		assertThat(this.fixture.relayService().activeRequests()).isZero();
		assertThat(this.fixture.targetClient().sendCount()).isEqualTo(exchange + 1);
	}

}
