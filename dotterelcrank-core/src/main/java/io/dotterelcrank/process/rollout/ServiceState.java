package io.dotterelcrank.process.rollout;

import java.util.List;

import io.dotterelcrank.process.membership.TargetRegistration;

/**
 * The versions of one service and its roll-out, if there was one, as
 * {@link RolloutControl} keeps them. Not thread-safe.
 */
final class ServiceState {

	final ServiceVersions versions = new ServiceVersions();

	List<TargetRegistration> targets = List.of();

	int candidateTargets;

	int oldTargets;

	Rollout rollout;

	RolloutDecider decider;

	RolloutDecision decision;

	boolean withdrawn;

	List<String> deciders = List.of();

	boolean decides;

	long decidesSinceMillis;

	long nextEvidenceMillis;

	long sentMillis;

	long sentSends = -1;

	RolloutDecision.Stage proposed;

	long nextProposalMillis;

	boolean isOrdered() {
		return this.rollout != null && !this.withdrawn;
	}

	private List<TargetRegistration> candidates() {
		return this.targets.stream()
			.filter((target) -> this.rollout.isCandidate(target.version()) && !target.leaving())
			.toList();
	}

	void updateVersions(String ordered, boolean inContact, long nowMillis, long graceMillis) {
		if (!this.targets.isEmpty()) {
			this.versions.update(this.targets, ordered, inContact, nowMillis, graceMillis);
		}
	}

	void updateTrial() {
		if (!isOrdered() || this.rollout.ended()) {
			return;
		}
		if (this.rollout.runsAlready() && this.versions.othersRun(this.rollout.order().version())) {
			this.versions.demote(this.rollout.order().version());
			this.rollout.recordOtherVersions();
		}
		List<TargetRegistration> candidates = candidates();
		this.candidateTargets = candidates.size();
		this.oldTargets = (int) this.targets.stream()
			.filter((target) -> !this.rollout.isCandidate(target.version()) && !target.leaving()
					&& this.versions.allows(target.version()))
			.count();
		this.rollout.updateTargets(candidates, this.oldTargets);
	}

}
