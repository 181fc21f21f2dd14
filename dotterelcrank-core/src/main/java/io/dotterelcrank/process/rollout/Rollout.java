package io.dotterelcrank.process.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.VersionCounts;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.rollout.RolloutDecision.Stage;

/**
 * One order at one host: what the versions get here, and what was seen of them. Addresses
 * hosts that lose contact and versions that turn bad: the new version gets something only
 * while the host's knowledge is current and its own evidence does not speak against it.
 * Invariant: the stage never goes back. Not thread-safe.
 */
final class Rollout {

	/** Probability that a host stops sending to a good version by itself. */
	static final double LOCAL_FALSE_ALARM = 0.0001;

	private static final Logger logger = LoggerFactory.getLogger(Rollout.class);

	/** Number of turns in which other targets are tried. */
	private static final int TURNS = 8;

	private final Clock clock;

	private final RolloutOrder order;

	/** Whether no other version has been seen. */
	private boolean runsAlready;

	private final StagePlanner planner;

	private final ExposureGate gate;

	private final TrialChoice trial;

	private final long sliceMillis;

	private final Map<OutcomeCell.Key, OutcomeCell> counts = new HashMap<>();

	private final VersionAssessment assessment = new VersionAssessment();

	private final RolloutDecider.TestFactory tests;

	private final long rollbackMillis;

	private VersionTest test;

	/** When the order was given, as far as this host knows. */
	private long orderedMillis;

	private long assessedMillis;

	private Stage stage;

	private long stageMillis;

	/** Whether this host sends nothing to the new version by its own evidence. */
	private boolean stopped;

	private long stoppedMillis;

	private int outstanding;

	private long turn = -1;

	Rollout(Clock clock, RolloutSettings settings, RolloutOrder order, boolean runsAlready, boolean first,
			RolloutDecider.TestFactory tests) {
		this.clock = clock;
		this.order = order;
		this.runsAlready = runsAlready;
		this.planner = new StagePlanner(settings, order.durationMillis());
		this.gate = new ExposureGate(settings, first);
		this.trial = new TrialChoice(key(order));
		this.sliceMillis = Math.max(1, settings.rollbackMillis() / RolloutDecider.SLICES);
		this.rollbackMillis = settings.rollbackMillis();
		this.tests = tests;
		this.test = tests.create(LOCAL_FALSE_ALARM, RolloutDecider.MISS);
		this.orderedMillis = clock.millis();
		this.assessedMillis = clock.millis();
	}

	private static String key(RolloutOrder order) {
		return order.service() + '\0' + order.offset();
	}

	String key() {
		return key(this.order);
	}

	RolloutOrder order() {
		return this.order;
	}

	StagePlanner planner() {
		return this.planner;
	}

	Stage stage() {
		return this.stage;
	}

	long stageAgeMillis() {
		return this.clock.millis() - this.stageMillis;
	}

	boolean runsAlready() {
		return this.runsAlready;
	}

	/**
	 * Records that other versions run, so that the new one has to be tried.
	 */
	void recordOtherVersions() {
		this.runsAlready = false;
	}

	boolean ended() {
		return this.stage != null && this.stage.isFinal();
	}

	boolean isCandidate(String version) {
		return version.equals(this.order.version());
	}

	long ageMillis() {
		return this.clock.millis() - this.orderedMillis;
	}

	/**
	 * Learns the age of the order from other hosts.
	 * @param millis time since the order; ignored if this host knows of a longer one
	 */
	void updateAge(long millis) {
		this.orderedMillis = Math.min(this.orderedMillis, this.clock.millis() - millis);
	}

	void updateHosts(String host, Collection<String> hosts) {
		this.gate.updateCredit(key(), host, hosts);
	}

	/**
	 * Updates the targets of the service.
	 * @param candidates targets of the new version
	 * @param oldTargets number of targets of the old one
	 */
	void updateTargets(Collection<TargetRegistration> candidates, int oldTargets) {
		this.turn = turnNow();
		this.trial.update(candidates, oldTargets, this.gate.trialShare(), this.turn);
	}

	/**
	 * Returns whether other targets are to be tried now.
	 * @return {@code true} if {@link #updateTargets} has to be called
	 */
	boolean isTurnOver() {
		return this.turn != turnNow();
	}

	private long turnNow() {
		return ageMillis() / Math.max(1, this.order.durationMillis() / TURNS);
	}

	/**
	 * Updates the stage.
	 * @param decision decision for this order
	 * @return whether a later stage than before has begun
	 */
	boolean updateStage(RolloutDecision decision) {
		if (ended() || (this.stage != null && decision.stage().compareTo(this.stage) <= 0)) {
			return false;
		}
		this.stage = decision.stage();
		this.stageMillis = this.clock.millis();
		this.gate.beginRamp();
		LogEvent.ROLLOUT_STAGE.log(logger, this.order.service(), this.order.version(), this.stage, ageMillis(),
				decision.reason());
		return true;
	}

