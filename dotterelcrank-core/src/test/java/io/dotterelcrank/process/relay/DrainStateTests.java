package io.dotterelcrank.process.relay;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link DrainState}.
 */
class DrainStateTests {

	private final Clock.Manual clock = Clock.manual(100_000);

	private final DrainState drainState = new DrainState(this.clock, 8_000);

	private boolean refusesSend(boolean stream, long remainingMillis) {
		return this.drainState.refusesSend(stream, this.clock.millis() + remainingMillis);
	}

	@Test
	void nothingIsRefusedBeforeDraining() {
		assertThat(this.drainState.started()).isFalse();
		assertThat(this.drainState.refusesRequests()).isFalse();
		assertThat(refusesSend(true, 60_000)).isFalse();
		assertThat(this.drainState.millis()).isZero();
	}

	@Test
	void streamsAndLongRequestsAreRefusedBeforeOthers() {
		this.drainState.start(5_000, 7_000);
		this.clock.advance(2_399);
		assertThat(refusesSend(true, 4_601)).isFalse();
		assertThat(refusesSend(true, 4_602)).isTrue();
		assertThat(refusesSend(false, 60_000)).isFalse();
		this.clock.advance(1);
		assertThat(refusesSend(true, 1)).isTrue();
		assertThat(refusesSend(false, 4_600)).isFalse();
		assertThat(refusesSend(false, 4_601)).isTrue();
		assertThat(this.drainState.refusesRequests()).isFalse();
		this.clock.advance(2_600);
		assertThat(this.drainState.refusesRequests()).isTrue();
	}

}
