package io.dotterelcrank.process.relay;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RequestRateGate}.
 */
class RequestRateGateTests {

	private final Clock.Manual clock = Clock.manual(1_000);

	private final RequestRateGate gate = new RequestRateGate(this.clock, "p1");

	@Test
	void lastNamedLimitIsInForce() {
		this.gate.update(RequestLimit.of(3.3), 900);
		this.gate.update(RequestLimit.of(4.9), 900);
		assertThat(this.gate.limit()).isEqualTo(RequestLimit.of(4.9));
	}

	@Test
	void responseToALaterRequestLiftsTheLimit() {
		this.gate.update(RequestLimit.of(3.3), 900);
		this.clock.advance(10);
		this.gate.update(RequestLimit.NONE, 1_005);
		assertThat(this.gate.limit()).isEqualTo(RequestLimit.NONE);
	}

	@Test
	void overtakenResponseDoesNotLiftTheLimit() {
		this.gate.update(RequestLimit.of(3.3), 900);
		this.clock.advance(10);
		this.gate.update(RequestLimit.NONE, 990);
		assertThat(this.gate.limit()).isEqualTo(RequestLimit.of(3.3));
	}

	@Test
	void unreadableLimitKeepsTheLastOne() {
		this.gate.update(RequestLimit.UNREADABLE, 900);
		assertThat(this.gate.limit()).isEqualTo(RequestLimit.NONE);
		this.gate.update(RequestLimit.of(3.3), 900);
		this.clock.advance(100);
		this.gate.update(RequestLimit.UNREADABLE, 1_050);
		this.gate.update(RequestLimit.NONE, 1_060);
		assertThat(this.gate.limit()).isEqualTo(RequestLimit.of(3.3));
	}

}
