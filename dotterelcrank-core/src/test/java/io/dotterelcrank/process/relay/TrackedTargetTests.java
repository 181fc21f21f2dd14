package io.dotterelcrank.process.relay;

import java.net.InetSocketAddress;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.process.limit.RatePermitClient;
import io.dotterelcrank.process.limit.TargetRateLimiter;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link TrackedTarget}.
 */
class TrackedTargetTests {

	private final Clock.Manual clock = Clock.manual(1_000);

	private final TrackedTarget target = new TrackedTarget(this.clock,
			new Target(new TargetRegistration("e", "s", new InetSocketAddress("10.0.0.1", 80), "dc", 4, false, 0, 1, 1),
					0, true, false),
			TargetRateLimiter.of(this.clock), RatePermitClient.Disabled.INSTANCE,
			RandomSource.XO_RO_SHI_RO_128_PP.create(2));

	private boolean inBackoffAfter(long millis) {
		this.clock.advance(millis);
		return this.target.inBackoff();
	}

	@Test
	void backoffDoublesWithEachFailedConnection() {
		this.target.connectionFailed(1_000);
		assertThat(inBackoffAfter(999)).isTrue();
		assertThat(inBackoffAfter(1)).isFalse();
		this.target.connectionFailed(1_000);
		assertThat(inBackoffAfter(1_999)).isTrue();
		assertThat(inBackoffAfter(1)).isFalse();
		for (int i = 0; i < 70; i++) {
			this.target.connectionFailed(1_000);
		}
		assertThat(inBackoffAfter(TrackedTarget.MAX_BACKOFF_MILLIS - 1)).isTrue();
		assertThat(inBackoffAfter(1)).isFalse();
	}

	@Test
	void successResetsTheBackoff() {
		this.target.connectionFailed(1_000);
		this.target.connectionFailed(1_000);
		this.target.recordSuccess(10);
		this.clock.advance(10_000);
		this.target.connectionFailed(1_000);
		assertThat(inBackoffAfter(1_000)).isFalse();
	}

	@Test
	void staleLoadReportIsIgnored() {
		this.target.updateLoad(new EngineLoad("e", "s", "dc", "10.0.0.1:80", 1, 3, 0, 0, 5, 10, true, 500, 0));
		assertThat(this.target.leaving()).isTrue();
		this.clock.advance(TrackedTarget.MAX_LOAD_AGE_MILLIS + 1);
		assertThat(this.target.load()).isNull();
		assertThat(this.target.leaving()).isFalse();
	}

}
