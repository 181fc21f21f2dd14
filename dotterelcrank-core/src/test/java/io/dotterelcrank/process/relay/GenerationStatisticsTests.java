package io.dotterelcrank.process.relay;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests of {@link GenerationStatistics} with the figures of several deployments.
 */
class GenerationStatisticsTests {

	private final GenerationStatistics statistics = new GenerationStatistics();

	@ParameterizedTest
	@CsvSource({ "3000, 940, 420, 1800", "2200, 12, 310, 1500", "3000, 1392, 620, 1803", "400, 90, 40, 300",
			"24000, 6000, 900, 20000" })
	void averagesFollowTheDeployment(long promptTokens, long outputTokens, long firstEventMillis, long goalMillis) {
		for (int i = 0; i < 300; i++) {
			this.statistics.recordArrival(promptTokens, promptTokens + outputTokens);
			this.statistics.recordFirstEvent(promptTokens, firstEventMillis);
		}
		assertThat(this.statistics.typicalTotalTokens()).isCloseTo(promptTokens + outputTokens, within(5L));
		assertThat(this.statistics.typicalRemainingTokens()).isCloseTo(outputTokens / 2, within(5L));
		double expectedRate = (promptTokens >= 500) ? promptTokens * 1_000.0 / firstEventMillis : 7_000;
		assertThat(this.statistics.prefillTokensPerSecond()).isCloseTo(expectedRate, within(expectedRate / 100));
		PlacementStrategy.Demand demand = new PlacementStrategy.Demand(promptTokens, promptTokens + outputTokens, "dc",
				0, 1, goalMillis, goalMillis, PlacementStrategy.Demand.NO_LIMIT, 0);
		long queueTokens = PlacementStrategy.ForEngines
			.maxPendingPrefillTokens(this.statistics.prefillTokensPerSecond(), demand);
		assertThat(Math.round(queueTokens * 1_000 / this.statistics.prefillTokensPerSecond())).isCloseTo(goalMillis,
				within(5L));
	}

	@Test
	void eventIntervalFollowsTheEngines() {
		for (int i = 0; i < 300; i++) {
			this.statistics.recordStream(101, 800);
		}
		assertThat(this.statistics.eventMillis()).isCloseTo(8, within(0.1));
		this.statistics.recordStream(1, 0);
		assertThat(this.statistics.eventMillis()).isCloseTo(8, within(0.1));
	}

	@Test
	void roundTripOfAShortPromptIsNoPrefillRate() {
		this.statistics.recordFirstEvent(20, 50);
		assertThat(this.statistics.prefillTokensPerSecond()).isEqualTo(7_000);
	}

}
