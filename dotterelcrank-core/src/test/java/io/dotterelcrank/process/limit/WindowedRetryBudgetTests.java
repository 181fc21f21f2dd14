package io.dotterelcrank.process.limit;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link WindowedRetryBudget}: permits lent by one host to another.
 */
class WindowedRetryBudgetTests {

	private static final int HOSTS = 20;

	private static final long WINDOW_MILLIS = 10_000;

	private final Clock.Manual clock = Clock.manual(100_000);

	private final WindowedRetryBudget busy = budget();

	private final WindowedRetryBudget idle = budget();

	private WindowedRetryBudget budget() {
		return WindowedRetryBudget.of(this.clock, 0.2, 100, WINDOW_MILLIS);
	}

	private void useUp(WindowedRetryBudget budget) {
		while (budget.allowsRetry(HOSTS)) {
			budget.recordRetry();
		}
	}

	@Test
	void borrowedPermitAllowsOneRetryMore() {
		useUp(this.busy);
		assertThat(this.idle.tryLend(HOSTS)).isTrue();
		this.busy.addBorrowed();
		assertThat(this.busy.allowsRetry(HOSTS)).isTrue();
		this.busy.recordRetry();
		assertThat(this.busy.allowsRetry(HOSTS)).isFalse();
	}

	@Test
	void lenderKeepsHalfOfItsFraction() {
		int lent = 0;
		while (this.idle.tryLend(HOSTS)) {
			lent++;
		}
		int kept = 0;
		while (this.idle.allowsRetry(HOSTS)) {
			this.idle.recordRetry();
			kept++;
		}
		assertThat(lent).isEqualTo(2);
		assertThat(kept).isEqualTo(2);
	}

	@Test
	void lentPermitCountsForOneWindow() {
		while (this.idle.tryLend(HOSTS)) {
			this.clock.advance(1);
		}
		this.clock.advance(WINDOW_MILLIS / 2);
		assertThat(this.idle.tryLend(HOSTS)).isFalse();
		this.clock.advance(WINDOW_MILLIS);
		assertThat(this.idle.tryLend(HOSTS)).isTrue();
	}

	@Test
	void unusedBorrowedPermitExpires() {
		useUp(this.busy);
		this.busy.addBorrowed();
		this.clock.advance(WINDOW_MILLIS / 10);
		assertThat(this.busy.allowsRetry(HOSTS)).isFalse();
	}

}
