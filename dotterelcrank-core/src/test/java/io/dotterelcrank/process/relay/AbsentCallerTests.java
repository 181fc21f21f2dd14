package io.dotterelcrank.process.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no attempt of a request is written once the close of its caller's connection
 * has arrived, read or not.
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
