package io.dotterelcrank.process.rollout;

import java.util.Collection;

import io.dotterelcrank.common.RendezvousHash;

/**
 * Limits what the new version of a service gets from this host while it is tried.
 * Addresses bad versions: whatever the other hosts do, and whether or not a decision
 * comes, the new version gets at most its share of all requests. Invariant: over all
 * hosts it gets at most the exposed share of the requests sent, plus a part of the slack.
 * A host that may have restarted during the roll-out has no part of the slack, so that
 * the bound also holds if every host restarts. Not thread-safe.
 */
final class ExposureGate {

	/**
	 * Part of the exposed share that the trial uses; the rest is for the time when all
	 * requests move.
	 */
	static final double TRIAL_FRACTION = 0.25;

	/** Part of it after the first responses. */
	static final double LATER_FRACTION = 0.1;

	/** Number of requests of all hosts after which the share is smaller. */
	static final double TRIAL_REQUESTS = 100;

	private static final double SLACK_FRACTION = 0.6;

	/**
	 * Credit up to which a whole request is within the exposed share as soon as trial
	 * share and credit allow it.
	 */
	private static final double FREE_CREDIT = 1 - TRIAL_FRACTION;

	private final RolloutSettings settings;

	/** Whether this host has a part of the slack. */
	private final boolean first;

	private double credit;

	private double firstSends = Double.MAX_VALUE;

	private long sends;

	private long candidateSends;

	private long rampSends;

	private long rampCandidateSends;

	/**
	 * Creates a gate.
	 * @param settings bounds of the deployment
	 * @param first whether no process of this host has known the order before
	 */
	ExposureGate(RolloutSettings settings, boolean first) {
		this.settings = settings;
		this.first = first;
	}

	/**
	 * Updates this host's part of the slack. Some hosts are ahead of others, so that the
	 * first trial requests do not wait until one host has sent so many that its share is
	 * a whole request.
	 * @param key key of the roll-out
	 * @param host name of this host
	 * @param hosts names of all hosts
	 */
	void updateCredit(String key, String host, Collection<String> hosts) {
		double slack = SLACK_FRACTION * this.settings.exposedSlack();
		int rank = RendezvousHash.rank(key, hosts, (name) -> name).indexOf(host);
		this.firstSends = TRIAL_REQUESTS / trialShare() / Math.max(1, hosts.size());
		double stagger = 1 - (rank + 0.5) / hosts.size();
		if (rank < 0) {
			this.credit = 0;
		}
		else if (!this.first) {
			this.credit = Math.min(FREE_CREDIT, stagger);
		}
		else if (hosts.size() <= 2 * slack) {
			this.credit = slack / hosts.size() - 0.5 + stagger;
		}
		else {
			// What hosts may exceed the exposed share by adds up to the slack at most.
			double excess = Math.sqrt(2 * TRIAL_FRACTION * slack / hosts.size());
			this.credit = Math.min(Math.min(1, FREE_CREDIT + excess), stagger);
		}
	}

	/**
	 * Returns the share of the requests that the trial gets at first.
	 * @return share from 0 to 1
	 */
	double trialShare() {
		return TRIAL_FRACTION * this.settings.exposedShare();
	}

	/**
	 * Returns whether the new version may get another request during the trial.
	 * @return {@code false} if it has had its share of this host's requests
	 */
	boolean allowsTrial() {
		double early = Math.min(this.sends, this.firstSends);
		double share = trialShare() * early + LATER_FRACTION * this.settings.exposedShare() * (this.sends - early);
		return this.candidateSends + 1 <= share + this.credit;
	}

	/**
	 * Returns whether the new version is to get the next request while its share rises.
	 * @param share share at the moment, from 0 to 1
	 * @return {@code false} if it has had its share since the rise began
	 */
	boolean allowsRamp(double share) {
		return this.rampCandidateSends + 1 <= share * (this.rampSends + 1);
	}

	/**
	 * Begins to count for a rising share.
	 */
	void beginRamp() {
		this.rampSends = 0;
		this.rampCandidateSends = 0;
	}

	/**
	 * Records a request, on any path.
	 * @param candidate whether it was sent to the new version
	 */
	void recordSend(boolean candidate) {
		this.sends++;
		this.rampSends++;
		if (candidate) {
			this.candidateSends++;
			this.rampCandidateSends++;
		}
	}

	long sends() {
		return this.sends;
	}

	long candidateSends() {
		return this.candidateSends;
	}

}
