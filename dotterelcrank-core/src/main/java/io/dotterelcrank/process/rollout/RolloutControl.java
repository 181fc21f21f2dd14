package io.dotterelcrank.process.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.RendezvousHash;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.membership.TargetRegistration;

/**
 * The roll-outs of this host's services: which targets get requests, and what is known of
 * a new version. Addresses versions that are bad at once or later, under load or on one
 * route, at hosts each of which sees little of it: all hosts send their counts to a few,
 * which decide side by side. Invariants: no host is special; without an order, all
 * versions that run are treated alike; without roll-outs, everything is allowed and
 * nothing sent. Confined to the traffic thread.
 */
public final class RolloutControl {

	/** Number of hosts that decide on a roll-out. */
	static final int DECIDERS = 3;

	/** Interval at which evidence is sent, in milliseconds. */
	static final long EVIDENCE_MILLIS = 200;

	/** Interval at which evidence is sent although nothing has changed. */
	static final long REPEAT_MILLIS = 1_000;

	/**
	 * Max age of this host's knowledge with which a new version gets requests, as part of
	 * the time for a roll-back.
	 */
	private static final double CONTACT_FRACTION = 1 / 3d;

	/** Max age with which the old version is said to get nothing. */
	private static final double CLOSED_FRACTION = 1 / 6d;

	private static final Logger logger = LoggerFactory.getLogger(RolloutControl.class);

	private final Clock clock;

	private final String host;

	private final RolloutSettings settings;

	private final RolloutClient client;

	private final RolloutDecider.TestFactory tests;

	private final long incarnation;

	private final Map<String, ServiceState> services = new TreeMap<>();

	/** Hosts, with the time at which each was listed first. */
	private final Map<String, Long> hostsSince = new HashMap<>();

	/** When the tables were last known to be current; valid if {@link #informed}. */
	private long currentMillis;

	private boolean informed;

	private boolean inContact;

	private RolloutControl(Clock clock, String host, RolloutSettings settings, RolloutClient client,
			RolloutDecider.TestFactory tests) {
		this.clock = clock;
		this.host = host;
		this.settings = settings;
		this.client = client;
		this.tests = tests;
		this.incarnation = clock.millis();
		updateHosts(Set.of(host));
	}

	/**
	 * Creates a control that knows no order yet.
	 * @param clock clock of the process
	 * @param host name of this host
	 * @param settings bounds of the deployment
	 * @param client sends evidence and decisions
	 * @return a new control
	 */
	public static RolloutControl of(Clock clock, String host, RolloutSettings settings, RolloutClient client) {
		return of(clock, host, settings, client, VersionTest.ForSequentialProbability::new);
	}

	static RolloutControl of(Clock clock, String host, RolloutSettings settings, RolloutClient client,
			RolloutDecider.TestFactory tests) {
		return new RolloutControl(clock, host, settings, client, tests);
	}

	/**
	 * Updates the entry hosts, which share the exposure of a new version.
	 * @param names names of all hosts, this one included
	 */
	public void updateHosts(Collection<String> names) {
		Set<String> current = new TreeSet<>(names);
		current.add(this.host);
		if (current.equals(this.hostsSince.keySet())) {
			return;
		}
		this.hostsSince.keySet().retainAll(current);
		current.forEach((name) -> this.hostsSince.putIfAbsent(name, this.clock.millis()));
		this.services.values().forEach(this::updateHosts);
	}

	private void updateHosts(ServiceState service) {
		if (service.rollout == null) {
			return;
		}
		service.rollout.updateHosts(this.host, this.hostsSince.keySet());
		service.deciders = RendezvousHash.rank(service.rollout.key(), this.hostsSince.keySet(), (name) -> name)
			.stream()
			.limit(DECIDERS)
			.toList();
		boolean decides = service.deciders.contains(this.host);
		if (decides && !service.decides) {
			service.decidesSinceMillis = this.clock.millis();
		}
		service.decides = decides;
	}

