package io.dotterelcrank.process.relay;

import java.net.InetSocketAddress;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link TrackedTarget}.
 */
class TrackedTargetTests {

	private final Clock.Manual clock = Clock.manual(1_000);

	private final TrackedTarget state = new TrackedTarget(this.clock,
			new Target(new TargetRegistration("e", "s", new InetSocketAddress("10.0.0.1", 80), "dc", 4, false, 0, 1, 1),
					0, true, false));

	private boolean avoidedAfter(long millis) {
		this.clock.advance(millis);
		return this.state.avoided();
	}

	@Test
	void unreachedTargetIsAvoidedForADoublingTime() {
		this.state.unreached(1_000);
		assertThat(avoidedAfter(999)).isTrue();
		assertThat(avoidedAfter(1)).isFalse();
		this.state.unreached(1_000);
		assertThat(avoidedAfter(1_999)).isTrue();
		assertThat(avoidedAfter(1)).isFalse();
		for (int i = 0; i < 70; i++) {
			this.state.unreached(1_000);
		}
		assertThat(avoidedAfter(TrackedTarget.MAX_AVOID_MILLIS - 1)).isTrue();
		assertThat(avoidedAfter(1)).isFalse();
	}

	@Test
	void answerEndsTheDoubling() {
		this.state.unreached(1_000);
		this.state.unreached(1_000);
		this.state.succeeded(10);
		this.clock.advance(10_000);
		this.state.unreached(1_000);
		assertThat(avoidedAfter(1_000)).isFalse();
	}

	@Test
	void oldLoadCountsForNothing() {
		this.state.report(new EngineLoad("e", "s", "dc", "10.0.0.1:80", 1, 3, 0, 0, 5, 10, true, 500));
		assertThat(this.state.leaving()).isTrue();
		this.clock.advance(TrackedTarget.LOAD_MILLIS + 1);
		assertThat(this.state.load()).isNull();
		assertThat(this.state.leaving()).isFalse();
	}

}