	/**
	 * Returns whether a target of the new version may get a request.
	 * @param id id of the target
	 * @param inContact whether the decisions are known to be current
	 * @return {@code false} if it is not tried, or had its share
	 */
	boolean allowsCandidate(String id, boolean inContact) {
		if (this.stage == Stage.COMPLETED || (this.runsAlready && this.stage != Stage.ROLLED_BACK)) {
			return true;
		}
		if (this.stage == null || !inContact || this.stopped) {
			return false;
		}
		return switch (this.stage) {
			case TRIAL -> this.trial.contains(id) && this.gate.allowsTrial();
			case SHIFTING -> this.gate.allowsRamp(shiftShare());
			default -> false;
		};
	}

	/**
	 * Returns whether the old version may get requests.
	 * @param inContact whether the decisions are known to be current
	 * @return {@code false} if all requests go to the new version
	 */
	boolean allowsOld(boolean inContact) {
		return this.stage != Stage.COMPLETED && !isClosed(inContact);
	}

	/**
	 * Returns whether the old version gets nothing so that it becomes idle.
	 * @param inContact whether the decisions are known to be current
	 * @return {@code true} if all requests go to the new version
	 */
	boolean isClosed(boolean inContact) {
		return this.stage == Stage.SHIFTING && inContact && !this.stopped && shiftShare() >= 1;
	}

	/**
	 * Returns whether what the old version runs has to be moved.
	 * @param inContact whether the decisions are known to be current
	 * @return {@code true} if the new version has had all requests for some time
	 */
	boolean isReplacing(boolean inContact) {
		return isClosed(inContact) && stageAgeMillis() >= this.planner.replaceMillis();
	}

	private double shiftShare() {
		return Math.min(1, (double) (this.clock.millis() - this.stageMillis) / this.planner.rampMillis());
	}

	void recordSend(boolean candidate) {
		this.gate.recordSend(candidate);
		if (!candidate) {
			this.outstanding = Math.max(1, this.outstanding);
		}
	}

	void recordOutcome(RolloutOutcome outcome) {
		this.counts
			.computeIfAbsent(new OutcomeCell.Key(outcome.route(), outcome.dataCentre(), isCandidate(outcome.version())),
					(key) -> new OutcomeCell())
			.record(outcome.failed(), outcome.millis());
	}

	void updateOutstanding(int requests) {
		this.outstanding = requests;
	}

	/**
	 * Assesses this host's own evidence when it is due.
	 */
	void assess() {
		long slices = (this.clock.millis() - this.assessedMillis) / this.sliceMillis;
		if (slices < 1) {
			return;
		}
		this.assessedMillis = this.clock.millis();
		this.assessment.assess(this.counts, slices, this.test);
		if (this.stopped && this.clock.millis() - this.stoppedMillis >= this.rollbackMillis) {
			// The evidence of all hosts has not confirmed that of this one.
			this.stopped = false;
			this.test = this.tests.create(LOCAL_FALSE_ALARM, RolloutDecider.MISS);
		}
		if (!this.stopped && this.test.verdict() == VersionTest.Verdict.BAD) {
			this.stopped = true;
			this.stoppedMillis = this.clock.millis();
			LogEvent.ROLLOUT_STOPPED.log(logger, this.order.service(), this.order.version(), this.test.evidence());
		}
	}

	/**
	 * Returns this host's evidence.
	 * @param sender name of this host
	 * @param incarnation start time of this process
	 * @param closed whether the old version gets nothing from this host for some time
	 * @return cumulative counts
	 */
	Message.RolloutEvidence evidence(String sender, long incarnation, boolean closed) {
		List<VersionCounts> list = this.counts.entrySet()
			.stream()
			.map((entry) -> entry.getValue().toCounts(entry.getKey()))
			.toList();
		return new Message.RolloutEvidence(sender, incarnation, this.order.service(), this.order.offset(), ageMillis(),
				(this.stage != null) ? this.stage.ordinal() : -1, this.outstanding + (closed ? 0 : 1),
				this.gate.sends(), this.gate.candidateSends(), list);
	}

	Map<String, Object> dump() {
		Map<String, Object> values = new LinkedHashMap<>();
		values.put("service", this.order.service());
		values.put("version", this.order.version());
		values.put("offset", this.order.offset());
		values.put("stage", String.valueOf(this.stage));
		values.put("ageMillis", ageMillis());
		values.put("durationMillis", this.order.durationMillis());
		values.put("sends", this.gate.sends());
		values.put("candidateSends", this.gate.candidateSends());
		values.put("oldOutstanding", this.outstanding);
		values.put("stopped", this.stopped);
		values.put("evidence", this.test.evidence());
		return values;
	}

}
