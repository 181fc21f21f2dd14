package io.dotterelcrank.process.overload;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ReturnDetector}.
 */
class ReturnDetectorTests {

	private final ReturnDetector detector = new ReturnDetector();

	@Test
	void callerWithLessTimeLeftHasReturned() {
		assertThat(this.detector.recordArrival(39_000)).isFalse();
		assertThat(this.detector.recordArrival(39_000)).isFalse();
		assertThat(this.detector.recordArrival(31_500)).isTrue();
		assertThat(this.detector.recordArrival(38_990)).isFalse();
	}

	@Test
	void shorterDeadlinesOfANewPlanBecomeUsual() {
		this.detector.recordArrival(39_000);
		for (int i = 0; i < 1_500; i++) {
			this.detector.recordArrival(20_000);
		}
		assertThat(this.detector.recordArrival(20_000)).isFalse();
		assertThat(this.detector.recordArrival(15_000)).isTrue();
	}

}
