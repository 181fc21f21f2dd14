package io.dotterelcrank.process.relay;

import java.util.List;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A planned stop of an entry host: what becomes of requests that were taken before it and
 * not sent yet.
 */
class RequestsWaitingAtStopTests {

	private static final long ACCEPT_MILLIS = 5_600;

	private static final long END_MILLIS = 7_680;

	private final RecordingCallerChannel caller = new RecordingCallerChannel();

	private static void stop(RelayFixture fixture) {
		fixture.relayService().startDraining(ACCEPT_MILLIS, END_MILLIS);
	}

	private void assertRefused(RelayFixture fixture) {
		assertThat(this.caller.failure().code()).isEqualTo(ResultCode.ENTRY_LEAVING);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.NO);
		assertThat(this.caller.failure().retryAfterMillis()).isBetween(200L, 1_000L);
		assertThat(fixture.targetClient().sendCount()).isZero();
		assertThat(fixture.relayService().activeRequests()).isZero();
	}

	/** Streams that waited for memory were started after the signal, and cut. */
	@Test
	void longStreamThatWaitsForMemoryIsRefusedAtTheNextPoll() {
		RelayFixture fixture = new RelayFixture();
		for (String engine : List.of("e1", "e2", "e3")) {
			fixture.reportLoad(engine, 8, RelayFixture.MEMORY_TOKENS);
		}
		fixture.accept("/summary/1", this.caller);
		fixture.advance(RelayService.POLL_MILLIS);
		assertThat(this.caller.endCount()).isZero();
		stop(fixture);
		fixture.advance(RelayService.POLL_MILLIS);
		assertRefused(fixture);
	}

	@Test
	void longStreamThatAwaitsLoadReportsIsRefusedOnceTheyArrive() {
		RelayFixture fixture = RelayFixture.withoutSidecars();
		fixture.accept("/summary/1", this.caller);
		stop(fixture);
		for (int index = 0; index < LoadSampler.SAMPLE_SIZE; index++) {
			fixture.loadReader().respond(index, 0, 0);
		}
		assertRefused(fixture);
	}

	/** Streams whose admission came after the signal were started, and cut. */
	@Test
	void longStreamThatAwaitsAdmissionIsNotSentWhenItIsAdmitted() {
		RelayFixture fixture = new RelayFixture();
		fixture.admissionClient().link();
		fixture.accept("/summary/1", this.caller);
		stop(fixture);
		Message.AdmissionRequest request = fixture.admissionClient().request(0);
		EngineLoad load = new EngineLoad("e1", "bench", "giza", fixture.engineAddress("e1"), 1, 1, 0, 0, 0,
				RelayFixture.MEMORY_TOKENS, false, -1, 0);
		fixture.relayService()
			.handleAdmissionResponse(new Message.AdmissionResponse(request.requestNumber(), true, load));
		assertRefused(fixture);
	}

	@Test
	void longStreamIsNotSentWithoutAdmissionIfTheSidecarsAreSilent() {
		RelayFixture fixture = new RelayFixture();
		fixture.admissionClient().link();
		fixture.accept("/summary/1", this.caller);
		stop(fixture);
		fixture.advance(2 * AdmissionRequester.TIMEOUT_MILLIS);
		assertRefused(fixture);
	}

}
