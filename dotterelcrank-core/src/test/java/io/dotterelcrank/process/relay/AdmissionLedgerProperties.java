package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Model check of {@link AdmissionLedger}: whatever old loads hosts believe, and whichever
 * granted requests arrive late or never, an engine has no more to read than it is given
 * at most, and nothing that never arrived counts for ever.
 */
class AdmissionLedgerProperties {

	private static final long MEMORY_TOKENS = 200_000;

	private static final long PROMPT_TOKENS = 3_000;

	private static final long STEP_MILLIS = 60;

	private static final long READ_PER_STEP = 14 * STEP_MILLIS / 2;

	private static final int RUNS_READ_AT_ONCE = 2;

	private static final int MOST_STEPS_UNDER_WAY = 8;

	private static final int LOST = 1_000_000;

	@Property(tries = 10_000, seed = "23")
	void engineIsNotGivenMoreToReadThanItTakes(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		Random random = new Random(seed);
		Clock.Manual clock = Clock.manual(1_000);
		AdmissionLedger ledger = AdmissionLedger.of(clock);
		List<Granted> granted = new ArrayList<>();
		report(ledger, granted);
		for (int step = 0; step < 60; step++) {
			int questions = random.nextInt(6);
			for (int i = 0; i < questions; i++) {
				ask(ledger, granted, random, step * 10 + i);
			}
			long unread = granted.stream().filter(Granted::unread).mapToLong((run) -> PROMPT_TOKENS - run.read).sum();
			assertThat(unread).isLessThanOrEqualTo(PlacementStrategy.ForEngines.MAX_UNREAD_TOKENS + PROMPT_TOKENS);
			clock.advance(STEP_MILLIS);
			work(granted);
			if (random.nextInt(5) > 0) {
				report(ledger, granted);
			}
		}
		for (int step = 0; step < 60; step++) {
			clock.advance(STEP_MILLIS);
			work(granted);
			report(ledger, granted);
		}
		assertThat(ledger.load().unreadTokens()).isZero();
	}

	private static void ask(AdmissionLedger ledger, List<Granted> granted, Random random, int number) {
		long known = random.nextInt(4) * PROMPT_TOKENS;
		String id = "r" + number;
		if (ledger.tryAdmit(new Message.AdmissionRequest(number, id, PROMPT_TOKENS, PROMPT_TOKENS + 500, known))) {
			boolean lost = random.nextInt(8) == 0;
			granted.add(new Granted(id, lost ? LOST : random.nextInt(MOST_STEPS_UNDER_WAY)));
		}
	}

	private static void work(List<Granted> granted) {
		granted.stream()
			.filter((run) -> run.stepsUnderWay < LOST && run.stepsUnderWay > 0)
			.forEach((run) -> run.stepsUnderWay--);
		here(granted).limit(RUNS_READ_AT_ONCE).forEach((run) -> run.read += READ_PER_STEP);
	}

	private static Stream<Granted> here(List<Granted> granted) {
		return granted.stream().filter((run) -> run.unread() && run.stepsUnderWay == 0);
	}

	private static void report(AdmissionLedger ledger, List<Granted> granted) {
		List<EngineReport.ActiveRequest> runs = new ArrayList<>();
		here(granted).limit(RUNS_READ_AT_ONCE)
			.forEach((run) -> runs.add(new EngineReport.ActiveRequest(run.id, run.read, 0)));
		granted.stream()
			.filter((run) -> run.read >= PROMPT_TOKENS)
			.forEach((run) -> runs.add(new EngineReport.ActiveRequest(run.id, PROMPT_TOKENS, 1)));
		int waiting = (int) Math.max(0, here(granted).count() - RUNS_READ_AT_ONCE);
		ledger.updateLoad(
				new EngineLoad("e", "s", "dc", "10.0.0.1:80", 1, runs.size(), waiting, 0, 0, MEMORY_TOKENS, false, -1),
				runs);
	}

	/**
	 * A granted request on its way to the engine, and there.
	 */
	private static final class Granted {

		private final String id;

		private int stepsUnderWay;

		private long read;

		Granted(String id, int stepsUnderWay) {
			this.id = id;
			this.stepsUnderWay = stepsUnderWay;
		}

		private boolean unread() {
			return this.stepsUnderWay < LOST && this.read < PROMPT_TOKENS;
		}

	}

}
