package io.dotterelcrank.process.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.connection.Clearance;
import io.dotterelcrank.connection.CrashReport;
import io.dotterelcrank.connection.CrashSuspect;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.request.Content;

/**
 * Keeps requests from targets that would crash them, by what all entry hosts have seen.
 * Addresses the load pattern of content that crashes each target that serves it and comes
 * at any host. News spread from host to host: each host passes on to a few others what is
 * new to it, repeats some of it later in case messages were lost, and asks for all of it
 * when it starts. Invariant: hosts with the same evidence refuse the same requests.
 * Confined to the traffic thread.
 */
public final class Quarantine {

	/** Number of hosts to which news are passed on at once. */
	static final int FAN_OUT = 6;

	/** Interval at which some evidence is repeated to one host, in milliseconds. */
	static final long REPEAT_MILLIS = 1_000;

	/** Number of targets whose loss is repeated at a time. */
	static final int REPEATED_REPORTS = 8;

	/** Number of targets in a message. */
	static final int MAX_REPORTS = 16;

	/** Interval at which a host that has started asks others, in milliseconds. */
	static final long ASK_MILLIS = 500;

	/** Number of hosts that are asked at a time. */
	static final int ASKED_HOSTS = 2;

	/** Time after which a host that got no response stops asking, in milliseconds. */
	static final long MAX_ASK_MILLIS = 10_000;

	/**
	 * Age of the last shared success from which on a new one is shared, in milliseconds.
	 */
	static final long SHARE_AGAIN_MILLIS = 1_000;

	private static final Logger logger = LoggerFactory.getLogger(Quarantine.class);

	private final Clock clock;

	private final CrashEvidenceClient client;

	private final UniformRandomProvider random;

	private final CrashLedger ledger;

	private final long startedMillis;

	/** Keys of suspects, which other hosts may know to be sound. */
	private final Set<String> suspectedKeys = new LinkedHashSet<>();

	/** When this host last sent or received the success of a key. */
	private final Map<String, Long> sharedMillis = new HashMap<>();

	/** Targets whose reports are to be passed on. */
	private final Set<String> pendingTargets = new LinkedHashSet<>();

	/** Keys whose successes are to be passed on. */
	private final Set<String> pendingKeys = new LinkedHashSet<>();

	private List<Culprit> culprits = List.of();

	/** Whether the culprits have to be found again. */
	private boolean stale;

	/** Whether all evidence of another host has been received. */
	private boolean informed;

	private long nextAskMillis;

	private long nextRepeatMillis;

	private Quarantine(Clock clock, CrashEvidenceClient client, UniformRandomProvider random) {
		this.clock = clock;
		this.client = client;
		this.random = random;
		this.ledger = new CrashLedger(clock);
		this.startedMillis = clock.millis();
	}

	/**
	 * Creates a quarantine without evidence.
	 * @param clock clock of the process
	 * @param client reaches the other entry hosts
	 * @param random chooses what is repeated
	 * @return a new quarantine, which asks other hosts for their evidence
	 */
	public static Quarantine of(Clock clock, CrashEvidenceClient client, UniformRandomProvider random) {
		return new Quarantine(clock, client, random);
	}

	/**
	 * Returns what crashes targets in a request.
	 * @param content content of the request
	 * @return the culprit, or empty if the request may be sent
	 */
	public Optional<Culprit> find(Content content) {
		return culprits().stream().filter((culprit) -> culprit.matches(content)).findFirst();
	}

	/**
	 * Returns the content that is not sent on.
	 * @return the culprits, the most likely one first
	 */
	public List<Culprit> culprits() {
		if (this.stale) {
			this.stale = false;
			List<Culprit> found = CulpritFinder.find(this.ledger.crashes(), this.ledger::lastSuccessMillis);
			logChanges(found);
			this.culprits = found;
		}
		return this.culprits;
	}

	private void logChanges(List<Culprit> found) {
		Set<Set<String>> before = this.culprits.stream().map(Culprit::keys).collect(Collectors.toSet());
		Set<Set<String>> after = found.stream().map(Culprit::keys).collect(Collectors.toSet());
		found.stream()
			.filter((culprit) -> !before.contains(culprit.keys()))
			.forEach((culprit) -> LogEvent.CONTENT_QUARANTINED.log(logger, culprit.keys(), culprit.crashes()));
		before.stream()
			.filter((keys) -> !after.contains(keys))
			.forEach((keys) -> LogEvent.QUARANTINE_LIFTED.log(logger, keys));
	}

	/**
	 * Returns how long the evidence against a culprit is kept.
	 * @param culprit the culprit
	 * @return time in milliseconds
	 */
	public long remainingMillis(Culprit culprit) {
		return Math.max(0, culprit.lastCrashMillis() + CrashLedger.RETENTION_MILLIS - this.clock.millis());
	}

	/**
	 * Records a request whose target was lost while it started there.
	 * @param target incarnation of the target
	 * @param suspect the request
	 */
	public void recordLoss(String target, CrashSuspect suspect) {
		merge(new CrashReport(target, 0, -1, List.of(suspect)));
	}

	/**
	 * Records that a target has responded.
	 * @param target incarnation of the target
	 * @param sentMillis when the request was sent
	 */
	public void recordResponse(String target, long sentMillis) {
		if (this.ledger.recordAlive(target, sentMillis)) {
			this.pendingTargets.add(target);
			this.stale = true;
		}
	}

