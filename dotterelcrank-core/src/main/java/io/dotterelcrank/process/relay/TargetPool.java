package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.apache.commons.rng.UniformRandomProvider;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.process.limit.RatePermitClient;
import io.dotterelcrank.process.limit.TargetRateLimiter;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.overload.ConnectionShare;
import io.dotterelcrank.version.plan.ServiceSpec;

/**
 * The targets that this process may send requests to. Confined to the traffic thread.
 */
final class TargetPool {

	/**
	 * The fraction of the heap that incomplete responses may hold is one in this number.
	 */
	static final int RESPONSE_MEMORY_DIVISOR = 8;

	/** Max number of former targets that are remembered. */
	private static final int MAX_FORMER_TARGETS = 1_000;

	private final Clock clock;

	private final UniformRandomProvider random;

	private final RatePermitClient permits;

	private final RolloutGate rolloutGate;

	private final TargetRateLimiter.Factory coldRateLimiters;

	/** Statistics of the generations by service. */
	private final Map<String, GenerationStatistics> statistics = new HashMap<>();

	private final ResponseMemory responseMemory = ResponseMemory
		.of(Runtime.getRuntime().maxMemory() / RESPONSE_MEMORY_DIVISOR);

	/** Targets by id. */
	private final Map<String, TrackedTarget> targets = new HashMap<>();

	/** The same targets by address; a restarted one shares it with its predecessor. */
	private final Map<String, List<TrackedTarget>> targetsByAddress = new HashMap<>();

