package io.dotterelcrank.process.relay;

import java.util.List;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.request.Header;
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
		assertThat(this.fixture.targetClient().sendCount()).isEqualTo(3);
		this.fixture.targetClient().exchange(0).respond(200, "first");
		this.fixture.targetClient().exchange(1).respond(200, "second");
		assertThat(this.first.body()).isEqualTo("first");
		assertThat(this.second.body()).isEqualTo("second");
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
	void errorAfterAResponseIsCompleteDoesNotLeadToTheClaimThatItHasNotRun() {
		RecordingCallerChannel failing = new RecordingCallerChannel() {

			@Override
			public void sendResponse(int status, List<Header> headers, byte[] bytes) {
				throw new IllegalStateException("defect");
			}

		};
		this.fixture.accept("/order/1", failing);
		this.fixture.targetClient().exchange(0).respond(200, "ok");
		this.fixture.advance(2_000);
		assertThat(failing.failure()).isNull();
		assertThat(failing.aborted()).isTrue();
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
