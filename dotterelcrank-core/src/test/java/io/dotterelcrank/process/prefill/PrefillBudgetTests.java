package io.dotterelcrank.process.prefill;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PrefillBudget} and {@link GoalMix}.
 */
class PrefillBudgetTests {

	private static final long SHORT_GOAL_MILLIS = 1_500;

	private static final long LONG_GOAL_MILLIS = 4_000;

	private static final long PREFILL_MILLIS = 400;

	private final Clock.Manual clock = Clock.manual(50_000);

	private final GoalMix mix = GoalMix.of(this.clock);

	private final PrefillBudget mixed = PrefillBudget.of(SHORT_GOAL_MILLIS);

	private static PrefillBudget.Prompt prompt(long prefillMillis, long goalMillis, long waitedMillis) {
		return new PrefillBudget.Prompt(prefillMillis, goalMillis, waitedMillis);
	}

	@Test
	void promptWithMuchTimeLeavesRoomForItsOwnLength() {
		assertThat(this.mixed.maxQueueMillis(prompt(PREFILL_MILLIS, LONG_GOAL_MILLIS, 0))).isEqualTo(500);
		assertThat(this.mixed.maxQueueMillis(prompt(2_000, LONG_GOAL_MILLIS, 0)))
			.isEqualTo(PrefillBudget.ForMixedGoals.MIN_QUEUE_MILLIS);
	}

	@Test
	void promptWhoseTimeRunsShortCompetesAsAnEqual() {
		PrefillBudget.Prompt old = prompt(PREFILL_MILLIS, LONG_GOAL_MILLIS, 2_100);
		PrefillBudget.Prompt shortGoal = prompt(300, SHORT_GOAL_MILLIS, 0);
		assertThat(this.mixed.yields(old)).isFalse();
		assertThat(this.mixed.yields(prompt(PREFILL_MILLIS, LONG_GOAL_MILLIS, 2_099))).isTrue();
		assertThat(this.mixed.maxQueueMillis(old)).isEqualTo(this.mixed.maxQueueMillis(shortGoal)).isEqualTo(900);
		assertThat(this.mixed.maxQueueMillis(prompt(PREFILL_MILLIS, LONG_GOAL_MILLIS, 9_000))).isEqualTo(900);
	}

	@Test
	void goalsThatDifferLittleAreServedAsOneGoal() {
		PrefillBudget.Prompt prompt = prompt(PREFILL_MILLIS, 1_800, 0);
		assertThat(this.mixed.yields(prompt)).isFalse();
		assertThat(this.mixed.maxQueueMillis(prompt)).isEqualTo(PrefillBudget.of(0).maxQueueMillis(prompt))
			.isEqualTo(1_080);
	}

	@Test
	void mixRemembersAGoalForAWhileAndIgnoresRareOnes() {
		assertThat(this.mix.shortestGoalMillis()).isEqualTo(GoalMix.NO_GOAL);
		for (int i = 0; i < 60; i++) {
			this.mix.recordArrival((i < 30) ? SHORT_GOAL_MILLIS : LONG_GOAL_MILLIS);
		}
		this.mix.recordArrival(20);
		assertThat(this.mix.shortestGoalMillis()).isEqualTo(SHORT_GOAL_MILLIS);
		for (int second = 0; second < 20; second++) {
			this.clock.advance(1_000);
			this.mix.recordArrival(LONG_GOAL_MILLIS);
		}
		assertThat(this.mix.shortestGoalMillis()).isEqualTo(SHORT_GOAL_MILLIS);
		for (int second = 0; second < 120; second++) {
			this.clock.advance(1_000);
			this.mix.recordArrival(LONG_GOAL_MILLIS);
		}
		assertThat(this.mix.shortestGoalMillis()).isEqualTo(LONG_GOAL_MILLIS);
	}

}
