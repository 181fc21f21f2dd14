package io.dotterelcrank.process.relay;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.request.Ran;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RelayService} with a defect that one request meets: the others are
 * served.
 */
class UnexpectedErrorTests {

	private final RelayFixture fixture = new RelayFixture();

	private final RecordingCallerChannel first = new RecordingCallerChannel();

	private final RecordingCallerChannel second = new RecordingCallerChannel();

	private void failSendsOf(String id) {
		this.fixture.targetClient().checkSends((request) -> {
			if (request.request().id().equals(id)) {
				throw new IllegalStateException("defect");
			}
		});
	}

	@Test
	void errorWhileARequestIsPolledLeavesTheOthersAlone() {
		this.fixture.accept("/lookup/1", this.first);
		this.fixture.accept("/lookup/2", this.second);
		failSendsOf("attempt-1");
		this.fixture.advance(200);
		assertThat(this.first.endCount()).isOne();
		assertThat(this.fixture.targetClient().sendCount()).isEqualTo(3);
		this.fixture.targetClient().exchange(1).respond(200, "ok");
		assertThat(this.second.body()).isEqualTo("ok");
		assertThat(this.fixture.relayService().activeRequests()).isZero();
	}

	@Test
	void errorWhileARequestIsSentEndsItWithoutTheClaimThatItHasNotRun() {
		failSendsOf("attempt-1");
		this.fixture.accept("/order/1", this.first);
		assertThat(this.first.failure().ran()).isEqualTo(Ran.UNKNOWN);
		assertThat(this.fixture.relayService().activeRequests()).isZero();
	}

	@Test
	void errorWhileAWaitingRequestIsPlacedLeavesTheOthersAlone() {
		RelayFixture withoutTargets = RelayFixture.withoutTargets();
		withoutTargets.accept("/order/1", this.first);
		withoutTargets.accept("/order/2", this.second);
		withoutTargets.targetClient().checkSends((request) -> {
			if (request.request().id().equals("attempt-1")) {
				throw new IllegalStateException("defect");
			}
		});
		withoutTargets.listTarget("p1", "desk", false);
		assertThat(this.first.endCount()).isOne();
		assertThat(withoutTargets.targetClient().sendCount()).isOne();
	}

}
