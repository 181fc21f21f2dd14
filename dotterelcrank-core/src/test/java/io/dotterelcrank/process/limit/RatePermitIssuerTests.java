package io.dotterelcrank.process.limit;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.Message;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RatePermitIssuer}.
 */
class RatePermitIssuerTests {

	private final Clock.Manual clock = Clock.manual(10_000);

	private final RatePermitIssuer issuer = RatePermitIssuer.of(this.clock,
			new TargetRateLimiter.Factory.ForFirstProcess(this.clock));

	private Message.RatePermit ask(double requestsPerSecond) {
		return this.issuer.issue(new Message.RatePermitRequest("p1", true, requestsPerSecond, 100));
	}

	private int grantsWithin(long millis, double requestsPerSecond) {
		int granted = 0;
		for (long elapsed = 0; elapsed < millis; elapsed += 10) {
			for (int host = 0; host < 5; host++) {
				granted += ask(requestsPerSecond).granted() ? 1 : 0;
			}
			this.clock.advance(10);
		}
		return granted;
	}

	@Test
	void permitsStayWithinTheRate() {
		assertThat(grantsWithin(10_000, 3.3)).isBetween(32, 34);
	}

	@Test
	void limitOfZeroGetsAProbeNowAndThen() {
		assertThat(grantsWithin(40_000, 0)).isBetween(4, 5);
	}

	@Test
	void refusalSaysWhenToAskAgain() {
		ask(4);
		assertThat(ask(4)).isEqualTo(new Message.RatePermit("p1", false, true, 250));
	}

	@Test
	void manyHostsAskLessOften() {
		for (int host = 0; host < 340; host++) {
			ask(4);
		}
		assertThat(ask(4).retryAfterMillis()).isGreaterThan(4_000);
	}

	@Test
	void liftedLimitIsPassedOn() {
		this.issuer.issue(new Message.RatePermitRequest("p1", false, 0, 0));
		this.clock.advance(50);
		assertThat(ask(4)).isEqualTo(new Message.RatePermit("p1", false, false, 0));
	}

	@Test
	void limitNamedAfterItWasLiftedHolds() {
		this.issuer.issue(new Message.RatePermitRequest("p1", false, 0, 0));
		this.clock.advance(101);
		assertThat(ask(4).limited()).isTrue();
	}

	/** Each process of the issuing host that was killed had a permit of its own. */
	@Test
	void issuerThatStartsAgainHasNoPermitInItsFirstMoments() {
		int granted = 0;
		for (int process = 0; process < 20; process++) {
			RatePermitIssuer successor = RatePermitIssuer.of(this.clock,
					new TargetRateLimiter.Factory.ForSuccessor(this.clock, this.clock.millis()));
			for (int i = 0; i < 4; i++) {
				granted += successor.issue(new Message.RatePermitRequest("p1", true, 1, 100)).granted() ? 1 : 0;
				this.clock.advance(50);
			}
		}
		assertThat(granted).isLessThanOrEqualTo(4);
	}

	@Test
	void targetsHaveRatesOfTheirOwn() {
		assertThat(ask(1).granted()).isTrue();
		assertThat(this.issuer.issue(new Message.RatePermitRequest("p2", true, 1, 0)).granted()).isTrue();
		assertThat(ask(1).granted()).isFalse();
	}

}
