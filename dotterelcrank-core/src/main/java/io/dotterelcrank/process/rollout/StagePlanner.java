package io.dotterelcrank.process.rollout;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;

import io.dotterelcrank.process.rollout.RolloutDecision.Stage;

/**
 * Plans the stages of a roll-out. Addresses versions that turn bad late: the trial lasts
 * as long as the time allows, and all requests move only for the time that it takes until
 * the old version is idle. That time is bounded by what a bad version may get, since it
 * may show its fault only under full load. Stateless; immutable.
 */
final class StagePlanner {

	/** Part of the time of the order that is kept for the move. */
	private static final double SHIFT_FRACTION = 0.1;

	/** Bounds of it, in units of the time for a roll-back. */
	private static final double MIN_SHIFT = 0.9;

	private static final double MAX_SHIFT = 1.4;

	/** Time in which the old version becomes idle at best, in the same units. */
	private static final double QUICK_SHIFT = 0.4;

	/** Time from a proposal until it is in force at all hosts, in the same units. */
	private static final double SPREAD = 0.1;

	/**
	 * Max time for which the new version has all requests before the old one is emptied.
	 */
	private static final double MAX_SOAK = 0.4;

	/** Number of new targets for each old one from which on all requests may move. */
	private static final double MIN_TARGETS = 0.5;

	private final RolloutSettings settings;

	private final long durationMillis;

	StagePlanner(RolloutSettings settings, long durationMillis) {
		this.settings = settings;
		this.durationMillis = durationMillis;
	}

	/**
	 * Returns the time that is kept for the move.
	 * @return time in milliseconds
	 */
	long shiftMillis() {
		double unit = this.settings.rollbackMillis();
		return Math.round(Math.max(MIN_SHIFT * unit, Math.min(MAX_SHIFT * unit, SHIFT_FRACTION * this.durationMillis)));
	}

	/**
	 * Returns the time in which the share of the new version rises to all requests.
	 * @return time in milliseconds
	 */
	long rampMillis() {
		return shiftMillis() / 8;
	}

	/**
	 * Returns the time after which a new version that seems bad under load is rolled
	 * back.
	 * @return time since the move began, in milliseconds
	 */
	long soakedMillis() {
		double unit = this.settings.rollbackMillis();
		return Math.round(Math.min(shiftMillis() - QUICK_SHIFT * unit, rampMillis() + MAX_SOAK * unit));
	}

	/**
	 * Returns the time after which what the old version runs is moved, too. By then a
	 * roll-back that was decided after the soak is in force.
	 * @return time since the move began, in milliseconds
	 */
	long replaceMillis() {
		return soakedMillis() + Math.round(SPREAD * this.settings.rollbackMillis());
	}

	/**
	 * Plans the next stage.
	 * @param facts what is known of the roll-out
	 * @return the stage with the reason, or empty if the stage in force goes on
	 */
	Optional<Step> plan(Facts facts) {
		if (facts.stage() == null) {
			return Optional.of(new Step(Stage.TRIAL, "order in force"));
		}
		return switch (facts.stage()) {
			case TRIAL -> planTrial(facts);
			case SHIFTING -> planShifting(facts);
			default -> Optional.empty();
		};
	}

	private Optional<Step> planTrial(Facts facts) {
		if (facts.runsAlready() && facts.oldTargets() == 0) {
			return Optional.of(new Step(Stage.SHIFTING, "no other version runs"));
		}
		if (facts.verdict() == VersionTest.Verdict.BAD) {
			return rollBack(facts, "bad");
		}
		long leftMillis = this.durationMillis - facts.ageMillis();
		if (leftMillis > shiftMillis()) {
			return Optional.empty();
		}
		boolean quick = leftMillis <= QUICK_SHIFT * this.settings.rollbackMillis();
		// The bound grows with each request, by the exposed share.
		double soakRequests = (1 - this.settings.exposedShare()) * facts.requestsPerMilli()
				* (replaceMillis() - rampMillis() / 2d);
		if (!quick && spareRequests(facts) < soakRequests) {
			return Optional.empty();
		}
		if (facts.verdict() == VersionTest.Verdict.GOOD || facts.verdict() == VersionTest.Verdict.LIKELY) {
			return (facts.candidateTargets() >= Math.max(1, MIN_TARGETS * facts.oldTargets()))
					? Optional.of(step(Stage.SHIFTING, facts, "good")) : rollBack(facts, "too few targets");
		}
		return quick ? rollBack(facts, "not proven good") : Optional.empty();
	}