	/**
	 * Records that a request went well.
	 * @param content content of the request
	 */
	public void recordSuccess(Content content) {
		content.keys().forEach((key) -> {
			this.ledger.recordSuccess(key, this.clock.millis());
			if (this.suspectedKeys.contains(key)) {
				this.stale = true;
				shareSuccess(key);
			}
		});
	}

	private void shareSuccess(String key) {
		long nowMillis = this.clock.millis();
		Long shared = this.sharedMillis.get(key);
		if (shared == null || nowMillis - shared >= SHARE_AGAIN_MILLIS) {
			this.sharedMillis.put(key, nowMillis);
			this.pendingKeys.add(key);
		}
	}

	/**
	 * Handles evidence of another host.
	 * @param evidence the evidence
	 * @return messages to respond with; none unless the other host asks
	 */
	public List<Message.CrashEvidence> handle(Message.CrashEvidence evidence) {
		evidence.clearances().forEach(this::merge);
		evidence.crashes().forEach(this::merge);
		this.informed |= evidence.complete();
		return evidence.replyRequested() ? reply() : List.of();
	}

	private void merge(Clearance clearance) {
		long millis = this.clock.millis() - Math.max(0, clearance.ageMillis());
		OptionalLong before = this.ledger.recordSuccess(clearance.key(), millis);
		if (before.isEmpty() || millis - before.getAsLong() >= SHARE_AGAIN_MILLIS) {
			this.sharedMillis.put(clearance.key(), this.clock.millis());
			this.pendingKeys.add(clearance.key());
			this.stale = true;
		}
	}

	private void merge(CrashReport report) {
		if (this.ledger.merge(report)) {
			this.pendingTargets.add(report.target());
			this.stale = true;
			report.suspects().stream().flatMap(Content::keys).distinct().forEach(this::suspect);
		}
	}

	private void suspect(String key) {
		this.suspectedKeys.add(key);
		boolean proven = this.ledger.lastSuccessMillis(key).orElse(Long.MIN_VALUE) > this.clock.millis()
				- CulpritFinder.PROVEN_MILLIS;
		if (proven) {
			shareSuccess(key);
		}
	}

	private List<Message.CrashEvidence> reply() {
		List<String> targets = this.ledger.targets();
		List<Message.CrashEvidence> messages = new ArrayList<>();
		for (int from = 0; from < targets.size(); from += MAX_REPORTS) {
			List<String> next = targets.subList(from, Math.min(targets.size(), from + MAX_REPORTS));
			messages.add(evidence(next, suspectedKeys(next)));
		}
		messages.add(new Message.CrashEvidence(List.of(), List.of(), false, this.informed));
		return messages;
	}

	/**
	 * Passes news on, repeats old evidence and asks other hosts, each when it is due.
	 */
	public void poll() {
		long nowMillis = this.clock.millis();
		if (this.ledger.removeExpired()) {
			this.stale = true;
			forgetUnsuspected();
		}
		this.pendingTargets.removeIf((target) -> !this.ledger.contains(target));
		if (!this.pendingTargets.isEmpty() || !this.pendingKeys.isEmpty()) {
			List<String> targets = this.pendingTargets.stream().limit(MAX_REPORTS).toList();
			this.client.send(evidence(targets, this.pendingKeys), FAN_OUT);
			targets.forEach(this.pendingTargets::remove);
			this.pendingKeys.clear();
		}
		if (nowMillis >= this.nextRepeatMillis && !this.ledger.targets().isEmpty()) {
			this.nextRepeatMillis = nowMillis + REPEAT_MILLIS;
			repeat();
		}
		this.informed |= nowMillis - this.startedMillis >= MAX_ASK_MILLIS;
		if (!this.informed && nowMillis >= this.nextAskMillis) {
			this.nextAskMillis = nowMillis + ASK_MILLIS;
			this.client.send(new Message.CrashEvidence(List.of(), List.of(), true, false), ASKED_HOSTS);
		}
		culprits();
	}

	private void forgetUnsuspected() {
		Set<String> remaining = suspectedKeys(this.ledger.targets());
		this.suspectedKeys.retainAll(remaining);
		this.sharedMillis.keySet().retainAll(remaining);
	}

	private void repeat() {
		List<String> targets = new ArrayList<>(this.ledger.targets());
		while (targets.size() > REPEATED_REPORTS) {
			targets.remove(this.random.nextInt(targets.size()));
		}
		this.client.send(evidence(targets, suspectedKeys(targets)), 1);
	}

	private Set<String> suspectedKeys(Collection<String> targets) {
		return targets.stream()
			.flatMap((target) -> this.ledger.report(target).suspects().stream())
			.flatMap(Content::keys)
			.collect(Collectors.toCollection(LinkedHashSet::new));
	}

	private Message.CrashEvidence evidence(List<String> targets, Collection<String> keys) {
		long nowMillis = this.clock.millis();
		List<Clearance> clearances = new ArrayList<>();
		for (String key : keys) {
			this.ledger.lastSuccessMillis(key)
				.ifPresent((millis) -> clearances.add(new Clearance(key, nowMillis - millis)));
		}
		return new Message.CrashEvidence(targets.stream().map(this.ledger::report).toList(), clearances, false, false);
	}

}
