package io.dotterelcrank.process.relay;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.Stream;

import org.apache.commons.rng.UniformRandomProvider;

import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.EngineSpeed;
import io.dotterelcrank.request.GenerationTraits;

/**
 * Chooses a target for a request. Implementations are confined to the traffic thread.
 */
interface PlacementStrategy {

	/**
	 * Chooses the target with the lowest cost.
	 * @param candidates targets that accept new work
	 * @param demand resources that the request needs
	 * @return the target, or empty if none has the capacity
	 */
	Optional<TrackedTarget> choose(List<TrackedTarget> candidates, Demand demand);

	/**
	 * Resources that a request needs, and where. Immutable.
	 *
	 * @param promptTokens tokens of the prompt; 0 if the request is no generation
	 * @param expectedTotalTokens expected tokens of prompt and output; 0 if the request
	 * is no generation
	 * @param dataCentre preferred data centre
	 * @param remotePenaltySeconds cost of another data centre, in seconds
	 * @param entryHosts number of entry hosts, each of which knows only its own requests
	 * @param maxQueueMillis time that prefill of the prompts ahead may take, in
	 * milliseconds
	 * @param ownQueueMillis the same by the request's own latency goal, whatever others
	 * need
	 * @param maxMemoryFraction fraction of an engine's memory that may be in use, this
	 * request included; {@link #NO_LIMIT} if the limit of all requests is enough
	 * @param reserveTokens memory that has to stay free for other requests, in tokens
	 */
	record Demand(long promptTokens, long expectedTotalTokens, String dataCentre, double remotePenaltySeconds,
			int entryHosts, long maxQueueMillis, long ownQueueMillis, double maxMemoryFraction, long reserveTokens) {

		/** Value of {@link #maxMemoryFraction} without a limit. */
		static final double NO_LIMIT = Double.POSITIVE_INFINITY;

		/**
		 * Cost of another data centre for a request, in seconds: a round trip there is
		 * longer, and its traffic is billed.
		 */
		static final double REQUEST_REMOTE_PENALTY_SECONDS = 0.02;

		static Demand of(Optional<GenerationTraits> traits, String dataCentre, int entryHosts, long maxQueueMillis) {
			return new Demand(traits.map(GenerationTraits::promptTokens).orElse(0L),
					traits.map(GenerationTraits::expectedTotalTokens).orElse(0L), dataCentre,
					REQUEST_REMOTE_PENALTY_SECONDS, entryHosts, maxQueueMillis, maxQueueMillis, NO_LIMIT, 0);
		}

		/**
		 * Returns this demand for engines that keep some memory free for others.
		 * @param tokens memory that has to stay free, in tokens
		 * @return the stricter demand
		 */
		Demand withReserve(long tokens) {
			return new Demand(this.promptTokens, this.expectedTotalTokens, this.dataCentre, this.remotePenaltySeconds,
					this.entryHosts, this.maxQueueMillis, this.ownQueueMillis, this.maxMemoryFraction, tokens);
		}

		/**
		 * Returns this demand for engines with another length of the prefill queue.
		 * @param millis time that prefill of the prompts ahead may take, in milliseconds
		 * @return the changed demand
		 */
		Demand withMaxQueueMillis(long millis) {
			return new Demand(this.promptTokens, this.expectedTotalTokens, this.dataCentre, this.remotePenaltySeconds,
					this.entryHosts, millis, this.ownQueueMillis, this.maxMemoryFraction, this.reserveTokens);
		}

		/**
		 * Returns this demand with memory for the prompt only.
		 * @return the smaller demand
		 */
		Demand forPromptOnly() {
			return new Demand(this.promptTokens, this.promptTokens, this.dataCentre, this.remotePenaltySeconds,
					this.entryHosts, this.maxQueueMillis, this.ownQueueMillis, this.maxMemoryFraction,
					this.reserveTokens);
		}

		/**
		 * Returns the demand of a KV backup or KV copy of the generation.
		 * @param sourceDataCentre data centre of the engine that runs the generation
		 * @param copySecondsPerToken time to copy a token within that data centre, in
		 * seconds; it is the additional time to another one
		 * @return demand that prefers that data centre
		 */
		Demand forKvCopy(String sourceDataCentre, double copySecondsPerToken) {
			return new Demand(this.promptTokens, this.expectedTotalTokens, sourceDataCentre,
					REQUEST_REMOTE_PENALTY_SECONDS + copySecondsPerToken * this.expectedTotalTokens, this.entryHosts,
					this.maxQueueMillis, this.ownQueueMillis, this.maxMemoryFraction, this.reserveTokens);
		}

		/**
		 * Returns this demand for engines with more free memory only.
		 * @param fraction fraction of the memory that may be in use, this request
		 * included
		 * @return the stricter demand
		 */
		Demand withMaxMemoryFraction(double fraction) {
			return new Demand(this.promptTokens, this.expectedTotalTokens, this.dataCentre, this.remotePenaltySeconds,
					this.entryHosts, this.maxQueueMillis, this.ownQueueMillis, fraction, this.reserveTokens);
		}

	}

