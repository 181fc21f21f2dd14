package io.dotterelcrank.process.relay;

import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays demand at engines that are slow for good or for seconds, and a mix of long and
 * short outputs.
 */
class UnequalEnginesTests {

	private static final int SLOW_ENGINES = 4;

	/** Factor on the time that slow engines take. */
	private static final double SLOWNESS = 2.5;

	private static final BiFunction<Integer, Long, Double> SLOW_FOR_GOOD = (engine, millis) -> (engine < SLOW_ENGINES)
			? SLOWNESS : 1.0;

	private static final ToIntFunction<Integer> SHORT_OUTPUTS = (request) -> UnequalEngines.SHORT_OUTPUT_TOKENS;

	private static final int LONG_OUTPUT_TOKENS = 1_500;

	/** Prompts per second that all engines prefill while some are slow for good. */
	private static final double FULL_LOAD_PER_SECOND = (UnequalEngines.ENGINES - SLOW_ENGINES + SLOW_ENGINES / SLOWNESS)
			* UnequalEngines.PREFILL_PER_MILLI * 1_000 / UnequalEngines.PROMPT_TOKENS;

	/** Later start that is accepted for a lower load: a tenth of the latency goal. */
	private static final long MAX_LATER_START_MILLIS = UnequalEngines.LATENCY_GOAL_MILLIS / 10;

	private static double startsPerEngine(UnequalEngines engines, boolean slow, long sinceMillis) {
		long count = engines.started.stream()
			.filter((request) -> (request.engine < SLOW_ENGINES) == slow && request.placedMillis >= sinceMillis)
			.count();
		return (double) count / (slow ? SLOW_ENGINES : UnequalEngines.ENGINES - SLOW_ENGINES);
	}

	@Test
	void engineThatIsSlowForGoodGetsWorkInProportionToItsSpeed() {
		UnequalEngines engines = new UnequalEngines(SLOW_FOR_GOOD, SHORT_OUTPUTS, true);
		engines.play(10_000, 45);
		long sinceMillis = engines.clock.millis();
		engines.play(30_000, FULL_LOAD_PER_SECOND);
		double share = startsPerEngine(engines, true, sinceMillis) / startsPerEngine(engines, false, sinceMillis);
		assertThat(share).isBetween(0.5 / SLOWNESS, 1.25 / SLOWNESS);
	}

	@Test
	void requestAtASlowEngineStartsNoLaterThanItWouldAtAFastOne() {
		UnequalEngines engines = new UnequalEngines(SLOW_FOR_GOOD, SHORT_OUTPUTS, true);
		engines.play(10_000, 45);
		engines.started.clear();
		engines.play(40_000, 55);
		List<UnequalEngines.Request> atSlow = engines.started.stream()
			.filter((request) -> request.engine < SLOW_ENGINES)
			.toList();
		double actual = atSlow.stream()
			.mapToDouble((request) -> request.firstEventMillis - request.placedMillis)
			.average()
			.orElseThrow();
		double elsewhere = atSlow.stream()
			.mapToDouble((request) -> request.startMillis.stream()
				.skip(SLOW_ENGINES)
				.mapToDouble(Double::doubleValue)
				.min()
				.orElseThrow())
			.average()
			.orElseThrow();
		assertThat(actual).isLessThan(elsewhere + MAX_LATER_START_MILLIS);
	}

	@Test
	void differentEnginesThatAreSlowForSecondsDelayStartsLessIfTheirSpeedIsTold() {
		assertThat(lateStartMillisWithSlowThirds(true)).isLessThan(lateStartMillisWithSlowThirds(false));
	}

	private static long lateStartMillisWithSlowThirds(boolean speedsTold) {
		UnequalEngines engines = new UnequalEngines(
				(engine, millis) -> ((engine + millis / 3_000) % 3 == 0) ? 2.0 + engine % 4 : 1.0, SHORT_OUTPUTS,
				speedsTold);
		engines.play(45_000, 40);
		return engines.startMillis(0.9);
	}

	@Test
	void engineThatRecoversGetsWorkAgainWithinSeconds() {
		UnequalEngines engines = new UnequalEngines(
				(engine, millis) -> (engine < SLOW_ENGINES && millis < 22_000) ? 4 : 1.0, SHORT_OUTPUTS, true);
		engines.play(18_000, 45);
		long sinceMillis = engines.clock.millis();
		engines.play(5_000, 45);
		assertThat(startsPerEngine(engines, true, sinceMillis))
			.isGreaterThan(0.7 * startsPerEngine(engines, false, sinceMillis));
	}

	@Test
	void longGenerationsEndEarlierIfSpeedsAreTold() {
		UnequalEngines told = playMix(true);
		UnequalEngines untold = playMix(false);
		assertThat(flightSeconds(told, (request) -> request.outputTokens == LONG_OUTPUT_TOKENS))
			.isLessThan(flightSeconds(untold, (request) -> request.outputTokens == LONG_OUTPUT_TOKENS));
		assertThat(flightSeconds(told, (request) -> true)).isLessThan(flightSeconds(untold, (request) -> true));
		assertThat(told.startMillis(0.99)).isLessThan(UnequalEngines.LATENCY_GOAL_MILLIS);
	}

	/**
	 * Plays engines whose times differ by a factor of 2.4, a sixth of them two and a half
	 * times slower for half a second each; a sixth of the outputs is long.
	 */
	private static UnequalEngines playMix(boolean speedsTold) {
		UnequalEngines engines = new UnequalEngines(
				(engine, millis) -> (0.7 + engine / 11.0)
						* ((Math.floorMod(engine * 7 + millis / 500, 6) == 0) ? 2.5 : 1),
				(request) -> (request % 6 == 0) ? LONG_OUTPUT_TOKENS : UnequalEngines.SHORT_OUTPUT_TOKENS, speedsTold);
		engines.play(60_000, 20);
		return engines;
	}

	private static double flightSeconds(UnequalEngines engines, Predicate<UnequalEngines.Request> filter) {
		return engines.started.stream()
			.filter((request) -> filter.test(request) && request.endMillis > 0)
			.mapToLong((request) -> request.endMillis - request.firstEventMillis)
			.average()
			.orElseThrow() / 1_000;
	}

}
