package io.dotterelcrank.process.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.version.plan.ServiceSpec;

/**
 * The targets that this process may send to. Belongs to the traffic thread.
 */
final class TargetBook {

	/** Clock of the process. */
	private final Clock clock;

	/** Source of randomness. */
	private final UniformRandomProvider random;

	/** Targets by id. */
	private final Map<String, TrackedTarget> states = new HashMap<>();

	TargetBook(Clock clock, UniformRandomProvider random) {
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Takes in the targets that there are.
	 * @param targets the targets
	 */
	void update(List<Target> targets) {
		Map<String, TrackedTarget> kept = new HashMap<>();
		for (Target target : targets) {
			TargetRegistration entry = target.registration();
			TrackedTarget state = this.states.get(entry.id());
			if (state == null || state.target().registration().bornMillis() != entry.bornMillis()) {
				state = new TrackedTarget(this.clock, target);
			}
			state.update(target);
			kept.put(entry.id(), state);
		}
		this.states.clear();
		this.states.putAll(kept);
	}

	/**
	 * Takes in the load of an engine.
	 * @param load the load
	 */
	void report(EngineLoad load) {
		this.states.values().stream().filter((state) -> belongs(load, state)).forEach((state) -> state.report(load));
	}

	private static boolean belongs(EngineLoad load, TrackedTarget state) {
		TargetRegistration entry = state.target().registration();
		boolean sameStart = load.bornMillis() == 0 || entry.bornMillis() == 0
				|| load.bornMillis() == entry.bornMillis();
		String address = entry.address().getAddress().getHostAddress() + ':' + entry.address().getPort();
		return sameStart && address.equals(load.address());
	}

	/**
	 * Finds a target that is still there.
	 * @param id id of the target
	 * @return the target
	 */
	Optional<TrackedTarget> find(String id) {
		return Optional.ofNullable(this.states.get(id));
	}

	/**
	 * Chooses a target for a new request.
	 * @param service the service
	 * @param demand what the request needs
	 * @param excluded ids of targets not to choose
	 * @return the outcome
	 */
	Choice choose(ServiceSpec service, PlacementStrategy.Demand demand, Set<String> excluded) {
		List<TrackedTarget> open = this.states.values()
			.stream()
			.filter((state) -> state.target().registration().service().equals(service.name()) && state.open())
			.toList();
		List<TrackedTarget> listed = open.stream().filter((state) -> state.target().listed()).toList();
		List<TrackedTarget> usable = listed.isEmpty() ? open : listed;
		if (usable.isEmpty()) {
			return Choice.UNKNOWN;
		}
		List<TrackedTarget> candidates = usable.stream()
			.filter((state) -> !excluded.contains(state.id()) && warmEnough(state, service, demand.hosts()))
			.toList();
		List<TrackedTarget> preferred = candidates.stream().filter((state) -> !state.avoided()).toList();
		return new Choice(true,
				placement(service).choose(preferred.isEmpty() ? candidates : preferred, demand).orElse(null));
	}

	private static boolean warmEnough(TrackedTarget state, ServiceSpec service, int hosts) {
		return !state.cold() || service.coldRequestsPerSecond() <= 0
				|| state.coldLimit().allows(service.coldRequestsPerSecond(), hosts);
	}

	private PlacementStrategy placement(ServiceSpec service) {
		return service.engine()
			.<PlacementStrategy>map((engine) -> new PlacementStrategy.ForEngines(engine.memoryTokens(), this.random))
			.orElseGet(() -> new PlacementStrategy.ForPlainTargets(this.random));
	}

	/**
	 * Returns the targets.
	 * @return all targets
	 */
	Collection<TrackedTarget> states() {
		return this.states.values();
	}

	/**
	 * Outcome of a choice. Immutable.
	 *
	 * @param known whether any target may take new work at all
	 * @param target the target, or {@code null} if none has room now
	 */
	record Choice(boolean known, TrackedTarget target) {

		/** No target may take new work. */
		static final Choice UNKNOWN = new Choice(false, null);

	}

}