	/**
	 * Chooses the engine with the shortest expected time to the first token, among those
	 * with enough free KV cache memory; long outputs go to engines with short steps, and
	 * prompts to where they disturb few running generations ({@link FlightTime}).
	 * Addresses four load patterns: a few long generations that fill engines' memory long
	 * before their slots; prompts that queue for prefill at one engine while others are
	 * idle; engines that differ in speed, for good or for seconds; and a newly started
	 * engine, which all hosts would choose at once before it reports its load. If most
	 * engines report no load, those that do are preferred. Where no report tells a speed,
	 * all engines count as equally fast.
	 */
	final class ForEngines implements PlacementStrategy {

		/**
		 * Max fraction of an engine's memory that its requests are expected to fill; the
		 * rest is left for outputs longer than expected.
		 */
		static final double USABLE_MEMORY_FRACTION = 0.95;

		private static final double MILLIS_PER_SECOND = 1_000;

		/** Cost of an engine whose memory is full, in seconds. */
		private static final double FULL_MEMORY_PENALTY_SECONDS = 0.5;

		/** Cost of each running request, in seconds, as it slows every decode step. */
		private static final double RUNNING_REQUEST_PENALTY_SECONDS = 0.02;

		/** Max random cost, in seconds, so that hosts choose differently. */
		private static final double MAX_JITTER_SECONDS = 0.02;

		/**
		 * Part of the time that a prompt may queue by which a start may be later than at
		 * the engine with the earliest one, for the sake of a lower load.
		 */
		private static final double MAX_LATER_START_FRACTION = 1.0 / 10;

		/**
		 * Cost of a second that generations run longer, in seconds of a later start: what
		 * runs longer is more likely to be interrupted, and keeps its memory.
		 */
		private static final double FLIGHT_SECONDS_WEIGHT = 0.25;

		/** Cost of a failure rate of 1, in seconds. */
		private static final double FAILURE_PENALTY_SECONDS = 4;

		/** KV cache memory of each engine of the service. */
		private final long memoryTokens;

		private final GenerationStatistics statistics;

		private final UniformRandomProvider random;

		ForEngines(long memoryTokens, GenerationStatistics statistics, UniformRandomProvider random) {
			this.memoryTokens = memoryTokens;
			this.statistics = statistics;
			this.random = random;
		}

		/**
		 * Returns the prefill backlog beyond which a request waits at the entry host,
		 * where it can still go elsewhere.
		 * @param prefillTokensPerSecond prompt tokens that the engine prefills per second
		 * @param demand resources that the request needs
		 * @return number of prompt tokens ahead of its own
		 */
		static long maxPendingPrefillTokens(double prefillTokensPerSecond, Demand demand) {
			return Math.round(prefillTokensPerSecond * demand.maxQueueMillis() / MILLIS_PER_SECOND);
		}

		@Override
		public Optional<TrackedTarget> choose(List<TrackedTarget> candidates, Demand demand) {
			List<TrackedTarget> reported = candidates.stream().filter((target) -> target.load() != null).toList();
			if (2 * reported.size() >= candidates.size()) {
				return cheapest(
						candidates.stream()
							.filter((target) -> target.load() != null || mayTryUnreported(demand.entryHosts())),
						demand);
			}
			return cheapest(reported.stream(), demand).or(() -> cheapest(candidates.stream(), demand));
		}

