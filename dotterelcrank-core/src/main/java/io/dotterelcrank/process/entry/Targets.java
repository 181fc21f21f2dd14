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
 * The targets that an entry process knows. The host list is a hint: a target missing from
 * it is kept while requests run there, and a listed one is used only while its link is
 * not broken. Belongs to the control thread.
 */
final class Targets {

	/**
	 * Time between the heartbeats of an entry process, whatever the number of its links,
	 * in milliseconds.
	 */
	static final long HEARTBEAT_INTERVAL_MILLIS = 125;

	/** Smallest time between two heartbeats on a link, in milliseconds. */
	static final long LINK_HEARTBEAT_MILLIS = 2_000;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(Targets.class);

	/** Who this process is. */
	private final EntryIdentity identity;

	/** Configuration in force. */
	private final ConfigurationHolder holder;

	/** Chooses targets. */
	private final RoutingPolicy policy;

	/** Opens connections. */
	private final Transport transport;

	/** Configuration exchange of the process. */
	private final HeartbeatExchange exchange;

	/** Clock and threads. */
	private final ExecutionContext threads;

	/** Ejects failing targets. */
	private final OutlierEjection ejection;

	/** Links by name of the target. */
	private final Map<String, TargetLink> links = new HashMap<>();

	/** Names of the entry hosts listed in this data centre. */
	private volatile List<String> entryHosts;

	Targets(EntryIdentity identity, ConfigurationHolder holder, RoutingPolicy policy, Transport transport,
			HeartbeatExchange exchange, ExecutionContext threads) {
		this.identity = identity;
		this.holder = holder;
		this.policy = policy;
		this.transport = transport;
		this.exchange = exchange;
		this.threads = threads;
		this.ejection = OutlierEjection.of(threads.clock());
		this.entryHosts = List.of(identity.name());
	}

	/**
	 * Takes in the host list.
	 * @param hosts hosts as listed now
	 */
	void listed(List<HostList.Host> hosts) {
		Set<String> names = new HashSet<>();
		List<String> entries = new ArrayList<>();
		for (HostList.Host host : hosts) {
			if (host.role() == HostList.Role.ENTRY) {
				if (host.dataCentre().equals(this.identity.dataCentre()) && !host.leaving()) {
					entries.add(host.name());
				}
				continue;
			}
			names.add(host.name());
			target(host).listed(host);
		}
		this.entryHosts = List.copyOf(entries);
		dropUnlisted(names);
		connectNear();
	}

	private TargetLink target(HostList.Host host) {
		return this.links.computeIfAbsent(host.name(), (name) -> new TargetLink(this.identity, host, this.transport,
				this.exchange, this.threads, this::linkLost));
	}

	private void dropUnlisted(Set<String> names) {
		for (TargetLink target : List.copyOf(this.links.values())) {
			boolean idle = target.outstanding() == 0 && !target.open();
			if (!names.contains(target.host().name()) && idle) {
				target.drop();
				this.links.remove(target.host().name());
			}
		}
		this.ejection.retain(List.copyOf(this.links.keySet()));
	}

	/**
	 * Keeps links to the targets of the own data centre, so that their load is known
	 * before the first request. Links to others are opened when needed.
	 */
	private void connectNear() {
		this.links.values()
			.stream()
			.filter((target) -> near(target) && !target.host().leaving())
			.forEach(TargetLink::connect);
	}

	private boolean near(TargetLink target) {
		return target.host().dataCentre().equals(this.identity.dataCentre());
	}

	private void linkLost(TargetLink target) {
		failed(target);
	}

	/**
	 * Chooses a target.
	 * @param kind which targets serve the request
	 * @param affinity text whose requests should meet at the same targets
	 * @param tried names of targets that have refused the request
	 * @return the choice, or nothing if no target takes new work
	 */
	Optional<TargetLink> choose(Predicate<HostList.Host> kind, String affinity, Set<String> tried) {
		List<TargetLink> usable = usable(kind);
		Configuration configuration = this.holder.current();
		List<String> ejected = this.ejection.ejected(usable.stream().map((target) -> target.host().name()).toList(),
				configuration.value(Setting.EJECTION_CAP_PERCENT, Subject.FLEET));
		List<TargetView> views = usable.stream()
			.filter((target) -> !tried.contains(target.host().name()) && !ejected.contains(target.host().name()))
			.map(this::view)
			.toList();
		long spillPercent = configuration.value(Setting.SPILL_LOAD_PERCENT, Subject.FLEET);
		return this.policy.choose(affinity, views, spillPercent).map((view) -> this.links.get(view.name()));
	}

