package io.dotterelcrank.process.admission;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.request.Priority;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the implementations of {@link AdmissionPolicy}.
 */
class AdmissionPolicyTests {

	private static final Limits LIMITS = new Limits(45, 5, 500, 4, 8, (workspace) -> 100);

	private final AdmissionState state = AdmissionState.cold(2);

	private static PendingRequest pendingRequest(String id, String workspace) {
		return new PendingRequest(id, workspace, Priority.NORMAL, 100, 1_000, 0);
	}

	private void admit(int count, String workspace) {
		for (int i = 0; i < count; i++) {
			this.state.recordAdmission(pendingRequest(workspace + i, workspace));
		}
	}

	private void warmUp() {
		for (int i = 0; i < Ramp.WARM_LIMIT; i++) {
			this.state.ramp().recordCompletedCall();
		}
	}

	@Test
	void rampLimitRisesWithCompletedWork() {
		admit(2, "a");
		assertThat(AdmissionPolicy.RampPolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state, LIMITS)).isFalse();
		this.state.recordProgress("a0", Ramp.TOKENS_PER_WORK_UNIT);
		assertThat(AdmissionPolicy.RampPolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state, LIMITS)).isTrue();
		this.state.restartRamp();
		assertThat(AdmissionPolicy.RampPolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state, LIMITS)).isFalse();
	}

	@Test
	void rampRefusesWhileTargetMayBeCold() {
		warmUp();
		admit(2, "a");
		this.state.recordInterruptedStreams(1);
		assertThat(AdmissionPolicy.RampPolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state, LIMITS)).isFalse();
		this.state.recordInterruptedStreams(0);
		assertThat(AdmissionPolicy.RampPolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state, LIMITS)).isTrue();
		for (int i = 0; i < 20; i++) {
			this.state.recordStepTime(2, 20);
		}
		this.state.recordStepTime(2, 90);
		assertThat(AdmissionPolicy.RampPolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state, LIMITS)).isFalse();
		this.state.recordStepTime(2, 20);
		assertThat(AdmissionPolicy.RampPolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state, LIMITS)).isTrue();
	}

	@Test
	void stepTimePolicyStopsAtTheStepTimeLimit() {
		warmUp();
		admit(20, "a");
		for (int i = 0; i < 40; i++) {
			this.state.recordStepTime(10, 20);
			this.state.recordStepTime(20, 40);
		}
		assertThat(AdmissionPolicy.StepTimePolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state, LIMITS))
			.isTrue();
		admit(3, "b");
		assertThat(AdmissionPolicy.StepTimePolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state, LIMITS))
			.isFalse();
	}

	@Test
	void stepTimePolicyDoesNotLimitWarmingTarget() {
		admit(2, "a");
		for (int i = 0; i < 40; i++) {
			this.state.recordStepTime(2, 90);
		}
		assertThat(AdmissionPolicy.StepTimePolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state, LIMITS))
			.isTrue();
	}

	@Test
	void memoryForecastUsesLengthsOfTheWorkspace() {
		this.state.recordMemory(6_000, 0, 0);
		admit(8, "a");
		for (int i = 0; i < 60; i++) {
			this.state.lengths().recordLength("a", 20);
		}
		assertThat(AdmissionPolicy.MemoryForecastPolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state, LIMITS))
			.isTrue();
		for (int i = 0; i < 60; i++) {
			this.state.lengths().recordLength("b", 900);
		}
		admit(6, "b");
		assertThat(AdmissionPolicy.MemoryForecastPolicy.INSTANCE.admits(pendingRequest("x", "b"), this.state, LIMITS))
			.isFalse();
	}

	@Test
	void memoryForecastCountsGenerationsOfPredecessor() {
		this.state.recordMemory(6_000, 5_900, 4);
		assertThat(AdmissionPolicy.MemoryForecastPolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state, LIMITS))
			.isFalse();
	}

	@Test
	void fairShareReservesStepTimeForOtherWorkspaces() {
		warmUp();
		for (int i = 0; i < 40; i++) {
			this.state.recordStepTime(10, 20);
			this.state.recordStepTime(20, 40);
		}
		admit(18, "a");
		admit(1, "b");
		assertThat(AdmissionPolicy.FairSharePolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state, LIMITS))
			.isFalse();
		assertThat(AdmissionPolicy.FairSharePolicy.INSTANCE.admits(pendingRequest("x", "b"), this.state, LIMITS))
			.isTrue();
	}

	@Test
	void maxLengthReservationCountsMaxTokens() {
		this.state.recordMemory(2_500, 0, 0);
		admit(1, "a");
		assertThat(AdmissionPolicy.MaxLengthReservationPolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state,
				LIMITS))
			.isTrue();
		admit(2, "a");
		assertThat(AdmissionPolicy.MaxLengthReservationPolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state,
				LIMITS))
			.isFalse();
	}

	@Test
	void concurrencyPoliciesLimitRequestCount() {
		warmUp();
		admit(8, "a");
		assertThat(new AdmissionPolicy.FixedConcurrencyPolicy(9).admits(pendingRequest("x", "a"), this.state, LIMITS))
			.isTrue();
		assertThat(new AdmissionPolicy.FixedConcurrencyPolicy(8).admits(pendingRequest("x", "a"), this.state, LIMITS))
			.isFalse();
		assertThat(
				AdmissionPolicy.ServiceConcurrencyPolicy.INSTANCE.admits(pendingRequest("x", "a"), this.state, LIMITS))
			.isFalse();
	}

	@Test
	void detectsWithinFewStepsThatWarmTargetTurnedCold() {
		warmUp();
		admit(10, "a");
		for (int i = 0; i < 20; i++) {
			this.state.recordStepTime(10, 20);
		}
		boolean detected = false;
		for (int i = 0; i < ColdDetector.CONSECUTIVE_SLOW_STEPS; i++) {
			detected = this.state.recordStepTime(10, 90);
		}
		assertThat(detected).isTrue();
		assertThat(this.state.ramp().warm()).isFalse();
	}

}