		private Optional<TrackedTarget> cheapest(Stream<TrackedTarget> candidates, Demand demand) {
			List<TrackedTarget> fitting = candidates.filter((target) -> fits(target, demand)).toList();
			OptionalDouble toldRate = meanPrefillTokensPerSecond(fitting);
			List<ScoredTarget> starts = fitting.stream()
				.map((target) -> new ScoredTarget(target, startSeconds(target, demand, toldRate)))
				.toList();
			double latestStartSeconds = latestStartSeconds(starts, demand);
			FlightTime flight = FlightTime.of(fitting);
			return starts.stream()
				.filter((start) -> start.cost() <= latestStartSeconds)
				.map((start) -> new ScoredTarget(start.target(),
						start.cost() + loadSeconds(start.target(), demand)
								+ FLIGHT_SECONDS_WEIGHT * flight.addedSeconds(start.target(), demand)))
				.min(Comparator.comparingDouble(ScoredTarget::cost))
				.map(ScoredTarget::target);
		}

		/**
		 * Returns the latest start that is accepted for the sake of a lower load.
		 * @param starts engines with the seconds until their expected start
		 * @param demand resources that the request needs
		 * @return time in seconds; infinite if no report tells a speed
		 */
		private static double latestStartSeconds(List<ScoredTarget> starts, Demand demand) {
			if (starts.stream().noneMatch((start) -> start.target().prefillRateKnown())) {
				return Double.POSITIVE_INFINITY;
			}
			double earliest = starts.stream().mapToDouble(ScoredTarget::cost).min().orElse(0);
			return earliest + MAX_LATER_START_FRACTION * demand.ownQueueMillis() / MILLIS_PER_SECOND;
		}

		/**
		 * Returns whether this host may use an engine without a load report.
		 * @param entryHosts number of hosts that would use it
		 * @return {@code true} for one host on average, by chance
		 */
		private boolean mayTryUnreported(int entryHosts) {
			return this.random.nextDouble() * entryHosts < 1;
		}

		private boolean fits(TrackedTarget target, Demand demand) {
			EngineLoad load = target.load();
			if (load == null) {
				return target.outstandingRequestCount() == 0
						|| estimatedUsedTokens(target, demand) + demand.expectedTotalTokens()
								+ demand.reserveTokens() <= USABLE_MEMORY_FRACTION * this.memoryTokens;
			}
			if (load.memoryUsed() + demand.expectedTotalTokens() > demand.maxMemoryFraction() * this.memoryTokens) {
				return false;
			}
			long growthTokens = (load.growthTokens() >= 0) ? load.growthTokens()
					: load.running() * this.statistics.typicalRemainingTokens();
			EngineLoad updated = load.withUnreadTokens(target.pendingPrefillTokens(demand.entryHosts()))
				.withGrowthTokens(growthTokens);
			return fits(updated, demand.expectedTotalTokens() + demand.reserveTokens(), this.memoryTokens,
					maxPendingPrefillTokens(target.prefillTokensPerSecond(this.statistics.prefillTokensPerSecond()),
							demand))
					|| (target.outstandingRequestCount() == 0 && load.running() == 0);
		}

		/**
		 * Returns whether a request is expected to fit into an engine's memory until it
		 * ends, and the engine's prefill queue is short enough.
		 * @param load load of the engine, with its expected growth
		 * @param expectedTotalTokens expected tokens of prompt and output
		 * @param memoryTokens total memory of the engine, in tokens
		 * @param maxPendingPrefillTokens max prompt tokens not yet prefilled
		 * @return {@code true} if the engine has the capacity
		 */
		static boolean fits(EngineLoad load, long expectedTotalTokens, long memoryTokens,
				long maxPendingPrefillTokens) {
			long committed = load.memoryUsed() + load.unreadTokens() + load.growthTokens();
			return load.unreadTokens() <= maxPendingPrefillTokens
					&& committed + expectedTotalTokens <= USABLE_MEMORY_FRACTION * memoryTokens;
		}

		private long estimatedUsedTokens(TrackedTarget target, Demand demand) {
			EngineLoad load = target.load();
			if (load == null) {
				return target.expectedCommittedTokens() * demand.entryHosts();
			}
			return load.memoryUsed() + target.pendingPrefillTokens(demand.entryHosts());
		}

