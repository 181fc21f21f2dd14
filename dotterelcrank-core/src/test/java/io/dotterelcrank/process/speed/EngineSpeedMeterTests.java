package io.dotterelcrank.process.speed;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.dotterelcrank.connection.EngineSpeed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static org.assertj.core.api.Assertions.withinPercentage;

/**
 * Tests of {@link EngineSpeedMeter}.
 */
class EngineSpeedMeterTests {

	private static final long POLL_MILLIS = 60;

	private static final int PREFILL_PER_POLL = 840;

	private final EngineSpeedMeter meter = EngineSpeedMeter.create();

	private long nowMillis = 5_000;

	private int prompts;

	/**
	 * Plays polls of an engine that decodes one long request and prefills a prompt of
	 * four polls from time to time.
	 * @param count number of prompts
	 * @param prefillFactor factor on the time of prefill
	 * @param stepMillis time per output token
	 * @param pausePolls polls between two prompts
	 */
	private void play(int count, double prefillFactor, long stepMillis, int pausePolls) {
		for (int prompt = 0; prompt < count; prompt++) {
			String id = "p" + this.prompts++;
			int polls = (int) Math.ceil(4 * prefillFactor);
			for (int poll = 0; poll < polls; poll++) {
				poll(stepMillis, new EngineSpeedMeter.Run(id, Math.round(poll * PREFILL_PER_POLL / prefillFactor), 0));
			}
			poll(stepMillis, new EngineSpeedMeter.Run(id, 4 * PREFILL_PER_POLL, 1));
			for (int pause = 1; pause < pausePolls; pause++) {
				poll(stepMillis);
			}
		}
	}

	private void poll(long stepMillis, EngineSpeedMeter.Run... prompts) {
		this.nowMillis += POLL_MILLIS;
		this.decodedTokens += (double) POLL_MILLIS / stepMillis;
		List<EngineSpeedMeter.Run> runs = new ArrayList<>(List.of(prompts));
		runs.add(new EngineSpeedMeter.Run("long", Math.round(this.decodedTokens), Math.round(this.decodedTokens) / 4));
		this.meter.recordReport(this.nowMillis, runs, List.of());
	}

	private double decodedTokens = 3_000;

	private EngineSpeed speed() {
		return this.meter.speed(this.nowMillis);
	}

	@Test
	void nothingIsKnownOfAnIdleEngine() {
		for (int poll = 0; poll < 50; poll++) {
			this.nowMillis += POLL_MILLIS;
			this.meter.recordReport(this.nowMillis, List.of(), List.of());
		}
		assertThat(speed()).isEqualTo(EngineSpeed.UNKNOWN);
	}

	@Test
	void idleTimeBetweenPromptsDoesNotLowerThePrefillRate() {
		play(20, 1, 8, 30);
		assertThat(speed().prefillTokensPerSecond()).isCloseTo(14_000, within(300.0));
		assertThat(speed().stepMillis()).isCloseTo(8, within(0.3));
	}

	@Test
	void prefillRateFollowsASlowMachineWithinOnePromptAndRecoversWithinTwoSeconds() {
		play(20, 1, 8, 10);
		play(1, 3, 8, 1);
		assertThat(speed().prefillTokensPerSecond()).isLessThan(7_000);
		for (int poll = 0; poll < 2_000 / POLL_MILLIS; poll++) {
			poll(8);
		}
		assertThat(speed().prefillTokensPerSecond()).isGreaterThan(10_000);
	}

	@Test
	void engineThatIsSlowOnlyInDecodingKeepsItsPrefillRate() {
		play(20, 1, 30, 10);
		assertThat(speed().prefillTokensPerSecond()).isCloseTo(14_000, within(300.0));
		assertThat(speed().stepMillis()).isCloseTo(30, within(1.0));
	}

	@Test
	void stepsBesidePrefillAreKnownApart() {
		for (int prompt = 0; prompt < 40; prompt++) {
			play(1, 1, 15, 1);
			for (int poll = 0; poll < 12; poll++) {
				poll(7);
			}
		}
		assertThat(speed().disturbedStepMillis()).isCloseTo(15, within(1.0));
		assertThat(speed().quietStepMillis()).isCloseTo(7, within(0.3));
		assertThat(speed().stepMillis()).isBetween(7.5, 11.0);
	}

	@Test
	void cachedTokensAndPreemptedRequestsDoNotCount() {
		play(20, 1, 8, 10);
		EngineSpeed before = speed();
		poll(8, new EngineSpeedMeter.Run("cached", 20_000, 0));
		poll(8, new EngineSpeedMeter.Run("cached", 20_840, 0), new EngineSpeedMeter.Run("other", 3_000, 5));
		poll(8, new EngineSpeedMeter.Run("cached", 21_680, 0), new EngineSpeedMeter.Run("other", 0, 5));
		poll(8, new EngineSpeedMeter.Run("cached", 22_520, 0), new EngineSpeedMeter.Run("other", 2_000, 5));
		poll(8, new EngineSpeedMeter.Run("cached", 23_360, 0), new EngineSpeedMeter.Run("other", 3_008, 6));
		assertThat(speed().prefillTokensPerSecond()).isCloseTo(before.prefillTokensPerSecond(), within(300.0));
		assertThat(speed().stepMillis()).isCloseTo(before.stepMillis(), within(0.3));
	}

	@ParameterizedTest
	@CsvSource({ "1, 1", "3, 1", "1, 3", "3, 3" })
	void promptsThatAreListedOnlyWhenPrefilledShowTheRate(double slowness, int promptsAtOnce) {
		List<EngineSpeedMeter.Prompt> admitted = new ArrayList<>();
		List<EngineSpeedMeter.Run> runs = new ArrayList<>();
		double prefilled = 0;
		for (int poll = 0; poll < 1_000; poll++) {
			if (poll % 50 == 0) {
				for (int prompt = 0; prompt < promptsAtOnce; prompt++) {
					admitted
						.add(new EngineSpeedMeter.Prompt("p" + this.prompts++, 3_000, this.nowMillis + 7 * poll % 60));
				}
			}
			this.nowMillis += POLL_MILLIS;
			double busyMillis = admitted.isEmpty() ? 0
					: Math.min(POLL_MILLIS, this.nowMillis - admitted.get(0).admittedMillis());
			prefilled += busyMillis * 14 / slowness;
			runs.clear();
			for (EngineSpeedMeter.Prompt prompt : admitted) {
				if (prefilled >= 3_000) {
					runs.add(new EngineSpeedMeter.Run(prompt.id(), 3_000, 1));
					prefilled -= 3_000;
				}
			}
			this.meter.recordReport(this.nowMillis, runs, admitted);
			admitted.removeIf((prompt) -> runs.stream().anyMatch((run) -> run.id().equals(prompt.id())));
			prefilled = admitted.isEmpty() ? 0 : prefilled;
		}
		assertThat(speed().prefillTokensPerSecond()).isCloseTo(14_000 / slowness, withinPercentage(15));
	}

}