	private Optional<Step> planShifting(Facts facts) {
		if (facts.runsAlready() && facts.oldTargets() == 0) {
			return Optional.of(new Step(Stage.COMPLETED, "no other version runs"));
		}
		if (facts.verdict() == VersionTest.Verdict.BAD || facts.shiftVerdict() == VersionTest.Verdict.BAD) {
			return rollBack(facts, "bad under load");
		}
		long leftMillis = this.durationMillis - facts.ageMillis();
		double spreadMillis = SPREAD * this.settings.rollbackMillis();
		boolean doubtful = facts.shiftVerdict() == VersionTest.Verdict.DOUBTFUL
				|| facts.verdict() == VersionTest.Verdict.DOUBTFUL;
		boolean soaked = facts.stageMillis() >= soakedMillis();
		if (soaked && !doubtful && facts.oldIdle()) {
			return Optional.of(step(Stage.COMPLETED, facts, "old version idle"));
		}
		if (doubtful && (soaked || leftMillis <= spreadMillis)) {
			return rollBack(facts, "more likely bad");
		}
		// Acceptance under full load outweighs a bound that is nearly used up.
		boolean trusted = soaked && facts.shiftVerdict() == VersionTest.Verdict.GOOD;
		return (!trusted && leftMillis > 0
				&& spareRequests(facts) < facts.requestsPerMilli() * Math.min(leftMillis, spreadMillis)
						+ (soaked ? facts.oldOutstanding() : 0)) ? rollBack(facts, "exposure used up")
								: Optional.empty();
	}

	private double spareRequests(Facts facts) {
		return this.settings.exposedShare() * facts.sends() + this.settings.exposedSlack() - facts.candidateSends();
	}

	private static Optional<Step> rollBack(Facts facts, String cause) {
		return Optional.of(step(Stage.ROLLED_BACK, facts, cause));
	}

	private static Step step(Stage stage, Facts facts, String cause) {
		return new Step(stage, String.format(Locale.ROOT, "%s; %d of %d requests sent to it; %s", cause,
				facts.candidateSends(), facts.sends(), facts.evidence().get()));
	}

	/**
	 * What a host knows of a roll-out. Immutable.
	 *
	 * @param stage stage in force, or {@code null} if there is none
	 * @param stageMillis time since it began, in milliseconds
	 * @param ageMillis time since the order, in milliseconds
	 * @param runsAlready whether no other version has been running
	 * @param verdict verdict on all responses
	 * @param shiftVerdict verdict on those since all requests began to move
	 * @param sends number of requests sent by all hosts since the order
	 * @param candidateSends number of those sent to the new version
	 * @param requestsPerMilli number of requests a millisecond at the moment
	 * @param candidateTargets number of targets of the new version
	 * @param oldTargets number of targets of the old version
	 * @param oldIdle whether the old version runs nothing and gets nothing
	 * @param oldOutstanding number of requests that it runs, which will be moved
	 * @param evidence returns the evidence for operators
	 */
	record Facts(Stage stage, long stageMillis, long ageMillis, boolean runsAlready, VersionTest.Verdict verdict,
			VersionTest.Verdict shiftVerdict, long sends, long candidateSends, double requestsPerMilli,
			int candidateTargets, int oldTargets, boolean oldIdle, long oldOutstanding, Supplier<String> evidence) {
	}

	/**
	 * A stage to propose. Immutable.
	 *
	 * @param stage the stage
	 * @param reason evidence for operators
	 */
	record Step(Stage stage, String reason) {
	}

}
