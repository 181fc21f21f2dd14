package io.dotterelcrank.process.admission;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link LengthEstimator} and {@link StepTimeModel}.
 */
class LengthEstimatorTests {

	private final LengthEstimator lengths = LengthEstimator.create();

	@Test
	void learnsEachWorkspace() {
		for (int i = 0; i < 50; i++) {
			this.lengths.learn("short", 20);
			this.lengths.learn("long", 2_000);
		}
		assertThat(this.lengths.distribution("short").mean()).isLessThan(300);
		assertThat(this.lengths.distribution("long").mean()).isBetween(1_500.0, 2_500.0);
	}

	@Test
	void conditionsOnWhatHasBeenProduced() {
		for (int i = 0; i < 50; i++) {
			this.lengths.learn("mixed", (i % 2 == 0) ? 20 : 2_000);
		}
		LengthEstimator.Distribution distribution = this.lengths.distribution("mixed");
		assertThat(distribution.stillRunning(0, 1_000)).isBetween(0.3, 0.7);
		assertThat(distribution.stillRunning(100, 1_000)).isGreaterThan(0.8);
	}

	@Test
	void survivalNeverRises() {
		LengthEstimator.Distribution distribution = this.lengths.distribution("unknown");
		double before = 1;
		for (int length = 1; length < 100_000; length += 37) {
			double now = distribution.longerThan(length);
			assertThat(now).isBetween(0.0, before + 1e-12);
			before = now;
		}
	}

	@Test
	void stepTimesGrowWithTheBatch() {
		StepTimeModel steps = StepTimeModel.create();
		assertThat(steps.predict(10)).isZero();
		for (int i = 0; i < 100; i++) {
			steps.learn(1 + i % 40, 12 + 0.3 * (1 + i % 40));
		}
		assertThat(steps.predict(60)).isBetween(29.0, 31.0);
	}

}