	/**
	 * Updates the age of what this host knows of orders and decisions. With knowledge
	 * that is too old, a new version gets nothing from this host.
	 * @param millis time since the tables were last known to be current, in milliseconds
	 */
	public void updateAge(long millis) {
		this.informed = true;
		this.currentMillis = this.clock.millis() - millis;
		checkContact();
	}

	private boolean checkContact() {
		boolean current = isKnowledgeWithin(CONTACT_FRACTION);
		if (current != this.inContact) {
			this.inContact = current;
			if (this.settings.enabled()) {
				LogEvent.ROLLOUT_CONTACT.log(logger, current, this.clock.millis() - this.currentMillis);
			}
		}
		return current;
	}

	private boolean isKnowledgeWithin(double fraction) {
		return this.informed && this.clock.millis() - this.currentMillis <= fraction * this.settings.rollbackMillis();
	}

	/**
	 * Starts a roll-out, or replaces the one of the same service.
	 * @param order order of the operators; ignored if it is known already or older than
	 * the one in force
	 */
	public void updateOrder(RolloutOrder order) {
		if (!this.settings.enabled()) {
			return;
		}
		ServiceState service = service(order.service());
		Rollout last = service.rollout;
		if (last != null && order.offset() <= last.order().offset()) {
			if (service.withdrawn && order.offset() == last.order().offset()) {
				service.withdrawn = false;
			}
			return;
		}
		if (last != null && !last.ended()) {
			service.versions.exclude(last.order().version());
		}
		service.updateVersions(null, checkContact(), this.clock.millis(), graceMillis());
		boolean runsAlready = service.versions.begin(order.version());
		service.withdrawn = false;
		service.rollout = new Rollout(this.clock, this.settings, order, runsAlready, isOldEnough(), this.tests);
		service.decider = new RolloutDecider(this.clock, this.settings, service.rollout.planner(), this.tests);
		service.decides = false;
		service.nextEvidenceMillis = 0;
		service.proposed = null;
		LogEvent.ROLLOUT_ORDERED.log(logger, order.service(), order.version(), order.offset(), order.durationMillis());
		updateHosts(service);
		service.updateTrial();
		if (service.decision != null) {
			updateDecision(service.decision);
		}
	}

	// An order that a process learns as it starts may have been known to the one before.
	private boolean isOldEnough() {
		return this.clock.millis() - this.incarnation > CONTACT_FRACTION * this.settings.rollbackMillis();
	}

	/**
	 * Ends a roll-out whose order was withdrawn: its version gets nothing unless it was
	 * completed.
	 * @param service name of the service
	 */
	public void removeOrder(String service) {
		ServiceState state = this.services.get(service);
		if (state == null || !state.isOrdered()) {
			return;
		}
		state.withdrawn = true;
		Rollout rollout = state.rollout;
		LogEvent.ROLLOUT_WITHDRAWN.log(logger, service, rollout.order().version(), String.valueOf(rollout.stage()));
		if (!rollout.ended() && !rollout.runsAlready()) {
			state.versions.exclude(rollout.order().version());
		}
	}

	/**
	 * Updates the decision in force.
	 * @param decision newest decision of the store
	 */
	public void updateDecision(RolloutDecision decision) {
		if (!this.settings.enabled()) {
			return;
		}
		ServiceState service = service(decision.service());
		service.decision = decision;
		Rollout rollout = service.rollout;
		if (rollout == null || rollout.order().offset() != decision.orderOffset() || !rollout.updateStage(decision)) {
			return;
		}
		service.nextEvidenceMillis = 0;
		if (decision.stage() == RolloutDecision.Stage.COMPLETED) {
			service.versions.complete(rollout.order().version());
		}
		else if (decision.stage() == RolloutDecision.Stage.ROLLED_BACK) {
			service.versions.exclude(rollout.order().version());
		}
	}

