package io.dotterelcrank.process.relay;

import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.rollout.RolloutSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a process that may have taken the place of another one, and does not use what
 * that one may have used.
 */
class SuccessorTests {

	private static final String SERVICE = "desk";

	private static final long WINDOW_MILLIS = 10_000;

	private final Clock.Manual clock = Clock.manual(100_000);

	private RelayService service(boolean firstStart) {
		return RelayService.of(this.clock, Scheduler.manual(this.clock), RelayClients.of(new RecordingTargetClient()),
				new RelaySettings("giza", 0.2, 52, WINDOW_MILLIS, 2_000, 8_000, "h", RolloutSettings.DISABLED, false,
						firstStart),
				RandomSource.XO_RO_SHI_RO_128_PP.create(5), new MetricRegistry());
	}

	/**
	 * Each process of a host that was killed began with the whole slack of the budget.
	 */
	@Test
	void slackOfTheRetryBudgetIsNotUsedByTwoProcessesInAWindow() {
		RelayService service = service(false);
		assertThat(service.retryBudgetAllows(SERVICE)).isFalse();
		assertThat(service.tryLendRetry(SERVICE)).isFalse();
		this.clock.advance(WINDOW_MILLIS);
		assertThat(retries(service)).isEqualTo(10);
		this.clock.advance(WINDOW_MILLIS / 10);
		assertThat(retries(service)).isEqualTo(31);
	}

	/**
	 * Uses up the budget.
	 * @return number of retries
	 */
	private static int retries(RelayService service) {
		int retries = 0;
		while (service.retryBudgetAllows(SERVICE)) {
			service.retryBudget(SERVICE).recordRetry();
			retries++;
		}
		return retries;
	}

	@Test
	void processEarnsAPartOfTheSlackWithItsAge() {
		RelayService service = service(false);
		this.clock.advance(WINDOW_MILLIS / 2);
		assertThat(retries(service)).isEqualTo(5);
	}

	@Test
	void budgetOfAServiceWithoutRequestsIsAsOldAsTheProcess() {
		RelayService service = service(false);
		this.clock.advance(2 * WINDOW_MILLIS);
		assertThat(service.retryBudgetAllows(SERVICE)).isTrue();
	}

	@Test
	void firstProcessOfASystemHasItsPartAtOnce() {
		assertThat(service(true).retryBudgetAllows(SERVICE)).isTrue();
	}

	@Test
	void permitsOfOtherHostsAreUsedAtOnce() {
		RelayService service = service(false);
		service.addRetryLoan(SERVICE);
		assertThat(service.retryBudgetAllows(SERVICE)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void dumpShowsWhatIsAllowed(boolean firstStart) {
		RelayService service = service(firstStart);
		service.retryBudget(SERVICE).recordRetry();
		assertThat(service.dump()).extracting("retryBudgets")
			.isEqualTo(Map.of(SERVICE, Map.of("used", 1, "allowed", firstStart ? 0.8 * 52 : 0.0, "borrowed", 0)));
	}

}
