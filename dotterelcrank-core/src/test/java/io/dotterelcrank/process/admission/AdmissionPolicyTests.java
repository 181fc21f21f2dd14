package io.dotterelcrank.process.admission;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.request.Priority;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the implementations of {@link AdmissionPolicy}, on one target each.
 */
class AdmissionPolicyTests {

	private static final Limits LIMITS = new Limits(45, 5, 500, 4, 8, (workspace) -> 100);

	private final AdmissionState state = AdmissionState.unknown(2);

	private static PendingRequest candidate(String id, String workspace) {
		return new PendingRequest(id, workspace, Priority.NORMAL, 100, 1_000, 0);
	}

	private void run(int count, String workspace) {
		for (int i = 0; i < count; i++) {
			this.state.admitted(candidate(workspace + i, workspace));
		}
	}

	private void warmUp() {
		for (int i = 0; i < Ramp.WARM_LIMIT; i++) {
			this.state.ramp().completed();
		}
	}

	@Test
	void withRampEarnsRoomByWork() {
		run(2, "a");
		assertThat(AdmissionPolicy.WithRamp.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS)).isFalse();
		this.state.progressed("a0", Ramp.TOKENS_PER_UNIT);
		assertThat(AdmissionPolicy.WithRamp.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS)).isTrue();
		this.state.restarted();
		assertThat(AdmissionPolicy.WithRamp.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS)).isFalse();
	}

	@Test
	void withRampGivesNothingToATargetInDoubt() {
		warmUp();
		run(2, "a");
		this.state.recordInterruptedStreams(1);
		assertThat(AdmissionPolicy.WithRamp.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS)).isFalse();
		this.state.recordInterruptedStreams(0);
		assertThat(AdmissionPolicy.WithRamp.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS)).isTrue();
		for (int i = 0; i < 20; i++) {
			this.state.stepObserved(2, 20);
		}
		this.state.stepObserved(2, 90);
		assertThat(AdmissionPolicy.WithRamp.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS)).isFalse();
		this.state.stepObserved(2, 20);
		assertThat(AdmissionPolicy.WithRamp.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS)).isTrue();
	}

	@Test
	void withStepTargetStopsBeforeTheTarget() {
		warmUp();
		run(20, "a");
		for (int i = 0; i < 40; i++) {
			this.state.stepObserved(10, 20);
			this.state.stepObserved(20, 40);
		}
		assertThat(AdmissionPolicy.WithStepTarget.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS)).isTrue();
		run(3, "b");
		assertThat(AdmissionPolicy.WithStepTarget.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS)).isFalse();
	}

	@Test
	void withStepTargetLetsASlowTargetWarmUp() {
		run(2, "a");
		for (int i = 0; i < 40; i++) {
			this.state.stepObserved(2, 90);
		}
		assertThat(AdmissionPolicy.WithStepTarget.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS)).isTrue();
	}

	@Test
	void withForecastMemoryLearnsLengths() {
		this.state.recordMemory(6_000, 0, 0);
		run(8, "a");
		for (int i = 0; i < 60; i++) {
			this.state.lengths().learn("a", 20);
		}
		assertThat(AdmissionPolicy.WithForecastMemory.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS))
			.isTrue();
		for (int i = 0; i < 60; i++) {
			this.state.lengths().learn("b", 900);
		}
		run(6, "b");
		assertThat(AdmissionPolicy.WithForecastMemory.INSTANCE.admits(candidate("x", "b"), this.state, LIMITS))
			.isFalse();
	}

	@Test
	void withForecastMemoryCountsWhatAPredecessorLeft() {
		this.state.recordMemory(6_000, 5_900, 4);
		assertThat(AdmissionPolicy.WithForecastMemory.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS))
			.isFalse();
	}

	@Test
	void withFairShareKeepsTheLastPartForOthers() {
		warmUp();
		for (int i = 0; i < 40; i++) {
			this.state.stepObserved(10, 20);
			this.state.stepObserved(20, 40);
		}
		run(18, "a");
		run(1, "b");
		assertThat(AdmissionPolicy.WithFairShare.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS)).isFalse();
		assertThat(AdmissionPolicy.WithFairShare.INSTANCE.admits(candidate("x", "b"), this.state, LIMITS)).isTrue();
	}

	@Test
	void withReservedMaximumCountsTheLargestOutput() {
		this.state.recordMemory(2_500, 0, 0);
		run(1, "a");
		assertThat(AdmissionPolicy.WithReservedMaximum.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS))
			.isTrue();
		run(2, "a");
		assertThat(AdmissionPolicy.WithReservedMaximum.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS))
			.isFalse();
	}

	@Test
	void withFixedConcurrencyAndServiceLimitCount() {
		warmUp();
		run(8, "a");
		assertThat(new AdmissionPolicy.WithFixedConcurrency(9).admits(candidate("x", "a"), this.state, LIMITS))
			.isTrue();
		assertThat(new AdmissionPolicy.WithFixedConcurrency(8).admits(candidate("x", "a"), this.state, LIMITS))
			.isFalse();
		assertThat(AdmissionPolicy.WithServiceLimit.INSTANCE.admits(candidate("x", "a"), this.state, LIMITS)).isFalse();
	}

	@Test
	void aWarmTargetThatTurnsColdIsNoticedWithinFewSteps() {
		warmUp();
		run(10, "a");
		for (int i = 0; i < 20; i++) {
			this.state.stepObserved(10, 20);
		}
		boolean noticed = false;
		for (int i = 0; i < ColdDetector.SLOW_STEPS; i++) {
			noticed = this.state.stepObserved(10, 90);
		}
		assertThat(noticed).isTrue();
		assertThat(this.state.ramp().warm()).isFalse();
	}

}
