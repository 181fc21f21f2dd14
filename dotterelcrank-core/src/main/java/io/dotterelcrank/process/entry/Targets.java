package io.dotterelcrank.process.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.ExecutionContext;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.connection.HeartbeatExchange;
import io.dotterelcrank.connection.TargetLoad;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.process.routing.OutlierEjection;
import io.dotterelcrank.process.routing.RoutingPolicy;
import io.dotterelcrank.process.routing.TargetView;
import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.ConfigurationHolder;
import io.dotterelcrank.version.Setting;
import io.dotterelcrank.version.Subject;

/**
 * Targets known to an entry process. The host list is a hint: a target missing from it is
 * kept while a session or an attempt is open there, and a listed target whose link is
 * broken is used only if no other is reachable. Confined to the control thread.
 */
final class Targets {

	/**
	 * Interval between two heartbeats of the process, over all its links.
	 */
	static final long HEARTBEAT_INTERVAL_MILLIS = 125;

	/** Min interval between two heartbeats on the same link. */
	static final long MIN_LINK_HEARTBEAT_INTERVAL_MILLIS = 2_000;

	private static final Logger logger = LoggerFactory.getLogger(Targets.class);

	private final EntryIdentity identity;

	private final ConfigurationHolder holder;

	private final RoutingPolicy routingPolicy;

	private final Transport transport;

	private final HeartbeatExchange exchange;

	private final ExecutionContext context;

	private final OutlierEjection ejection;

	/** Links by name of the target, with or without a session. */
	private final Map<String, TargetLink> links = new HashMap<>();

	/** Entry hosts listed in this data centre that are not draining. */
	private volatile List<String> localEntryHosts;

	Targets(EntryIdentity identity, ConfigurationHolder holder, RoutingPolicy routingPolicy, Transport transport,
			HeartbeatExchange exchange, ExecutionContext context) {
		this.identity = identity;
		this.holder = holder;
		this.routingPolicy = routingPolicy;
		this.transport = transport;
		this.exchange = exchange;
		this.context = context;
		this.ejection = OutlierEjection.of(context.clock());
		this.localEntryHosts = List.of(identity.name());
	}

	/**
	 * Updates targets and entry hosts from the host list.
	 * @param hosts all hosts on the list
	 */
	void updateHosts(List<HostList.Host> hosts) {
		Set<String> targetNames = new HashSet<>();
		List<String> entryNames = new ArrayList<>();
		for (HostList.Host host : hosts) {
			if (host.role() == HostList.Role.ENTRY) {
				if (host.dataCentre().equals(this.identity.dataCentre()) && !host.leaving()) {
					entryNames.add(host.name());
				}
				continue;
			}
			targetNames.add(host.name());
			linkTo(host).updateHost(host);
		}
		this.localEntryHosts = List.copyOf(entryNames);
		dropUnlisted(targetNames);
		connectLocal();
	}

	private TargetLink linkTo(HostList.Host host) {
		return this.links.computeIfAbsent(host.name(), (name) -> new TargetLink(this.identity, host, this.transport,
				this.exchange, this.context, this::sessionLost));
	}

	private void dropUnlisted(Set<String> targetNames) {
		for (TargetLink target : List.copyOf(this.links.values())) {
			boolean idle = target.outstanding() == 0 && !target.open();
			if (!targetNames.contains(target.host().name()) && idle) {
				target.close();
				this.links.remove(target.host().name());
			}
		}
		this.ejection.retain(List.copyOf(this.links.keySet()));
	}

	/**
	 * Connects to the targets of the local data centre, so that their load is known
	 * before the first request. Links to remote targets are opened on demand.
	 */
	private void connectLocal() {
		this.links.values()
			.stream()
			.filter((target) -> local(target) && !target.host().leaving())
			.forEach(TargetLink::connect);
	}

	private boolean local(TargetLink target) {
		return target.host().dataCentre().equals(this.identity.dataCentre());
	}

	private void sessionLost(TargetLink target) {
		recordFailure(target);
	}

	/**
	 * Chooses the target of an attempt.
	 * @param servesRequest matches the targets that serve the request
	 * @param affinityKey requests with equal keys prefer the same targets
	 * @param triedTargets names of targets to exclude
	 * @return the target; empty if no remaining target accepts new work
	 */
	Optional<TargetLink> choose(Predicate<HostList.Host> servesRequest, String affinityKey, Set<String> triedTargets) {
		List<TargetLink> eligible = eligible(servesRequest);
		Configuration configuration = this.holder.current();
		List<String> ejected = this.ejection.ejected(eligible.stream().map((target) -> target.host().name()).toList(),
				configuration.value(Setting.EJECTION_CAP_PERCENT, Subject.FLEET));
		List<TargetView> views = eligible.stream()
			.filter((target) -> !triedTargets.contains(target.host().name()) && !ejected.contains(target.host().name()))
			.map(this::view)
			.toList();
		long spillPercent = configuration.value(Setting.SPILL_LOAD_PERCENT, Subject.FLEET);
		return this.routingPolicy.choose(affinityKey, views, spillPercent).map((view) -> this.links.get(view.name()));
	}

