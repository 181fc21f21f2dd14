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
 * Model check of {@link WindowedRetryBudget}: hosts whose processes are killed again and
 * again, one or all of them, and come back, also under new names, use the slack of a
 * window once.
 */
class RestartedRetryBudgetProperties {

	private static final long WINDOW_MILLIS = 10_000;

	private static final double RETRY_RATIO = 0.2;

	private static final double RETRY_SLACK = 52;

	private static final int STEP_MILLIS = 100;

	/** Length of a run: three windows. */
	private static final long RUN_MILLIS = 30_000;

	/** Max time until a host knows of another one, in milliseconds. */
	private static final int NEWS_MILLIS = 1_000;

	@Property(tries = 3_000, seed = "61")
	void retriesStayWithinTheBudgetWhenProcessesStartAgain(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		Fleet fleet = new Fleet(new Random(seed));
		fleet.play();
		fleet.checkWindows();
	}

	/**
	 * Hosts that share a budget. Not thread-safe.
	 */
	private static final class Fleet {

		private final Random random;

		private final List<Host> hosts = new ArrayList<>();

		private final List<Long> requests = new ArrayList<>();

		private final List<Long> retries = new ArrayList<>();

		/** Requests of all hosts in a step. */
		private final int requestsPerStep;

		/** Probability of a kill in a step. */
		private final double killProbability;

		private final boolean killsAll;

		private final boolean renames;

		private long nowMillis;

		/** Names ever used; the members table keeps them. */
		private int names;

		Fleet(Random random) {
			this.random = random;
			this.requestsPerStep = random.nextInt(8);
			this.killProbability = random.nextBoolean() ? 0.005 : 0.03;
			this.killsAll = random.nextBoolean();
			this.renames = random.nextInt(3) == 0;
			this.names = 1 + random.nextInt(6);
			for (int i = 0; i < this.names; i++) {
				this.hosts.add(new Host());
			}
		}

		void play() {
			boolean failing = this.random.nextBoolean();
			for (this.nowMillis = 0; this.nowMillis < RUN_MILLIS; this.nowMillis += STEP_MILLIS) {
				failing ^= this.random.nextInt(30) == 0;
				if (this.random.nextDouble() < this.killProbability) {
					if (this.killsAll) {
						this.hosts.forEach(Host::kill);
					}
					else {
						anyHost().kill();
					}
				}
				for (int i = 0; i < this.requestsPerStep; i++) {
					anyHost().request(failing);
				}
				if (failing) {
					this.hosts.forEach((host) -> host.retry(this.random.nextInt(6)));
				}
				this.hosts.forEach(Host::step);
			}
		}

		private Host anyHost() {
			return this.hosts.get(this.random.nextInt(this.hosts.size()));
		}

		void checkWindows() {
			for (long endMillis : this.retries) {
				long counted = 0;
				for (long shiftMillis = 0; shiftMillis <= WINDOW_MILLIS; shiftMillis += WINDOW_MILLIS / 2) {
					counted = Math.max(counted, countInWindow(this.requests, endMillis - shiftMillis));
				}
				assertThat((double) countInWindow(this.retries, endMillis)).as("retries up to %s ms", endMillis)
					.isLessThanOrEqualTo(RETRY_RATIO * counted + RETRY_SLACK);
			}
		}

		private static long countInWindow(List<Long> times, long endMillis) {
			return times.stream().filter((at) -> at > endMillis - WINDOW_MILLIS && at <= endMillis).count();
		}

		/**
		 * A host, and its process while one runs. Not thread-safe.
		 */
		private final class Host {

			private final Clock.Manual clock = Clock.manual(Fleet.this.random.nextInt(5_000));

			/** {@code null} while no process runs. */
			private WindowedRetryBudget budget = WindowedRetryBudget.of(this.clock, RETRY_RATIO, RETRY_SLACK,
					WINDOW_MILLIS);

			/** Hosts that this one knows of. */
			private int knownHosts = Fleet.this.names;

			private long downUntilMillis;

			private long newsAtMillis;

			void kill() {
				if (this.budget != null) {
					this.budget = null;
					this.downUntilMillis = Fleet.this.nowMillis + 400 + Fleet.this.random.nextInt(1_200);
				}
			}

			void step() {
				this.clock.advance(STEP_MILLIS);
				if (this.budget == null && Fleet.this.nowMillis >= this.downUntilMillis) {
					this.budget = WindowedRetryBudget.ofSuccessor(this.clock, RETRY_RATIO, RETRY_SLACK, WINDOW_MILLIS,
							this.clock.millis());
					this.knownHosts = 1;
					Fleet.this.names += Fleet.this.renames ? 1 : 0;
					this.newsAtMillis = Fleet.this.nowMillis + 300;
				}
				if (Fleet.this.nowMillis >= this.newsAtMillis) {
					this.knownHosts = Fleet.this.names;
					this.newsAtMillis = Fleet.this.nowMillis + Fleet.this.random.nextInt(NEWS_MILLIS);
				}
			}

			void request(boolean fails) {
				Fleet.this.requests.add(Fleet.this.nowMillis);
				if (this.budget != null) {
					this.budget.recordRequest();
					retry(fails ? 1 : 0);
				}
			}

			void retry(int count) {
				for (int i = 0; i < count && this.budget != null; i++) {
					if (this.budget.allowsRetry(this.knownHosts)) {
						this.budget.recordRetry();
						Fleet.this.retries.add(Fleet.this.nowMillis);
					}
					else {
						anyHost().lendTo(this);
					}
				}
			}

			private void lendTo(Host borrower) {
				if (this.budget != null && this.budget.tryLend(this.knownHosts)) {
					borrower.budget.addBorrowed();
				}
			}

		}

	}

}
