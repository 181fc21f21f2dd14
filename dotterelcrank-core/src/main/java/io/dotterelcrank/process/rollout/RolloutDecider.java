package io.dotterelcrank.process.rollout;

import java.util.Map;
import java.util.Optional;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.rollout.RolloutDecision.Stage;

/**
 * Decides on a roll-out from the evidence of all hosts. A few hosts do so side by side;
 * the store accepts the decision that comes first. Addresses deciders that fail halfway:
 * what a decider holds is the sum of what the hosts repeat, so that another one needs
 * only their next messages. Not thread-safe.
 */
final class RolloutDecider {

	/** Number of slices in the time for a roll-back. */
	static final int SLICES = 10;

	/** Probability that a good version is rolled back as bad. */
	static final double FALSE_ALARM = 0.01;

	/** Probability that a bad version is found good. */
	static final double MISS = 0.01;

	private static final int FRESH_SLICES = 1;

	private static final int SILENT_SLICES = SLICES / 2;

	/** Slices over which the rate of the requests is measured. */
	private static final int RATE_SLICES = 2;

	/** Highest rate that is believed, in units of the average one. */
	private static final double MAX_RATE = 2;

	private final Clock clock;

	private final StagePlanner planner;

	private final long sliceMillis;

	private final EvidenceLedger ledger;

	private final VersionAssessment assessment = new VersionAssessment();

	private final VersionTest test;

	private final TestFactory tests;

	private VersionTest shiftTest;

	private boolean shifting;

	private long assessedMillis = Long.MIN_VALUE;

	private long ratedMillis;

	private long ratedSends;

	private double requestsPerMilli;

	RolloutDecider(Clock clock, RolloutSettings settings, StagePlanner planner, TestFactory tests) {
		this.clock = clock;
		this.planner = planner;
		this.sliceMillis = Math.max(1, settings.rollbackMillis() / SLICES);
		this.ledger = new EvidenceLedger(clock);
		this.tests = tests;
		this.test = tests.create(FALSE_ALARM, MISS);
		this.shiftTest = tests.create(FALSE_ALARM, MISS);
		this.ratedMillis = clock.millis();
	}

	/**
	 * Takes the evidence of a host.
	 * @param evidence counts of this or another host
	 */
	void merge(Message.RolloutEvidence evidence) {
		this.ledger.merge(evidence);
	}

	/**
	 * Returns the age of the order.
	 * @return longest time that any host knew of, in milliseconds
	 */
	long orderAgeMillis() {
		return this.ledger.orderAgeMillis();
	}

	/**
	 * Assesses the evidence and plans the next stage.
	 * @param view what this host knows besides the evidence
	 * @return the stage to propose, or empty if the stage in force goes on
	 */
	Optional<StagePlanner.Step> decide(View view) {
		if (view.stage() == Stage.SHIFTING && !this.shifting) {
			this.shifting = true;
			assess();
			this.shiftTest = this.tests.create(FALSE_ALARM, MISS);
		}
		if (this.clock.millis() - this.assessedMillis >= this.sliceMillis || this.assessedMillis == Long.MIN_VALUE) {
			assess();
		}
		Optional<StagePlanner.Step> step = this.planner
			.plan(new StagePlanner.Facts(view.stage(), view.stageMillis(), orderAgeMillis(), view.runsAlready(),
					this.test.verdict(), this.shiftTest.verdict(), this.ledger.sends(), this.ledger.candidateSends(),
					this.requestsPerMilli, view.candidateTargets(), view.oldTargets(),
					view.stage() == Stage.SHIFTING && this.ledger.isOldVersionIdle(view.hostsSince(),
							FRESH_SLICES * this.sliceMillis, SILENT_SLICES * this.sliceMillis),
					(view.stage() == Stage.SHIFTING) ? this.ledger.outstanding(view.hostsSince().keySet()) : 0,
					this::evidence));
		// A host that hears few others has no evidence for more than the beginning.
		return step.filter((next) -> next.stage() == Stage.TRIAL
				|| this.ledger.isHeardOfMost(view.hostsSince().keySet(), SILENT_SLICES * this.sliceMillis));
	}

	private void assess() {
		long nowMillis = this.clock.millis();
		long elapsedMillis = (this.assessedMillis != Long.MIN_VALUE) ? nowMillis - this.assessedMillis
				: orderAgeMillis();
		this.assessedMillis = nowMillis;
		this.assessment.assess(this.ledger.cells(), Math.max(1, elapsedMillis / this.sliceMillis), this.test,
				this.shiftTest);
		if (nowMillis - this.ratedMillis >= RATE_SLICES * this.sliceMillis) {
			double average = (double) this.ledger.sends() / Math.max(1, orderAgeMillis());
			// Evidence that was held up comes all at once.
			this.requestsPerMilli = Math.min(MAX_RATE * average,
					(double) (this.ledger.sends() - this.ratedSends) / (nowMillis - this.ratedMillis));
			this.ratedMillis = nowMillis;
			this.ratedSends = this.ledger.sends();
		}
	}

	/**
	 * Returns the evidence for operators.
	 * @return short text
	 */
	String evidence() {
		return this.test.evidence();
	}

	/**
	 * Creates tests of versions.
	 */
	interface TestFactory {

		/**
		 * Creates a test without responses.
		 * @param falseAlarm probability that a good version is found bad
		 * @param miss probability that a bad version is found good
		 * @return a new test
		 */
		VersionTest create(double falseAlarm, double miss);

	}

	/**
	 * What a host knows besides the evidence. Immutable.
	 *
	 * @param stage stage in force, or {@code null}
	 * @param stageMillis time since it began, in milliseconds
	 * @param runsAlready whether no other version has been running
	 * @param candidateTargets number of targets of the new version
	 * @param oldTargets number of targets of the old version
	 * @param hostsSince entry hosts, with the time from which on evidence of each is
	 * expected
	 */
	record View(Stage stage, long stageMillis, boolean runsAlready, int candidateTargets, int oldTargets,
			Map<String, Long> hostsSince) {
	}

}
