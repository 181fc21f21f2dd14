package io.dotterelcrank.process.relay;

import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays of prompts with long and short latency goals at the same engines, with budgets
 * that follow the mix of goals and without.
 */
class MixedPromptsTests {

	private static final int ENGINES = 6;

	private static final long SHORT_GOAL = 1_500;

	private static final long LONG_GOAL = 4_000;

	/** Unread tokens that the short goal leaves. */
	private static final long MAX_TOKENS_AHEAD = MixedPromptsDriver.TOKENS_PER_SECOND * 900 / 1_000;

	private static MixedPromptsDriver replay(boolean mixed, long seed, Consumer<MixedPromptsDriver> load) {
		MixedPromptsDriver driver = new MixedPromptsDriver(ENGINES, mixed, seed);
		load.accept(driver);
		driver.run(12_000, 0, 0);
		assertThat(driver.unfinished()).isZero();
		return driver;
	}

	private static void assertInTime(MixedPromptsDriver driver, long goal, double share) {
		assertThat(driver.startedInTime(goal)).isGreaterThanOrEqualTo(Math.round(share * driver.arrived(goal)));
	}

	private static void burst(MixedPromptsDriver driver, double longPerSecond) {
		driver.run(10_000, 4, 2);
		driver.run(6_000, 4, longPerSecond);
		driver.run(5_000, 4, 2);
	}

	private static void shiftingMix(MixedPromptsDriver driver) {
		for (int i = 0; i < 6; i++) {
			driver.run(3_000, 1, 9);
			driver.run(3_000, 14, 1);
		}
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void bothKindsMeetTheirGoalsInABurstOfLongPromptsAtCapacity(long seed) {
		MixedPromptsDriver driver = replay(true, seed, (load) -> burst(load, 9));
		assertInTime(driver, SHORT_GOAL, 0.95);
		assertInTime(driver, LONG_GOAL, 0.95);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void bothKindsMeetTheirGoalsWhileTheMixShiftsWithinSeconds(long seed) {
		MixedPromptsDriver driver = replay(true, seed, MixedPromptsTests::shiftingMix);
		assertInTime(driver, SHORT_GOAL, 0.95);
		assertInTime(driver, LONG_GOAL, 0.95);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void noPromptWaitsBehindMoreThanTheShortestGoalLeavesEvenAboveCapacity(long seed) {
		MixedPromptsDriver driver = replay(true, seed, (load) -> burst(load, 16));
		assertThat(driver.maxTokensAhead(SHORT_GOAL)).isLessThanOrEqualTo(MAX_TOKENS_AHEAD);
		assertThat(driver.maxTokensAhead(LONG_GOAL)).isLessThanOrEqualTo(MAX_TOKENS_AHEAD);
	}

	@Test
	void aboveCapacityMoreShortPromptsAreInTimeThanLongOnesAreLate() {
		long gained = 0;
		long lost = 0;
		for (long seed = 1; seed <= 10; seed++) {
			MixedPromptsDriver before = replay(false, seed, (load) -> burst(load, 14));
			MixedPromptsDriver after = replay(true, seed, (load) -> burst(load, 14));
			gained += after.startedInTime(SHORT_GOAL) - before.startedInTime(SHORT_GOAL);
			lost += before.startedInTime(LONG_GOAL) - after.startedInTime(LONG_GOAL);
		}
		assertThat(gained).isGreaterThan(2 * lost);
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void loadOfOneKindIsServedAsBefore(boolean longOnes) {
		Consumer<MixedPromptsDriver> load = (driver) -> driver.run(10_000, longOnes ? 0 : 18, longOnes ? 11 : 0);
		long goal = longOnes ? LONG_GOAL : SHORT_GOAL;
		assertThat(replay(true, 1, load).firstEventMillis(goal)).isNotEmpty()
			.isEqualTo(replay(false, 1, load).firstEventMillis(goal));
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void boundHoldsWithStaleReportsAndRestartedHosts(long seed) {
		MixedPromptsDriver driver = replay(true, seed, (load) -> {
			load.run(10_000, 4, 2);
			load.loseReports(true);
			load.run(3_000, 4, 9);
			load.restartHost(0);
			load.restartHost(1);
			load.run(3_000, 4, 9);
			load.loseReports(false);
			load.run(3_000, 4, 2);
		});
		assertThat(driver.maxTokensAhead(SHORT_GOAL)).isLessThanOrEqualTo(MAX_TOKENS_AHEAD);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void shortPromptsStayInTimeBesideASilentSidecar(long seed) {
		MixedPromptsDriver driver = replay(true, seed, (load) -> {
			load.run(10_000, 4, 2);
			load.silenceSidecar(0, true);
			load.run(2_000, 4, 6);
			load.silenceSidecar(0, false);
			load.run(4_000, 4, 2);
		});
		assertInTime(driver, SHORT_GOAL, 0.9);
	}

}