	private List<TargetLink> eligible(Predicate<HostList.Host> servesRequest) {
		Configuration configuration = this.holder.current();
		List<TargetLink> serving = this.links.values()
			.stream()
			.filter((target) -> servesRequest.test(target.host()) && acceptsNewWork(target, configuration))
			.sorted((first, second) -> first.host().name().compareTo(second.host().name()))
			.toList();
		List<TargetLink> reachable = serving.stream().filter((target) -> !target.reconnecting()).toList();
		return reachable.isEmpty() ? serving : reachable;
	}

	private static boolean acceptsNewWork(TargetLink target, Configuration configuration) {
		HostList.Host host = target.host();
		boolean outOfService = configuration.dataCentreOut(host.dataCentre()) || configuration.hostDrained(host.name());
		return !outOfService && !host.leaving() && target.load().state() != TargetLoad.State.LEAVING;
	}

	private TargetView view(TargetLink target) {
		return new TargetView(target.host().name(), local(target), target.outstanding(), target.sentSinceReport(),
				target.load());
	}

	/**
	 * Returns whether a known target serves a kind of request, even if it accepts no work
	 * now.
	 * @param servesRequest matches the targets that serve the request
	 * @return {@code false} if the model or service does not exist
	 */
	boolean anyServes(Predicate<HostList.Host> servesRequest) {
		return this.links.values().stream().anyMatch((target) -> servesRequest.test(target.host()));
	}

	/**
	 * Returns the targets that accept a kind of request now.
	 * @param servesRequest matches the targets that serve the request
	 * @return the targets, sorted by name
	 */
	List<HostList.Host> eligibleHosts(Predicate<HostList.Host> servesRequest) {
		return eligible(servesRequest).stream().map(TargetLink::host).toList();
	}

	/**
	 * Finds a target by name.
	 * @param name name of the target
	 * @return its link; empty if the target is unknown
	 */
	Optional<TargetLink> find(String name) {
		return Optional.ofNullable(this.links.get(name));
	}

	/**
	 * Records a success for outlier ejection.
	 * @param target the target
	 * @param latencyMillis time to the first token or to the response, in milliseconds
	 */
	void recordSuccess(TargetLink target, long latencyMillis) {
		this.ejection.recordSuccess(target.host().name(), latencyMillis);
	}

	/**
	 * Records a failure of the target itself for outlier ejection.
	 * @param target the target
	 */
	void recordFailure(TargetLink target) {
		if (this.ejection.recordFailure(target.host().name())) {
			LogEvent.TARGET_EJECTED.log(logger, target.host().name());
		}
	}

	/**
	 * Sends a heartbeat on the link whose last one is the oldest. One link at a time, so
	 * that heartbeat traffic of the process does not grow with the number of its links.
	 */
	void sendNextHeartbeat() {
		long nowMillis = this.context.clock().millis();
		this.links.values()
			.stream()
			.filter((target) -> target.open() && !target.heartbeatUnacknowledged()
					&& nowMillis - target.lastHeartbeatMillis() >= MIN_LINK_HEARTBEAT_INTERVAL_MILLIS)
			.min(Comparator.comparingLong(TargetLink::lastHeartbeatMillis)
				.thenComparing((target) -> target.host().name()))
			.ifPresent(TargetLink::sendHeartbeat);
	}

	/**
	 * Replaces the sessions of links that have been silent for too long.
	 */
	void checkLinks() {
		long silenceLimitMillis = this.holder.current().value(Setting.LINK_SILENCE_MILLIS, Subject.FLEET);
		List.copyOf(this.links.values()).forEach((target) -> target.checkSilence(silenceLimitMillis));
	}

	/**
	 * Returns the links.
	 * @return links to all known targets
	 */
	Collection<TargetLink> links() {
		return this.links.values();
	}

	/**
	 * Returns the entry hosts of this data centre that are not draining. Thread-safe.
	 * @return names from the last read host list; before that, only this host
	 */
	List<String> localEntryHosts() {
		return this.localEntryHosts;
	}

}
