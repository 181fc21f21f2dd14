package io.dotterelcrank.process.admission;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link LengthEstimator} and {@link StepTimeModel}.
 */
class LengthEstimatorTests {

	private final LengthEstimator lengths = LengthEstimator.create();

	@Test
	void learnsLengthsPerWorkspace() {
		for (int i = 0; i < 50; i++) {
			this.lengths.recordLength("short", 20);
			this.lengths.recordLength("long", 2_000);
		}
		assertThat(this.lengths.distribution("short").mean()).isLessThan(300);
		assertThat(this.lengths.distribution("long").mean()).isBetween(1_500.0, 2_500.0);
	}

	@Test
	void conditionsOnProducedTokens() {
		for (int i = 0; i < 50; i++) {
			this.lengths.recordLength("mixed", (i % 2 == 0) ? 20 : 2_000);
		}
		LengthEstimator.Distribution distribution = this.lengths.distribution("mixed");
		assertThat(distribution.probabilityStillRunning(0, 1_000)).isBetween(0.3, 0.7);
		assertThat(distribution.probabilityStillRunning(100, 1_000)).isGreaterThan(0.8);
	}

	@Test
	void survivalProbabilityNeverRises() {
		LengthEstimator.Distribution distribution = this.lengths.distribution("unknown");
		double previous = 1;
		for (int length = 1; length < 100_000; length += 37) {
			double current = distribution.probabilityLongerThan(length);
			assertThat(current).isBetween(0.0, previous + 1e-12);
			previous = current;
		}
	}

	@Test
	void stepTimeGrowsWithBatchSize() {
		StepTimeModel stepTimes = StepTimeModel.create();
		assertThat(stepTimes.predict(10)).isZero();
		for (int i = 0; i < 100; i++) {
			stepTimes.learn(1 + i % 40, 12 + 0.3 * (1 + i % 40));
		}
		assertThat(stepTimes.predict(60)).isBetween(29.0, 31.0);
	}

}
