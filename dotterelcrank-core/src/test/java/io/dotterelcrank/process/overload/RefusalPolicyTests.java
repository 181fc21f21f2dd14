package io.dotterelcrank.process.overload;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RefusalPolicy} with the times of a generation that is due after 1.2 s
 * and whose caller waits for 6 s.
 */
class RefusalPolicyTests {

	private final RefusalPolicy policy = new RefusalPolicy.ForExpectedStart();

	private static RefusalPolicy.WaitEstimate wait(long waitedMillis, long startMillis, long lateStartMillis) {
		return new RefusalPolicy.WaitEstimate(waitedMillis, startMillis, lateStartMillis, 1_200, 6_000, true);
	}

	@Test
	void generationThatCanBeOnTimeWaitsHoweverLongALateOneWould() {
		assertThat(this.policy.refuses(wait(0, 900, Backlog.NEVER))).isFalse();
	}

	@Test
	void generationThatWouldNeverStartIsRefusedAtItsArrival() {
		assertThat(this.policy.refuses(wait(0, 2_000, Backlog.NEVER))).isTrue();
		assertThat(this.policy.refuses(wait(0, 2_000, 7_000))).isTrue();
	}

	@Test
	void generationThatWouldBeLateButOfUseWaits() {
		assertThat(this.policy.refuses(wait(0, 2_000, 4_000))).isFalse();
	}

	@Test
	void waitingGenerationIsRefusedOnlyWhenItsExpectedStartIsMuchTooLate() {
		assertThat(this.policy.refuses(wait(2_000, Backlog.NEVER, 5_000))).isFalse();
		assertThat(this.policy.refuses(wait(2_000, Backlog.NEVER, 6_500))).isTrue();
	}

	@Test
	void estimateThatVariesLittleDoesNotChangeTheDecision() {
		for (long startMillis = 3_000; startMillis <= 7_000; startMillis += 100) {
			assertThat(this.policy.refuses(wait(1_300, Backlog.NEVER, startMillis))).isFalse();
		}
	}

	@Test
	void generationIsRefusedOnceNoStartIsOfUse() {
		assertThat(this.policy.refuses(wait(6_000, 0, 0))).isTrue();
	}

	@Test
	void nothingIsRefusedOnUnknownCapacity() {
		RefusalPolicy.WaitEstimate unknown = new RefusalPolicy.WaitEstimate(100, Backlog.NEVER, Backlog.NEVER, 1_200,
				6_000, false);
		assertThat(this.policy.refuses(unknown)).isFalse();
	}

}
