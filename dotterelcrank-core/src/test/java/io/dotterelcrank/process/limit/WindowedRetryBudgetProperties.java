package io.dotterelcrank.process.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import io.dotterelcrank.common.Clock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Model check of {@link WindowedRetryBudget}: several hosts, whose clocks freeze at
 * random, never exceed their shared retry budget in any window.
 */
class WindowedRetryBudgetProperties {

	private static final long WINDOW_MILLIS = 10_000;

	private static final double RETRY_RATIO = 0.2;

	private static final double RETRY_SLACK = 52;

	private static final int HOSTS = 4;

	@Property(tries = 10_000, seed = "11")
	void retriesOfAllHostsStayWithinTheBudget(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		Random random = new Random(seed);
		List<Clock.Manual> clocks = new ArrayList<>();
		List<WindowedRetryBudget> budgets = new ArrayList<>();
		for (int i = 0; i < HOSTS; i++) {
			clocks.add(Clock.manual(random.nextInt(5_000)));
			budgets.add(WindowedRetryBudget.of(clocks.get(i), RETRY_RATIO, RETRY_SLACK, WINDOW_MILLIS));
		}
		List<long[]> sends = new ArrayList<>();
		long nowMillis = 0;
		for (int step = 0; step < 60; step++) {
			long elapsedMillis = random.nextInt(900);
			nowMillis += elapsedMillis;
			for (int host = 0; host < HOSTS; host++) {
				boolean frozen = random.nextInt(6) == 0;
				clocks.get(host).advance(frozen ? 0 : elapsedMillis);
				simulateRequests(budgets.get(host), random, sends, nowMillis, frozen);
			}
		}
		checkWindows(sendTimes(sends, 0), sendTimes(sends, 1));
	}

	/**
	 * Returns the times of either the first sends or the retries.
	 * @param sends time and retry flag of each send
	 * @param retryFlag 0 for first sends, 1 for retries
	 * @return times in milliseconds, ascending
	 */
	private static long[] sendTimes(List<long[]> sends, int retryFlag) {
		return sends.stream().filter((send) -> send[1] == retryFlag).mapToLong((send) -> send[0]).sorted().toArray();
	}

	/**
	 * Model check with loans: hosts with few retries lend permits to hosts with many, and
	 * any host may freeze with a borrowed permit.
	 */
	@Property(tries = 10_000, seed = "12")
	void retriesOfAllHostsStayWithinTheBudgetWithLoans(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		Random random = new Random(seed);
		List<Clock.Manual> clocks = new ArrayList<>();
		List<WindowedRetryBudget> budgets = new ArrayList<>();
		for (int i = 0; i < HOSTS; i++) {
			clocks.add(Clock.manual(random.nextInt(5_000)));
			budgets.add(WindowedRetryBudget.of(clocks.get(i), RETRY_RATIO, RETRY_SLACK, WINDOW_MILLIS));
		}
		int busyHost = random.nextInt(HOSTS);
		List<long[]> sends = new ArrayList<>();
		long nowMillis = 0;
		for (int step = 0; step < 60; step++) {
			long elapsedMillis = random.nextInt(900);
			nowMillis += elapsedMillis;
			for (int host = 0; host < HOSTS; host++) {
				boolean frozen = random.nextInt(6) == 0;
				clocks.get(host).advance(frozen ? 0 : elapsedMillis);
				int wanted = (host == busyHost) ? 12 : random.nextInt(3);
				for (int i = 0; !frozen && i < wanted; i++) {
					sendOrBorrow(budgets, host, random, sends, nowMillis);
				}
			}
		}
		checkWindows(sendTimes(sends, 0), sendTimes(sends, 1));
	}

	private static void sendOrBorrow(List<WindowedRetryBudget> budgets, int host, Random random, List<long[]> sends,
			long nowMillis) {
		WindowedRetryBudget budget = budgets.get(host);
		if (random.nextInt(3) == 0) {
			budget.recordRequest();
			sends.add(new long[] { nowMillis, 0 });
		}
		else if (budget.allowsRetry(HOSTS)) {
			budget.recordRetry();
			sends.add(new long[] { nowMillis, 1 });
		}
		else if (budgets.get(random.nextInt(HOSTS)).tryLend(HOSTS)) {
			budget.addBorrowed();
		}
	}

	private static void simulateRequests(WindowedRetryBudget budget, Random random, List<long[]> sends, long nowMillis,
			boolean frozen) {
		if (frozen) {
			return;
		}
		int requestCount = random.nextInt(4);
		for (int i = 0; i < requestCount; i++) {
			budget.recordRequest();
			sends.add(new long[] { nowMillis, 0 });
			while (random.nextInt(10) < 8 && budget.allowsRetry(HOSTS)) {
				budget.recordRetry();
				sends.add(new long[] { nowMillis, 1 });
			}
		}
	}

	/**
	 * Checks the window before each retry. A clock that froze lags behind, so its host
	 * may still count the requests of earlier windows.
	 * @param firstSends times of the first sends, ascending
	 * @param retries times of the retries, ascending
	 */
	private static void checkWindows(long[] firstSends, long[] retries) {
		for (long endMillis : retries) {
			long retried = countBetween(retries, endMillis - WINDOW_MILLIS, endMillis);
			long sentInWindow = countBetween(firstSends, endMillis - WINDOW_MILLIS, endMillis);
			long sentInPreviousWindow = countBetween(firstSends, endMillis - 2 * WINDOW_MILLIS,
					endMillis - WINDOW_MILLIS);
			long sentInOverlappingWindow = countBetween(firstSends, endMillis - WINDOW_MILLIS * 3 / 2,
					endMillis - WINDOW_MILLIS / 2);
			double allowed = RETRY_RATIO
					* Math.max(sentInWindow, Math.max(sentInPreviousWindow, sentInOverlappingWindow)) + RETRY_SLACK;
			assertThat((double) retried).isLessThanOrEqualTo(allowed);
		}
	}

	private static long countBetween(long[] times, long afterMillis, long untilMillis) {
		return countUpTo(times, untilMillis) - countUpTo(times, afterMillis);
	}

	private static int countUpTo(long[] times, long millis) {
		int low = 0;
		int high = times.length;
		while (low < high) {
			int middle = (low + high) >>> 1;
			if (times[middle] <= millis) {
				low = middle + 1;
			}
			else {
				high = middle;
			}
		}
		return low;
	}

}
