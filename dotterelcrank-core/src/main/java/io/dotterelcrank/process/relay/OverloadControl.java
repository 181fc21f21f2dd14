package io.dotterelcrank.process.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.process.overload.Backlog;
import io.dotterelcrank.process.overload.EngineCapacity;
import io.dotterelcrank.process.overload.RefusalPolicy;
import io.dotterelcrank.process.overload.ReturnDetector;
import io.dotterelcrank.process.overload.ReturnSchedule;
import io.dotterelcrank.process.overload.WaitingOrder;
import io.dotterelcrank.process.prefill.GoalMix;
import io.dotterelcrank.process.prefill.PrefillBudget;
import io.dotterelcrank.version.plan.Route;
import io.dotterelcrank.version.plan.ServiceSpec;

/**
 * Applies the decisions of {@link io.dotterelcrank.process.overload} to the generations
 * of this host: collects the load of the engines and the requests that wait, and keeps
 * the state of each service. Confined to the traffic thread.
 */
final class OverloadControl {

	/**
	 * Fraction of a caller's remaining time that it waits at most before it returns; the
	 * rest is left for the repeated request.
	 */
	static final double LONGEST_RETURN_FRACTION = 1.0 / 3;

	/** Time without an event for which every caller waits, in milliseconds. */
	private static final long MIN_PATIENCE_MILLIS = 2_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	/** Number of latency goals for which a caller waits for the first event. */
	private static final long PATIENCE_GOALS = 4;

	private final Clock clock;

	private final TargetPool targetPool;

	private final UniformRandomProvider random;

	private final boolean yieldsToShorterGoals;

	private final RefusalPolicy refusalPolicy = new RefusalPolicy.ForExpectedStart();

	/** Backlogs by service. */
	private final Map<String, Backlog> backlogs = new HashMap<>();

	/** Schedules by service. */
	private final Map<String, ReturnSchedule> returnSchedules = new HashMap<>();

	/** Detectors by route. */
	private final Map<String, ReturnDetector> returnDetectors = new HashMap<>();

	/** Latency goals of the arrivals by service. */
	private final Map<String, GoalMix> goalMixes = new HashMap<>();

	/** Number of entry hosts, this one included. */
	private int entryHosts = 1;

	OverloadControl(Clock clock, TargetPool targetPool, UniformRandomProvider random, boolean yieldsToShorterGoals) {
		this.yieldsToShorterGoals = yieldsToShorterGoals;
		this.clock = clock;
		this.targetPool = targetPool;
		this.random = random;
	}

	void updateEntryHosts(int count) {
		this.entryHosts = count;
	}

	/**
	 * Records an arriving request.
	 * @param request the request, with its route and service
	 * @return whether its caller was refused before and has returned
	 */
	boolean recordArrival(RelayedRequest request) {
		Route route = request.route();
		if (request.service().engine().isPresent()) {
			backlog(request.service()).recordArrival(request.demand().expectedTotalTokens());
			goalMix(request.service()).recordArrival(route.latencyGoalMillis());
		}
		return this.returnDetectors.computeIfAbsent(route.name(), (name) -> new ReturnDetector())
			.recordArrival(request.request().deadlineMillis());
	}

	/**
	 * Estimates the wait of a generation that cannot be placed now.
	 * @param request the generation
	 * @param waiting requests that wait at this host
	 * @return past and expected wait
	 */
	RefusalPolicy.WaitEstimate estimateWait(RelayedRequest request, Collection<RelayedRequest> waiting) {
		long tokens = request.demand().expectedTotalTokens();
		long tokensAhead = 0;
		for (RelayedRequest other : waiting) {
			if (other != request && other.service() != null && other.service().name().equals(request.service().name())
					&& WaitingOrder.COMPARATOR.compare(other, request) < 0) {
				tokensAhead += other.demand().expectedTotalTokens();
			}
		}
		EngineCapacity share = capacity(request.service()).share(this.entryHosts);
		Backlog backlog = backlog(request.service());
		return new RefusalPolicy.WaitEstimate(this.clock.millis() - request.arrivedAtMillis(),
				request.late() ? Backlog.NEVER : backlog.millisUntilStart(share, tokensAhead, tokens),
				backlog.millisUntilLateStart(share, tokensAhead, tokens), request.route().latencyGoalMillis(),
				usefulMillis(request), share.known());
	}

