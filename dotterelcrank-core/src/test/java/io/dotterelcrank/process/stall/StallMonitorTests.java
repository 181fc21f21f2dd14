package io.dotterelcrank.process.stall;

import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link StallMonitor}: an engine that reads a huge prompt, one whose queue is
 * held up by its first request, and one that goes silent.
 */
class StallMonitorTests {

	private static final long PROMPT_TOKENS = 3_500;

	/** Time that a prompt takes at the initial rate. */
	private static final long PROMPT_MILLIS = 500;

	private static final long REPORT_MILLIS = 60;

	private final Clock.Manual clock = Clock.manual(10_000);

	private final StallMonitor monitor = StallMonitor.of(this.clock);

	private void report(int waiting, Map<String, Long> prefilledTokens, Set<String> started) {
		report(1, waiting, prefilledTokens, started);
	}

	private void report(long bornMillis, int waiting, Map<String, Long> prefilledTokens, Set<String> started) {
		this.clock.advance(REPORT_MILLIS);
		this.monitor.update(new StallMonitor.Observation(bornMillis, waiting, prefilledTokens, started));
	}

	private long stalledMillis() {
		return this.monitor.stalledMillis(PROMPT_TOKENS);
	}

	@Test
	void engineThatReadsHugePromptIsNotStalled() {
		for (long tokens = 0; tokens < 60_000; tokens += 400) {
			report(4, Map.of("huge", tokens), Set.of("stream"));
			assertThat(stalledMillis()).isZero();
		}
	}

	@Test
	void queueHeldUpBesideRunningStreamsIsStalledUntilARequestStarts() {
		report(0, Map.of(), Set.of("stream"));
		report(1, Map.of(), Set.of("stream"));
		this.clock.advance(PROMPT_MILLIS);
		assertThat(stalledMillis()).isZero();
		for (int i = 0; i < 10; i++) {
			report(1 + i, Map.of(), Set.of("stream"));
		}
		assertThat(stalledMillis()).isEqualTo(10 * REPORT_MILLIS);
		assertThat(this.monitor.stalledTokens(PROMPT_TOKENS)).isEqualTo(4_200);
		report(9, Map.of("first", 0L), Set.of("stream"));
		assertThat(stalledMillis()).isZero();
	}

	@Test
	void prefillThatDoesNotContinueIsAStall() {
		report(0, Map.of("a", 1_000L), Set.of());
		this.clock.advance(2_000);
		report(3, Map.of("a", 1_000L), Set.of());
		assertThat(stalledMillis()).isEqualTo(2_000 + REPORT_MILLIS - PROMPT_MILLIS);
		report(3, Map.of(), Set.of("a"));
		assertThat(stalledMillis()).isZero();
	}

	@Test
	void silentEngineIsStalledWithAndWithoutAQueue() {
		report(0, Map.of(), Set.of("stream"));
		this.clock.advance(StallMonitor.MIN_STALL_MILLIS);
		assertThat(stalledMillis()).isZero();
		this.clock.advance(1_000);
		assertThat(stalledMillis()).isEqualTo(1_000);
		report(2, Map.of(), Set.of("stream"));
		this.clock.advance(PROMPT_MILLIS + 1_000);
		assertThat(stalledMillis()).isEqualTo(1_000);
	}

	@Test
	void idleEngineAndRestartedEngineAreNotStalled() {
		report(0, Map.of(), Set.of("stream"));
		for (int i = 0; i < 100; i++) {
			report(0, Map.of(), Set.of("stream"));
		}
		assertThat(stalledMillis()).isZero();
		report(5, Map.of(), Set.of("stream"));
		this.clock.advance(5_000);
		report(2, 5, Map.of(), Set.of());
		assertThat(stalledMillis()).isZero();
	}

	@Test
	void slowEngineIsAllowedMoreTimeForAPrompt() {
		for (int i = 0; i < 200; i++) {
			this.monitor.recordPrefill(PROMPT_TOKENS, 4 * PROMPT_MILLIS);
		}
		report(1, Map.of(), Set.of());
		this.clock.advance(4 * PROMPT_MILLIS - 10);
		assertThat(stalledMillis()).isZero();
		this.clock.advance(1_010);
		assertThat(stalledMillis()).isBetween(980L, 1_000L);
	}

}