	/**
	 * Updates the targets, of which a few are chosen for the trial of a new version.
	 * @param targets registrations of all targets
	 */
	public void updateTargets(Collection<TargetRegistration> targets) {
		if (!this.settings.enabled()) {
			return;
		}
		Map<String, List<TargetRegistration>> byService = targets.stream()
			.collect(Collectors.groupingBy(TargetRegistration::service));
		this.services.forEach((name, service) -> service.targets = byService.getOrDefault(name, List.of()));
		byService.forEach((name, list) -> service(name).targets = list);
		this.services.values().forEach((service) -> {
			updateVersions(service);
			service.updateTrial();
		});
	}

	private void updateVersions(ServiceState service) {
		service.updateVersions(service.isOrdered() ? service.rollout.order().version() : null, checkContact(),
				this.clock.millis(), graceMillis());
	}

	// The orders that a host in contact knows may be as old as their interval.
	private long graceMillis() {
		return this.settings.rollbackMillis();
	}

	private ServiceState service(String name) {
		return this.services.computeIfAbsent(name, (key) -> new ServiceState());
	}

	/**
	 * Returns whether a target may get a request now. Every send depends on it.
	 * @param target registration of the target
	 * @return {@code false} if its version gets nothing, or no more of this host
	 */
	public boolean allows(TargetRegistration target) {
		ServiceState service = this.services.get(target.service());
		if (service == null) {
			return true;
		}
		if (!service.isOrdered()) {
			return target.version().isEmpty() || service.versions.allows(target.version());
		}
		if (service.rollout.isCandidate(target.version())) {
			return service.rollout.allowsCandidate(target.id(), checkContact());
		}
		return service.rollout.allowsOld(checkContact()) && service.versions.allows(target.version());
	}

	/**
	 * Returns whether a target should get the next request that can go to it. Without
	 * such a preference the idle targets of a new version get all or none of what they
	 * may get, depending on how targets are chosen.
	 * @param target registration of the target
	 * @return {@code true} if its version is being rolled out and has not had its share
	 */
	public boolean prefers(TargetRegistration target) {
		ServiceState service = this.services.get(target.service());
		return service != null && service.isOrdered() && !service.rollout.ended() && !service.rollout.runsAlready()
				&& service.rollout.isCandidate(target.version())
				&& service.rollout.allowsCandidate(target.id(), checkContact());
	}

	/**
	 * Returns whether what a target runs has to be moved to another one, since its
	 * version is about to be stopped.
	 * @param target registration of the target
	 * @return {@code true} while the roll-out waits for the old version to become idle
	 */
	public boolean isBeingReplaced(TargetRegistration target) {
		ServiceState service = this.services.get(target.service());
		return service != null && service.isOrdered() && !service.rollout.isCandidate(target.version())
				&& service.rollout.isReplacing(checkContact());
	}

	/**
	 * Records a request that is sent to a target, on any path.
	 * @param target registration of the target
	 */
	public void recordSend(TargetRegistration target) {
		ServiceState service = this.services.get(target.service());
		if (service != null && service.isOrdered()) {
			service.rollout.recordSend(service.rollout.isCandidate(target.version()));
		}
	}

	/**
	 * Records the outcome of a request.
	 * @param outcome outcome at one target
	 */
	public void recordOutcome(RolloutOutcome outcome) {
		ServiceState service = this.services.get(outcome.service());
		if (service != null && service.isOrdered()
				&& (service.rollout.isCandidate(outcome.version()) || service.versions.allows(outcome.version()))) {
			service.rollout.recordOutcome(outcome);
		}
	}

	/**
	 * Updates the number of this host's requests that the old version still runs.
	 * @param service name of the service
	 * @param requests number of outstanding requests at targets of the old version
	 */
	public void updateOutstanding(String service, int requests) {
		ServiceState state = this.services.get(service);
		if (state != null && state.isOrdered()) {
			state.rollout.updateOutstanding(requests);
		}
	}