	boolean refuses(RefusalPolicy.WaitEstimate wait) {
		return this.refusalPolicy.refuses(wait);
	}

	/**
	 * Returns the delay after which a refused caller may return.
	 * @param request the refused generation
	 * @param wait its wait when it was refused
	 * @return delay in milliseconds
	 */
	long returnDelayMillis(RelayedRequest request, RefusalPolicy.WaitEstimate wait) {
		long remainingMillis = request.request().deadlineAtMillis() - this.clock.millis();
		long longestMillis = (long) (LONGEST_RETURN_FRACTION * remainingMillis);
		return this.returnSchedules
			.computeIfAbsent(request.service().name(), (name) -> ReturnSchedule.of(this.clock, this.random))
			.assign(request.demand().expectedTotalTokens(),
					capacity(request.service()).share(this.entryHosts).freedTokensPerSecond(), wait.lateStartMillis(),
					longestMillis);
	}

	/**
	 * Returns the time since its arrival up to which a start is of use to the caller: its
	 * last token must come before the deadline, and its first before the caller gives up.
	 * @param request the generation
	 * @return time in milliseconds
	 */
	private long usefulMillis(RelayedRequest request) {
		GenerationStatistics statistics = this.targetPool.statistics(request.service());
		PlacementStrategy.Demand demand = request.demand();
		long outputMillis = Math.round(statistics.eventMillis() * (demand.expectedTotalTokens() - demand.promptTokens())
				/ request.tokensPerEvent());
		long patienceMillis = Math.max(MIN_PATIENCE_MILLIS, PATIENCE_GOALS * request.route().latencyGoalMillis());
		long latestMillis = Math.min(request.request().deadlineMillis() - outputMillis, request.maxWaitMillis());
		return Math.max(request.route().latencyGoalMillis(), Math.min(latestMillis, patienceMillis));
	}

	private EngineCapacity capacity(ServiceSpec service) {
		GenerationStatistics statistics = this.targetPool.statistics(service);
		EngineCapacity capacity = EngineCapacity.UNKNOWN;
		for (TrackedTarget engine : this.targetPool.accepting(service)) {
			if (engine.load() != null) {
				long usedTokens = engine.load().memoryUsed();
				long committedTokens = usedTokens + engine.load().unreadTokens()
						+ Math.max(0, engine.load().growthTokens());
				long freeTokens = (long) (PlacementStrategy.ForEngines.USABLE_MEMORY_FRACTION
						* engine.load().memoryTotal()) - committedTokens;
				capacity = capacity.plus(new EngineCapacity(Math.max(0, freeTokens),
						MILLIS_PER_SECOND * usedTokens / statistics.memoryMillis(), 1));
			}
		}
		return capacity;
	}

	/**
	 * Returns the budget of unread prompts for the generations of a service.
	 * @param service the service
	 * @return budget for the present mix of latency goals
	 */
	PrefillBudget prefillBudget(ServiceSpec service) {
		return PrefillBudget.of(this.yieldsToShorterGoals ? goalMix(service).shortestGoalMillis() : GoalMix.NO_GOAL);
	}

	/**
	 * Returns the shortest latency goal among the generations of each service.
	 * @return goals in milliseconds by service, for dumps
	 */
	Map<String, Long> shortestGoals() {
		Map<String, Long> goals = new TreeMap<>();
		this.goalMixes.forEach((service, mix) -> goals.put(service, mix.shortestGoalMillis()));
		return goals;
	}

	private GoalMix goalMix(ServiceSpec service) {
		return this.goalMixes.computeIfAbsent(service.name(), (name) -> GoalMix.of(this.clock));
	}

	private Backlog backlog(ServiceSpec service) {
		return this.backlogs.computeIfAbsent(service.name(), (name) -> Backlog.of(this.clock));
	}

}