	/**
	 * Targets that are no longer known, by id, oldest first: an incarnation that comes
	 * back after an outage of the list is bound by what it has said before.
	 */
	private final Map<String, TrackedTarget> formerTargets = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, TrackedTarget> eldest) {
			return size() > MAX_FORMER_TARGETS;
		}

	};

	TargetPool(Clock clock, UniformRandomProvider random, RatePermitClient permits, RolloutGate rolloutGate,
			TargetRateLimiter.Factory coldRateLimiters) {
		this.clock = clock;
		this.random = random;
		this.permits = permits;
		this.rolloutGate = rolloutGate;
		this.coldRateLimiters = coldRateLimiters;
	}

	/**
	 * Replaces the targets. A target keeps its tracked state unless it has restarted.
	 * @param current all targets
	 * @return whether a target has come, gone or restarted, or takes new work or no
	 * longer does
	 */
	boolean update(List<Target> current) {
		Map<String, TrackedTarget> kept = new HashMap<>();
		boolean changed = false;
		for (Target target : current) {
			TargetRegistration registration = target.registration();
			TrackedTarget tracked = this.targets.getOrDefault(registration.id(),
					this.formerTargets.get(registration.id()));
			if (tracked == null || tracked.membership().registration().bornMillis() != registration.bornMillis()) {
				tracked = new TrackedTarget(this.clock, target, this.coldRateLimiters.create(), this.permits,
						this.random);
			}
			boolean tookNewWork = tracked.acceptsNewWork();
			boolean wasLeaving = tracked.leavingAsAnnounced();
			tracked.update(target);
			changed |= tookNewWork != tracked.acceptsNewWork() || wasLeaving != tracked.leavingAsAnnounced()
					|| this.targets.get(registration.id()) != tracked;
			kept.put(registration.id(), tracked);
		}
		kept.keySet().forEach(this.formerTargets::remove);
		this.targets.forEach((id, target) -> {
			if (!kept.containsKey(id)) {
				this.formerTargets.put(id, target);
			}
		});
		changed |= kept.size() != this.targets.size();
		this.targets.clear();
		this.targets.putAll(kept);
		this.targetsByAddress.clear();
		kept.values()
			.forEach((target) -> this.targetsByAddress.computeIfAbsent(target.address(), (address) -> new ArrayList<>())
				.add(target));
		return changed;
	}

	/**
	 * Updates the load of the engine at the report's address. A target that is listed at
	 * that address with another start time is not what runs there.
	 * @param load load report
	 * @return what the report means for requests; of two targets at the address, that of
	 * more consequence
	 */
	LoadChange updateLoad(EngineLoad load) {
		LoadChange change = LoadChange.NO_GAIN;
		for (TrackedTarget target : this.targetsByAddress.getOrDefault(load.address(), List.of())) {
			if (sameIncarnation(load, target.membership().registration())) {
				LoadChange targetChange = target.updateLoad(load);
				change = (targetChange.compareTo(change) > 0) ? targetChange : change;
			}
			else {
				target.recordReplaced();
			}
		}
		return change;
	}

	private static boolean sameIncarnation(EngineLoad load, TargetRegistration registration) {
		return load.bornMillis() == 0 || registration.bornMillis() == 0
				|| load.bornMillis() == registration.bornMillis();
	}

	/**
	 * Finds a target by its id.
	 * @param id id of the target's incarnation
	 * @return the target, or empty if it is no longer known
	 */
	Optional<TrackedTarget> find(String id) {
		return Optional.ofNullable(this.targets.get(id));
	}

	/**
	 * Chooses a target. Unlisted targets are used only if none is listed, those in
	 * backoff only if no other target is a candidate.
	 * @param service service of the request
	 * @param demand resources that the request needs
	 * @param excludedIds ids of targets that must not be chosen
	 * @return the chosen target, if any
	 */
	Choice choose(ServiceSpec service, PlacementStrategy.Demand demand, Set<String> excludedIds) {
		List<TrackedTarget> ofAnyVersion = acceptingOfAnyVersion(service).toList();
		List<TrackedTarget> accepting = ofAnyVersion.stream().filter(this.rolloutGate::allows).toList();
		if (accepting.size() < ofAnyVersion.size()) {
			this.rolloutGate.recordRefusal();
		}
		List<TrackedTarget> listed = accepting.stream().filter((target) -> target.membership().listed()).toList();
		List<TrackedTarget> usable = listed.isEmpty() ? accepting : listed;
		if (usable.isEmpty()) {
			// Targets that may get no more for the moment are worth waiting for.
			return new Choice(!ofAnyVersion.isEmpty(), null);
		}
		List<TrackedTarget> candidates = usable.stream()
			.filter((target) -> !excludedIds.contains(target.id()) && withinRate(target, service, demand.entryHosts())
					&& hasFreeConnection(target, service, demand.entryHosts()))
			.toList();
		List<TrackedTarget> reachable = candidates.stream().filter((target) -> !target.inBackoff()).toList();
		List<TrackedTarget> best = reachable.isEmpty() ? candidates : reachable;
		PlacementStrategy strategy = strategy(service);
		return new Choice(true,
				strategy.choose(this.rolloutGate.preferred(best), demand)
					.or(() -> strategy.choose(best, demand))
					.orElse(null));
	}

	/**
	 * Chooses the engine that keeps a KV backup or KV copy. It runs the version of the
	 * source, since the generation goes on there, unless that version is being replaced
	 * or not known.
	 * @param service service of the generation
	 * @param demand resources that the backup or copy needs
	 * @param source engine that runs the generation
	 * @param fullHolderIds engines that had no room before, chosen only if there is no
	 * other
	 * @return the chosen engine, if any
	 */
	Optional<TrackedTarget> chooseHolder(ServiceSpec service, PlacementStrategy.Demand demand, TrackedTarget source,
			Set<String> fullHolderIds) {
		String version = source.membership().registration().version();
		boolean anyVersion = version.isEmpty() || this.rolloutGate.isBeingReplaced(source);
		List<TrackedTarget> candidates = accepting(service).stream()
			.filter((target) -> target != source && !target.inBackoff() && target.membership().listed()
					&& (anyVersion || target.membership().registration().version().equals(version))
					&& withinRate(target, service, demand.entryHosts()))
			.toList();
		List<TrackedTarget> others = candidates.stream()
			.filter((target) -> !fullHolderIds.contains(target.id()))
			.toList();
		Optional<TrackedTarget> other = others.isEmpty() ? Optional.empty() : strategy(service).choose(others, demand);
		return (other.isPresent() || candidates.size() == others.size()) ? other
				: strategy(service).choose(candidates, demand);
	}

	/**
	 * Returns the targets of a service that accept new work and whose version may get
	 * requests now.
	 * @param service the service
	 * @return its targets, in no order
	 */
	List<TrackedTarget> accepting(ServiceSpec service) {
		return acceptingOfAnyVersion(service).filter(this.rolloutGate::allows).toList();
	}

	private Stream<TrackedTarget> acceptingOfAnyVersion(ServiceSpec service) {
		return this.targets.values()
			.stream()
			.filter((target) -> target.membership().registration().service().equals(service.name())
					&& target.acceptsNewWork());
	}

	/**
	 * Returns the number of requests that targets of a service still run.
	 * @param service name of the service
	 * @param exceptVersion version whose targets are left out
	 * @return number of this process's requests, those at targets that are no longer
	 * known included
	 */
	int outstandingRequests(String service, String exceptVersion) {
		return Stream.concat(this.targets.values().stream(), this.formerTargets.values().stream())
			.filter((target) -> target.membership().registration().service().equals(service)
					&& !target.membership().registration().version().equals(exceptVersion))
			.mapToInt(TrackedTarget::outstandingRequestCount)
			.sum();
	}

	/**
	 * Returns the time until some target of a service may get requests.
	 * @param service the service
	 * @return time in milliseconds; 0 if one wants requests now, or none accepts new work
	 */
	long pausedMillis(ServiceSpec service) {
		return accepting(service).stream().mapToLong((target) -> target.rateGate().pausedMillis()).min().orElse(0);
	}

	/**
	 * Returns how much of the memory of a service's engines is in use.
	 * @param service the service
	 * @return fraction over the engines that report their load and accept new work; 0 if
	 * there are none
	 */
	double usedMemoryFraction(ServiceSpec service) {
		long used = 0;
		long total = 0;
		for (TrackedTarget engine : accepting(service)) {
			if (engine.load() != null) {
				used += engine.load().memoryUsed();
				total += engine.load().memoryTotal();
			}
		}
		return (total > 0) ? (double) used / total : 0;
	}

	/**
	 * Returns whether a request may be sent to a target now. Every send depends on this
	 * check, since the target may have changed after it was chosen.
	 * @param target target that was chosen, possibly some time ago
	 * @param service service of the request
	 * @param entryHosts number of entry hosts, which share the rate limits of targets
	 * @return {@code false} if the target has been replaced or forgotten, is draining or
	 * out of service, has reached the rate that it sustains while cold or names, or its
	 * version gets no more requests for now
	 */
	boolean allowsSend(TrackedTarget target, ServiceSpec service, int entryHosts) {
		return this.targets.get(target.id()) == target && target.acceptsNewWork() && this.rolloutGate.allows(target)
				&& withinRate(target, service, entryHosts);
	}

	private static boolean withinRate(TrackedTarget target, ServiceSpec service, int entryHosts) {
		boolean withinColdRate = !target.cold() || service.coldRequestsPerSecond() <= 0
				|| target.coldRateLimiter().allows(service.coldRequestsPerSecond(), entryHosts);
		return withinColdRate && target.rateGate().allows(entryHosts);
	}

	// The requests at an engine are limited by its memory, far below its connections.
	private static boolean hasFreeConnection(TrackedTarget target, ServiceSpec service, int entryHosts) {
		return service.engine().isPresent()
				|| target.outstandingRequestCount() < ConnectionShare.of(service.maxConnections(), entryHosts).busy();
	}

	private PlacementStrategy strategy(ServiceSpec service) {
		return service.engine()
			.<PlacementStrategy>map((engine) -> new PlacementStrategy.ForEngines(engine.memoryTokens(),
					statistics(service), this.random))
			.orElseGet(() -> new PlacementStrategy.ForPlainTargets(this.random));
	}

	/**
	 * Returns the statistics of a service's generations.
	 * @param service the service
	 * @return statistics, updated as generations are served
	 */
	GenerationStatistics statistics(ServiceSpec service) {
		return this.statistics.computeIfAbsent(service.name(), (name) -> new GenerationStatistics());
	}

	/**
	 * Returns the memory that incomplete responses hold.
	 * @return memory that all attempts share
	 */
	ResponseMemory responseMemory() {
		return this.responseMemory;
	}

	/**
	 * Returns all targets.
	 * @return live view of the targets, in no order
	 */
	Collection<TrackedTarget> targets() {
		return this.targets.values();
	}

	/**
	 * Result of {@link #choose}. Immutable.
	 *
	 * @param anyAvailable whether any target of the service accepts new work, excluded
	 * ones and those whose version gets nothing for now included
	 * @param target chosen target, or {@code null} if none has the capacity now
	 */
	record Choice(boolean anyAvailable, TrackedTarget target) {
	}

}
