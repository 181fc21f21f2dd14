package io.dotterelcrank.process.rollout;

import java.util.EnumMap;
import java.util.Map;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.process.rollout.RolloutDecision.Stage;
import io.dotterelcrank.process.rollout.RolloutFleet.Fault;
import io.dotterelcrank.process.rollout.RolloutFleet.Result;
import io.dotterelcrank.process.rollout.RolloutFleet.Scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Model check of roll-outs: hosts, targets and a store that fail in many ways. With
 * {@code -Drollout.seeds=N} it runs that many seeds for each size and kind of version.
 */
class RolloutProperties {

	private static final int SEEDS = Integer.getInteger("rollout.seeds", 0);

	private static final long FIRST_SEED = Long.getLong("rollout.firstSeed", 1);

	private final Map<Fault, Tally> tallies = new EnumMap<>(Fault.class);

	private String firstFault = "";

	private void run(int hosts, int seeds, boolean disturbed) {
		run(hosts, seeds, disturbed, VersionTest.ForSequentialProbability::new);
	}

	private void run(int hosts, int seeds, boolean disturbed, RolloutDecider.TestFactory tests) {
		for (Fault fault : Fault.values()) {
			Tally tally = this.tallies.computeIfAbsent(fault, (key) -> new Tally());
			for (long seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++) {
				Scenario scenario = scenario(hosts, fault, disturbed, seed);
				Result result = new RolloutFleet(scenario, tests).run();
				tally.add(scenario, result);
				boolean wrong = (fault == Fault.NONE) ? result.stage() != Stage.COMPLETED
						: result.stage() != Stage.ROLLED_BACK;
				if (wrong || result.exposedTooMuch() || result.lateSends() + result.cutOff() > 0) {
					this.firstFault += "\n" + scenario + "\n   " + result;
				}
			}
		}
		System.out.println("hosts " + hosts + (disturbed ? " disturbed" : ""));
		this.tallies.forEach((fault, tally) -> System.out.println("  " + fault + ' ' + tally));
		System.out.println(this.firstFault);
		this.tallies.forEach((fault, tally) -> {
			if (fault != Fault.NONE) {
				// A bad version that is completed breaks the promises by that.
				assertThat(tally.completed).as("bad completed, %s", fault)
					.isLessThanOrEqualTo(bound(RolloutDecider.MISS, tally.runs));
			}
			assertThat(tally.promisesBroken).as("promises broken, %s", fault).isZero();
		});
		Tally good = this.tallies.get(Fault.NONE);
		assertThat(good.foundBad).as("good found bad")
			.isLessThanOrEqualTo(bound(RolloutDecider.FALSE_ALARM, good.runs));
		if (!disturbed) {
			assertThat(good.runs - good.completedInTime).as("good not completed in time")
				.isLessThanOrEqualTo(bound(RolloutDecider.FALSE_ALARM + RolloutDecider.MISS, good.runs));
		}
	}

	/**
	 * Returns how often a verdict may be wrong: never with the few fixed seeds of the
	 * normal test run, else three standard deviations more often than stated.
	 */
	private static int bound(double rate, int number) {
		return (SEEDS == 0) ? 0 : (int) Math.ceil(rate * number + 3 * Math.sqrt(rate * number));
	}

	private static Scenario scenario(int hosts, Fault fault, boolean disturbed, long seed) {
		double rate = (hosts > 100) ? 300 : 40 + 30 * (seed % 6);
		int targets = (hosts > 100) ? 60 : (seed % 2 == 0) ? 30 : 4;
		return new Scenario(hosts, targets, rate, 30_000 + 10_000 * (seed % 5), fault, disturbed, seed);
	}

	/**
	 * The check must see a test that does not test.
	 */
	@Test
	void testThatAcceptsEverythingIsFound() {
		assertThatThrownBy(() -> run(3, 8, false, (falseAlarm, miss) -> new Accepting()))
			.isInstanceOf(AssertionError.class)
			.hasMessageContaining("bad completed");
	}

	@Test
	void threeHosts() {
		run(3, Math.max(2, SEEDS), false);
	}

	@Test
	void threeHostsDisturbed() {
		run(3, Math.max(2, SEEDS), true);
	}

	@Test
	void twentyOneHosts() {
		run(21, Math.max(1, SEEDS), false);
	}

	@Test
	void twentyOneHostsDisturbed() {
		run(21, Math.max(2, SEEDS), true);
	}

	@Test
	void manyHostsDisturbed() {
		run(340, Math.max(1, SEEDS / 20), true);
	}

	/**
	 * Counts of the roll-outs of one kind of version.
	 */
	private static final class Tally {

		private int runs;

		private int completed;

		private int completedInTime;

		private int rolledBack;

		private int foundBad;

		private int clockLost;

		/**
		 * Roll-outs that broke a promise, apart from bad versions that were completed.
		 */
		private int promisesBroken;

		void add(Scenario scenario, Result result) {
			boolean ended = result.stage() == Stage.COMPLETED;
			boolean missed = ended && scenario.fault() != Fault.NONE;
			this.runs++;
			this.completed += ended ? 1 : 0;
			this.completedInTime += (ended && result.millis() <= scenario.durationMillis()) ? 1 : 0;
			this.rolledBack += (result.stage() == Stage.ROLLED_BACK) ? 1 : 0;
			this.foundBad += result.reason().startsWith("bad") ? 1 : 0;
			this.clockLost += result.clockLost() ? 1 : 0;
			boolean exposed = !missed && (result.exposedTooMuch() || result.lateSends() > 0);
			this.promisesBroken += (exposed || result.cutOff() > 0 || result.sentBeforeTrial() > 0) ? 1 : 0;
		}

		@Override
		public String toString() {
			return "runs " + this.runs + " completed " + this.completed + " in time " + this.completedInTime
					+ " rolled back " + this.rolledBack + " found bad " + this.foundBad + " promises broken "
					+ this.promisesBroken + " clock lost " + this.clockLost;
		}

	}

	/**
	 * Test that finds every version good.
	 */
	private static final class Accepting implements VersionTest {

		@Override
		public void record(String route, Kind kind, double requests, double bad, double usual) {
			// Nothing changes the verdict.
		}

		@Override
		public void endSlice(long slices) {
			// Nothing changes the verdict.
		}

		@Override
		public Verdict verdict() {
			return Verdict.GOOD;
		}

		@Override
		public String evidence() {
			return "none";
		}

	}

}