	private List<TargetLink> usable(Predicate<HostList.Host> kind) {
		Configuration configuration = this.holder.current();
		List<TargetLink> serving = this.links.values()
			.stream()
			.filter((target) -> kind.test(target.host()) && takesWork(target, configuration))
			.sorted((first, second) -> first.host().name().compareTo(second.host().name()))
			.toList();
		List<TargetLink> reachable = serving.stream().filter((target) -> !target.broken()).toList();
		return reachable.isEmpty() ? serving : reachable;
	}

	private static boolean takesWork(TargetLink target, Configuration configuration) {
		HostList.Host host = target.host();
		boolean removed = configuration.dataCentreOut(host.dataCentre()) || configuration.hostDrained(host.name());
		return !removed && !host.leaving() && target.load().state() != TargetLoad.State.LEAVING;
	}

	private TargetView view(TargetLink target) {
		return new TargetView(target.host().name(), near(target), target.outstanding(), target.sentSince(),
				target.load());
	}

	/**
	 * Tells whether any listed target serves a kind of request, now or later.
	 * @param kind which targets serve the request
	 * @return {@code false} if the model or service does not exist
	 */
	boolean exists(Predicate<HostList.Host> kind) {
		return this.links.values().stream().anyMatch((target) -> kind.test(target.host()));
	}

	/**
	 * Returns the targets that may take a kind of request.
	 * @param kind which targets serve the request
	 * @return hosts that take new work
	 */
	List<HostList.Host> candidates(Predicate<HostList.Host> kind) {
		return usable(kind).stream().map(TargetLink::host).toList();
	}

	/**
	 * Finds a target by name.
	 * @param name name of the target
	 * @return its link, or nothing if it is not known
	 */
	Optional<TargetLink> named(String name) {
		return Optional.ofNullable(this.links.get(name));
	}

	/**
	 * Takes in a success.
	 * @param target the target
	 * @param latencyMillis time until the first token, or the answer, in milliseconds
	 */
	void succeeded(TargetLink target, long latencyMillis) {
		this.ejection.recordSuccess(target.host().name(), latencyMillis);
	}

	/**
	 * Takes in a failure of the target itself.
	 * @param target the target
	 */
	void failed(TargetLink target) {
		if (this.ejection.recordFailure(target.host().name())) {
			LogEvent.TARGET_EJECTED.log(logger, target.host().name());
		}
	}

	/**
	 * Sends a heartbeat on the link that has waited longest for one, so that the control
	 * traffic of a process does not grow with the number of its links.
	 */
	void beat() {
		long nowMillis = this.threads.clock().millis();
		this.links.values()
			.stream()
			.filter((target) -> target.open() && !target.pingPending()
					&& nowMillis - target.pingedMillis() >= LINK_HEARTBEAT_MILLIS)
			.min(Comparator.comparingLong(TargetLink::pingedMillis).thenComparing((target) -> target.host().name()))
			.ifPresent(TargetLink::ping);
	}

	/**
	 * Replaces links that have been silent for too long.
	 */
	void check() {
		long silenceMillis = this.holder.current().value(Setting.LINK_SILENCE_MILLIS, Subject.FLEET);
		List.copyOf(this.links.values()).forEach((target) -> target.check(silenceMillis));
	}

	/**
	 * Returns the links.
	 * @return links to all known targets
	 */
	Collection<TargetLink> all() {
		return this.links.values();
	}

	/**
	 * Returns the entry hosts of this data centre. Safe on any thread.
	 * @return names as listed now
	 */
	List<String> entryHosts() {
		return this.entryHosts;
	}

}
