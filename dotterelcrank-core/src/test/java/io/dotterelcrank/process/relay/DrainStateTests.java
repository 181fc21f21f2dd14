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

	@Test
	void nothingIsRefusedBeforeDraining() {
		assertThat(this.drainState.started()).isFalse();
		assertThat(this.drainState.refusesRequests()).isFalse();
		assertThat(this.drainState.refusesStreams()).isFalse();
		assertThat(this.drainState.millis()).isZero();
	}

	@Test
	void streamsAreRefusedBeforeOtherRequests() {
		this.drainState.start(5_000);
		this.clock.advance(2_399);
		assertThat(this.drainState.refusesStreams()).isFalse();
		this.clock.advance(1);
		assertThat(this.drainState.refusesStreams()).isTrue();
		assertThat(this.drainState.refusesRequests()).isFalse();
		this.clock.advance(2_600);
		assertThat(this.drainState.refusesRequests()).isTrue();
	}

}
