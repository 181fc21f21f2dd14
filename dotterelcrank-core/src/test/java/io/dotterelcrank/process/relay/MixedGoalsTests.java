package io.dotterelcrank.process.relay;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of generations with a long latency goal beside others with a short one.
 */
class MixedGoalsTests {

	private final RelayFixture fixture = RelayFixture.yieldingToShorterGoals();

	private void reportUnread(long tokens) {
		List.of("e1", "e2", "e3").forEach((engine) -> this.fixture.reportLoad(engine, 2, 3_000, tokens));
	}

	private int sendCount() {
		return this.fixture.targetClient().sendCount();
	}

	private void accept(String path) {
		this.fixture.accept(path, new RecordingCallerChannel());
	}

	@Test
	void generationWithALongGoalYieldsUntilItsTimeRunsShort() {
		accept("/notes/1");
		accept("/summary/1");
		assertThat(sendCount()).isEqualTo(2);
		reportUnread(5_000);
		accept("/summary/2");
		assertThat(sendCount()).isEqualTo(2);
		accept("/notes/2");
		assertThat(sendCount()).isEqualTo(3);
		this.fixture.advance(1_700);
		reportUnread(5_000);
		assertThat(sendCount()).isEqualTo(3);
		this.fixture.advance(150);
		assertThat(sendCount()).isEqualTo(4);
	}

	@Test
	void generationWithALongGoalDoesNotYieldWhileNoneIsShorter() {
		reportUnread(5_000);
		accept("/summary/1");
		assertThat(sendCount()).isOne();
	}

	@Test
	void sidecarIsToldTheSmallerBudget() {
		this.fixture.admissionClient().link();
		accept("/notes/1");
		accept("/summary/1");
		assertThat(this.fixture.admissionClient().request(0).maxPendingPrefillTokens()).isEqualTo(7_560);
		assertThat(this.fixture.admissionClient().request(1).maxPendingPrefillTokens()).isBetween(4_550L, 4_570L);
	}

}