	/**
	 * Handles the evidence of another host.
	 * @param evidence counts of that host
	 */
	public void handleEvidence(Message.RolloutEvidence evidence) {
		ServiceState service = this.services.get(evidence.service());
		if (service == null || !service.isOrdered() || service.rollout.order().offset() != evidence.orderOffset()) {
			return;
		}
		service.decider.merge(evidence);
		service.rollout.updateAge(service.decider.orderAgeMillis());
	}

	/**
	 * Sends this host's evidence to the hosts that decide, and decides if this is one of
	 * them. Called every few tens of milliseconds.
	 */
	public void poll() {
		checkContact();
		this.services.values().forEach((service) -> {
			service.versions.poll(this.inContact, this.clock.millis(), graceMillis());
			if (service.isOrdered() && !service.rollout.ended()) {
				poll(service);
			}
		});
	}

	private void poll(ServiceState service) {
		Rollout rollout = service.rollout;
		if (rollout.isTurnOver()) {
			service.updateTrial();
		}
		rollout.assess();
		long nowMillis = this.clock.millis();
		if (nowMillis >= service.nextEvidenceMillis) {
			service.nextEvidenceMillis = nowMillis + EVIDENCE_MILLIS;
			sendEvidence(service);
		}
		if (service.decides) {
			decide(service);
		}
	}

	private void sendEvidence(ServiceState service) {
		Rollout rollout = service.rollout;
		boolean closed = rollout.isClosed(this.inContact) && isKnowledgeWithin(CLOSED_FRACTION);
		Message.RolloutEvidence evidence = rollout.evidence(this.host, this.incarnation, closed);
		long nowMillis = this.clock.millis();
		boolean changed = evidence.sends() != service.sentSends || rollout.stage() != RolloutDecision.Stage.TRIAL;
		if (service.decides) {
			service.decider.merge(evidence);
		}
		if (changed || nowMillis - service.sentMillis >= REPEAT_MILLIS) {
			service.sentSends = evidence.sends();
			service.sentMillis = nowMillis;
			service.deciders.stream()
				.filter((name) -> !name.equals(this.host))
				.forEach((name) -> this.client.send(name, evidence));
		}
	}

	private void decide(ServiceState service) {
		Rollout rollout = service.rollout;
		Map<String, Long> expectedSince = new HashMap<>();
		this.hostsSince.forEach((name, since) -> expectedSince.put(name, Math.max(since, service.decidesSinceMillis)));
		RolloutDecider.View view = new RolloutDecider.View(rollout.stage(), rollout.stageAgeMillis(),
				rollout.runsAlready(), service.candidateTargets, service.oldTargets, expectedSince);
		service.decider.decide(view).ifPresent((step) -> propose(service, step));
	}

	private void propose(ServiceState service, StagePlanner.Step step) {
		long nowMillis = this.clock.millis();
		if (service.proposed == step.stage() && nowMillis < service.nextProposalMillis) {
			return;
		}
		service.proposed = step.stage();
		service.nextProposalMillis = nowMillis + EVIDENCE_MILLIS;
		RolloutOrder order = service.rollout.order();
		LogEvent.ROLLOUT_PROPOSED.log(logger, order.service(), order.version(), step.stage(),
				service.rollout.ageMillis(), step.reason());
		this.client.propose(
				new RolloutDecision(order.service(), order.version(), order.offset(), step.stage(), step.reason()));
	}

	/**
	 * Returns the roll-outs.
	 * @return values by name, one map a service, for dumps
	 */
	public List<Map<String, Object>> dump() {
		List<Map<String, Object>> list = new ArrayList<>();
		this.services.values().stream().filter(ServiceState::isOrdered).forEach((service) -> {
			Map<String, Object> values = service.rollout.dump();
			values.put("inContact", this.inContact);
			values.put("deciders", service.deciders);
			if (service.decides) {
				values.put("decides", service.decider.evidence());
			}
			list.add(values);
		});
		return list;
	}

}