		/**
		 * Returns the mean prefill rate that sidecars tell.
		 * @param engines engines to choose from
		 * @return prompt tokens per second; empty if no report tells a speed
		 */
		private static OptionalDouble meanPrefillTokensPerSecond(List<TrackedTarget> engines) {
			return engines.stream()
				.filter(TrackedTarget::prefillRateKnown)
				.mapToDouble((target) -> target.prefillTokensPerSecond(EngineSpeed.UNKNOWN_FIGURE))
				.average();
		}

		/**
		 * Returns the expected start. An engine that tells no speed while others do is
		 * assumed to be as much faster or slower than them as its responses have shown.
		 * @param target the engine
		 * @param demand resources that the request needs
		 * @param toldRate mean prefill rate that sidecars tell
		 * @return time until the prompt is prefilled, in seconds
		 */
		private double startSeconds(TrackedTarget target, Demand demand, OptionalDouble toldRate) {
			double assumedRate = toldRate.isPresent() ? toldRate.getAsDouble() * target.relativeSpeed()
					: this.statistics.prefillTokensPerSecond();
			return target.startSeconds(demand.promptTokens(), demand.entryHosts(), assumedRate);
		}

		/**
		 * Returns the cost of an engine's load, failures and place.
		 * @param target the engine
		 * @param demand resources that the request needs
		 * @return cost in seconds of a later start
		 */
		private double loadSeconds(TrackedTarget target, Demand demand) {
			EngineLoad load = target.load();
			int running = (load != null) ? load.running() : target.outstandingRequestCount() * demand.entryHosts();
			double seconds = FULL_MEMORY_PENALTY_SECONDS * estimatedUsedTokens(target, demand) / this.memoryTokens;
			seconds += RUNNING_REQUEST_PENALTY_SECONDS * running;
			seconds += FAILURE_PENALTY_SECONDS * target.failureRate();
			if (!target.membership().registration().dataCentre().equals(demand.dataCentre())) {
				seconds += demand.remotePenaltySeconds();
			}
			return seconds + MAX_JITTER_SECONDS * this.random.nextDouble();
		}

	}

	/**
	 * Chooses the target of a plain service, one without model engines, with the shortest
	 * expected response time: this process's outstanding requests there times the EWMA of
	 * its response time, raised by its failure rate. Addresses the load pattern of
	 * targets that differ in speed, become slow or fail some requests while their health
	 * checks pass.
	 */
	final class ForPlainTargets implements PlacementStrategy {

		/** Cost factor of another data centre. */
		private static final double REMOTE_COST_FACTOR = 1.1;

		/** Cost added by a failure rate of 1, relative to the cost without failures. */
		private static final double FAILURE_COST_FACTOR = 10;

		/** Max random fraction added to the cost, so that hosts choose differently. */
		private static final double MAX_JITTER_FRACTION = 0.2;

		/** Assumed response time before the first response, in milliseconds. */
		private static final double INITIAL_RESPONSE_MILLIS = 20;

		private final UniformRandomProvider random;

		ForPlainTargets(UniformRandomProvider random) {
			this.random = random;
		}

		@Override
		public Optional<TrackedTarget> choose(List<TrackedTarget> candidates, Demand demand) {
			return candidates.stream()
				.map((target) -> new ScoredTarget(target,
						cost(target, demand) * (1 + MAX_JITTER_FRACTION * this.random.nextDouble())))
				.min(Comparator.comparingDouble(ScoredTarget::cost))
				.map(ScoredTarget::target);
		}

		private double cost(TrackedTarget target, Demand demand) {
			double millis = (target.responseMillis() > 0) ? target.responseMillis() : INITIAL_RESPONSE_MILLIS;
			double cost = (target.outstandingRequestCount() + 1) * millis
					* (1 + FAILURE_COST_FACTOR * target.failureRate());
			boolean remote = !target.membership().registration().dataCentre().equals(demand.dataCentre());
			return remote ? cost * REMOTE_COST_FACTOR : cost;
		}

	}

	/**
	 * A target with its cost. Immutable.
	 *
	 * @param target the target
	 * @param cost cost in any unit that all candidates share; the lowest is best
	 */
	record ScoredTarget(TrackedTarget target, double cost) {
	}

}
