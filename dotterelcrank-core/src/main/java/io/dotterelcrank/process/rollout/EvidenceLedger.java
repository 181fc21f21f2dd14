package io.dotterelcrank.process.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.VersionCounts;

/**
 * The evidence of all hosts for one order. Addresses evidence that is lost, comes late or
 * twice, and hosts that restart during a roll-out. Invariant: the counts are the sum over
 * all incarnations of the newest evidence of each, in whatever order it came. Not
 * thread-safe.
 */
final class EvidenceLedger {

	private final Clock clock;

	/** Newest evidence by sender and incarnation. */
	private final Map<String, Map<Long, Report>> reports = new HashMap<>();

	private final Map<OutcomeCell.Key, OutcomeCell> cells = new HashMap<>();

	private long sends;

	private long candidateSends;

	private long orderAgeOffset = Long.MIN_VALUE;

	EvidenceLedger(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Takes evidence of a host.
	 * @param evidence cumulative counts; ignored if newer ones of the same incarnation
	 * are known
	 */
	void merge(Message.RolloutEvidence evidence) {
		this.orderAgeOffset = Math.max(this.orderAgeOffset, evidence.orderAgeMillis() - this.clock.millis());
		Map<Long, Report> incarnations = this.reports.computeIfAbsent(evidence.sender(), (sender) -> new HashMap<>());
		Report last = incarnations.get(evidence.incarnation());
		if (last != null && last.evidence().orderAgeMillis() > evidence.orderAgeMillis()) {
			return;
		}
		incarnations.put(evidence.incarnation(), new Report(evidence, this.clock.millis()));
		if (last != null) {
			add(last.evidence(), -1);
		}
		add(evidence, 1);
	}

	private void add(Message.RolloutEvidence evidence, int sign) {
		this.sends += sign * evidence.sends();
		this.candidateSends += sign * evidence.candidateSends();
		for (VersionCounts counts : evidence.counts()) {
			this.cells.computeIfAbsent(OutcomeCell.Key.of(counts), (key) -> new OutcomeCell()).add(counts, sign);
		}
	}

	/**
	 * Returns the sums of all hosts.
	 * @return live view of the counts
	 */
	Map<OutcomeCell.Key, OutcomeCell> cells() {
		return this.cells;
	}

	/**
	 * Returns how many requests all hosts have sent to the service since the order.
	 * @return number of requests
	 */
	long sends() {
		return this.sends;
	}

	/**
	 * Returns how many requests all hosts have sent to the new version.
	 * @return number of requests
	 */
	long candidateSends() {
		return this.candidateSends;
	}

	/**
	 * Returns the age of the order.
	 * @return longest time that any host knew of, in milliseconds; 0 without evidence
	 */
	long orderAgeMillis() {
		return (this.orderAgeOffset != Long.MIN_VALUE) ? this.clock.millis() + this.orderAgeOffset : 0;
	}

	/**
	 * Returns whether the old version is idle and gets no more requests.
	 * @param hostsSince entry hosts, with the time from which on evidence of each is
	 * expected
	 * @param freshMillis max age of the evidence of a host that is in contact
	 * @param silentMillis time without evidence after which a host is not waited for
	 * @return {@code true} if all hosts that have told evidence lately say so
	 */
	boolean isOldVersionIdle(Map<String, Long> hostsSince, long freshMillis, long silentMillis) {
		boolean anyIdle = false;
		for (Map.Entry<String, Long> host : hostsSince.entrySet()) {
			Report report = newest(host.getKey());
			long heardMillis = (report != null) ? Math.max(report.receivedMillis(), host.getValue()) : host.getValue();
			if (this.clock.millis() - heardMillis > silentMillis) {
				continue;
			}
			if (report == null || !report.isOldVersionIdle()
					|| this.clock.millis() - report.receivedMillis() > freshMillis) {
				return false;
			}
			anyIdle = true;
		}
		return anyIdle;
	}

	/**
	 * Returns how many requests the old version runs, as far as hosts have told.
	 * @param hosts names of the entry hosts
	 * @return number of outstanding requests
	 */
	long outstanding(Collection<String> hosts) {
		return hosts.stream()
			.map(this::newest)
			.filter(Objects::nonNull)
			.mapToLong((report) -> report.evidence().outstanding())
			.sum();
	}

	/**
	 * Returns whether most hosts have told evidence lately.
	 * @param hosts names of the entry hosts
	 * @param silentMillis max age of their evidence
	 * @return {@code false} if this host may be cut off from the others
	 */
	boolean isHeardOfMost(Collection<String> hosts, long silentMillis) {
		long heard = hosts.stream()
			.map(this::newest)
			.filter((report) -> report != null && this.clock.millis() - report.receivedMillis() <= silentMillis)
			.count();
		return 2 * heard > hosts.size();
	}

	private Report newest(String host) {
		return this.reports.getOrDefault(host, Map.of())
			.values()
			.stream()
			.max((a, b) -> Long.compare(a.evidence().incarnation(), b.evidence().incarnation()))
			.orElse(null);
	}

	/**
	 * Evidence with the time at which it came. Immutable.
	 *
	 * @param evidence counts of a host
	 * @param receivedMillis when they came
	 */
	private record Report(Message.RolloutEvidence evidence, long receivedMillis) {

		boolean isOldVersionIdle() {
			return this.evidence.knownStage() >= RolloutDecision.Stage.SHIFTING.ordinal()
					&& this.evidence.outstanding() == 0;
		}

	}

}
