package io.dotterelcrank.process.relay;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.dotterelcrank.request.Ran;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RelayedRequest}: refusals that neither confirm nor deny a run.
 */
class UnconfirmedResponseTests {

	private final RelayFixture fixture = new RelayFixture();

	private final RecordingCallerChannel caller = new RecordingCallerChannel();

	private RecordingTargetClient.RecordedExchange exchange(int index) {
		return this.fixture.targetClient().exchange(index);
	}

	@ParameterizedTest
	@ValueSource(ints = { 408, 429, 503 })
	void unconfirmedRefusalIsNotReportedAsNotRun(int status) {
		this.fixture.accept("/order/1", this.caller);
		exchange(0).respondUnconfirmed(status);
		assertThat(this.fixture.targetClient().sendCount()).isOne();
		assertThat(this.caller.status()).isEqualTo(502);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
	}

	@ParameterizedTest
	@ValueSource(ints = { 408, 429, 503 })
	void idempotentRequestWithAnUnconfirmedRefusalIsRetried(int status) {
		this.fixture.accept("/lookup/1", this.caller);
		exchange(0).respondUnconfirmed(status);
		exchange(1).respond(200, "found");
		assertThat(this.caller.status()).isEqualTo(200);
	}

	/**
	 * A target that seals a refusal has made it itself, so that it has run the request:
	 * its 503 was forwarded, and the caller booked again.
	 */
	@ParameterizedTest
	@CsvSource({ "/order/1, 408", "/order/1, 429", "/order/1, 503", "/notes/1, 408", "/notes/1, 429", "/notes/1, 503" })
	void refusalAfterARunIsNotReportedAsNotRun(String path, int status) {
		this.fixture.accept(path, this.caller);
		exchange(0).withPause(5_000).respond(status, "busy");
		assertThat(this.fixture.targetClient().sendCount()).isOne();
		assertThat(this.caller.status()).isEqualTo(502);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
		assertThat(this.caller.failure().retryAfterMillis()).isZero();
		assertThat(this.caller.endCount()).isOne();
	}

	@ParameterizedTest
	@ValueSource(ints = { 408, 429, 503 })
	void idempotentRequestIsRetriedAfterARefusalThatFollowsARun(int status) {
		this.fixture.accept("/lookup/1", this.caller);
		exchange(0).respond(status, "busy");
		exchange(1).respond(200, "found");
		assertThat(this.caller.status()).isEqualTo(200);
	}

	@ParameterizedTest
	@CsvSource({ "503, 503", "500, 503", "503, 429" })
	void refusalOfTheLastTryIsNotReportedAsNotRun(int first, int second) {
		this.fixture.accept("/lookup/1", this.caller);
		exchange(0).respond(first, "failed");
		exchange(1).respond(second, "busy");
		assertThat(this.caller.status()).isEqualTo(502);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
	}

	@Test
	void statedRefusalAfterATryThatMayHaveRunIsNotReportedAsNotRun() {
		this.fixture.accept("/lookup/1", this.caller);
		exchange(0).respond(503, "busy");
		exchange(1).refuse(503);
		assertThat(this.caller.status()).isEqualTo(502);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
	}

	@Test
	void hedgeThatIsRefusedLeavesTheFirstTryItsResponse() {
		this.fixture.accept("/lookup/1", this.caller);
		this.fixture.advance(200);
		exchange(1).respond(429, "busy");
		assertThat(this.caller.endCount()).isZero();
		exchange(0).respond(200, "found");
		assertThat(this.caller.status()).isEqualTo(200);
	}

	@ParameterizedTest
	@ValueSource(ints = { 400, 404, 409, 500, 502, 504 })
	void failureThatPromisesNothingIsForwardedUnchanged(int status) {
		this.fixture.accept("/order/1", this.caller);
		exchange(0).respond(status, "failed");
		assertThat(this.caller.status()).isEqualTo(status);
		assertThat(this.caller.body()).isEqualTo("failed");
	}

	/**
	 * The time that a target wants no requests was read only from refusals that say that
	 * the request was not run.
	 */
	@Test
	void targetThatRefusesAfterARunIsLeftAloneForAsLongAsItAsks() {
		for (int i = 0; i < 2; i++) {
			this.fixture.accept("/order/" + i, new RecordingCallerChannel());
			exchange(i).withPause(5_000).respond(503, "busy");
		}
		this.fixture.accept("/order/9", this.caller);
		assertThat(this.caller.status()).isEqualTo(503);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.NO);
		assertThat(this.fixture.targetClient().sendCount()).isEqualTo(2);
	}

}
