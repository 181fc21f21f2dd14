package io.dotterelcrank.process.relay;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;

import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.request.GenerationTraits;

/**
 * Chooses among targets that may take a request. Implementations belong to the traffic
 * thread.
 */
interface PlacementStrategy {

	/**
	 * Chooses a target.
	 * @param candidates targets that may take the request
	 * @param demand what the request needs
	 * @return the target, or nothing if none has room
	 */
	Optional<TrackedTarget> choose(List<TrackedTarget> candidates, Demand demand);

	/**
	 * What a request needs. Immutable.
	 *
	 * @param promptTokens tokens of the prompt; 0 for a plain request
	 * @param expectedTokens tokens that it will probably hold in the end
	 * @param dataCentre data centre preferred
	 * @param farSeconds time that another data centre counts for, in seconds
	 * @param hosts number of entry hosts, which each see their own requests only
	 */
	record Demand(long promptTokens, long expectedTokens, String dataCentre, double farSeconds, int hosts) {

		/**
		 * Time that another data centre counts for a request, in seconds; a round trip
		 * there takes 2 ms, and its bytes are paid for.
		 */
		static final double REQUEST_FAR_SECONDS = 0.02;

		/**
		 * Time that another data centre counts for a copy of a run, in seconds; copies
		 * take twice as long there, 0.2 s more for 3,500 tokens.
		 */
		static final double COPY_FAR_SECONDS = 0.2;

		static Demand of(Optional<GenerationTraits> traits, String dataCentre, int hosts) {
			return new Demand(traits.map(GenerationTraits::promptTokens).orElse(0L),
					traits.map(GenerationTraits::expectedTotalTokens).orElse(0L), dataCentre, REQUEST_FAR_SECONDS,
					hosts);
		}

		/**
		 * Returns a copy that leaves room for others.
		 * @param tokens memory that stays free, in tokens
		 * @return the changed copy
		 */
		Demand sparing(long tokens) {
			return new Demand(this.promptTokens, this.expectedTokens + tokens, this.dataCentre, this.farSeconds,
					this.hosts);
		}

		/**
		 * Returns a copy that needs room for the prompt only.
		 * @return the changed copy
		 */
		Demand promptOnly() {
			return new Demand(this.promptTokens, this.promptTokens, this.dataCentre, this.farSeconds, this.hosts);
		}

		/**
		 * Returns the demand of a copy of the run.
		 * @param source data centre of the engine that runs it
		 * @return the changed copy
		 */
		Demand copiedFrom(String source) {
			return new Demand(this.promptTokens, this.expectedTokens, source, COPY_FAR_SECONDS, this.hosts);
		}

	}

	/**
	 * Chooses the engine that will probably produce the first token first, among those
	 * whose memory has room. Answers three load patterns: a few long generations that
	 * fill engines' memory long before their slots, prompts that are read one after
	 * another at one engine while others read none, and an engine that has just started,
	 * which all hosts would choose at once before it tells its load.
	 */
	final class ForEngines implements PlacementStrategy {

		/**
		 * Part of the memory that is given out; the rest is left for outputs longer than
		 * expected.
		 */
		static final double USABLE_PART = 0.95;

		/** Tokens that a running request will probably still produce. */
		static final long GROWTH_TOKENS = 250;

		/**
		 * Prompt tokens that an engine reads in a second while it runs other requests;
		 * half of the platform's 14 a millisecond, since chunks take turns with tokens.
		 */
		static final double READ_PER_SECOND = 7_000;

		/**
		 * Prompt tokens to read above which an engine takes no more, so that requests
		 * wait where they can still go elsewhere; reading them takes about a second.
		 */
		static final long MAX_UNREAD_TOKENS = 8_000;

		/** Tokens that a request of another host probably has still to read. */
		static final long FOREIGN_UNREAD_TOKENS = 1_500;

		/** Seconds that an engine's whole memory in use counts for. */
		private static final double MEMORY_SECONDS = 0.5;

		/** Seconds that a running request counts for, as it slows each step. */
		private static final double RUNNING_SECONDS = 0.02;

		/** Seconds that chance decides, at most, so that hosts do not choose alike. */
		private static final double CHANCE_SECONDS = 0.02;

		/** Seconds that a share of failures counts for. */
		private static final double FAILED_SECONDS = 4;

		/** Memory of the service's engines, in tokens. */
		private final long memoryTokens;

		/** Breaks ties. */
		private final UniformRandomProvider random;

		ForEngines(long memoryTokens, UniformRandomProvider random) {
			this.memoryTokens = memoryTokens;
			this.random = random;
		}

		@Override
		public Optional<TrackedTarget> choose(List<TrackedTarget> candidates, Demand demand) {
			boolean told = candidates.stream().anyMatch((state) -> state.load() != null);
			return candidates.stream()
				.filter((state) -> state.load() != null || !told || ownTurn(demand.hosts()))
				.filter((state) -> fits(state, demand))
				.map((state) -> new Scored(state, seconds(state, demand)))
				.min(Comparator.comparingDouble(Scored::cost))
				.map(Scored::state);
		}

		/**
		 * Tells whether this host may use an engine whose load is not known.
		 * @param hosts number of hosts that would use it
		 * @return {@code true} for one host on average
		 */
		private boolean ownTurn(int hosts) {
			return this.random.nextDouble() * hosts < 1;
		}

		private boolean fits(TrackedTarget state, Demand demand) {
			EngineLoad load = state.load();
			if (load == null) {
				return state.ownRequests() == 0
						|| used(state, demand) + demand.expectedTokens() <= USABLE_PART * this.memoryTokens;
			}
			EngineLoad now = load.withUnreadTokens(state.unreadTokens(demand.hosts()));
			return fits(now, demand.expectedTokens(), this.memoryTokens)
					|| (state.ownRequests() == 0 && load.running() == 0);
		}

		/**
		 * Tells whether a request probably fits into an engine's memory to its end.
		 * @param load load of the engine
		 * @param expectedTokens tokens that the request will probably hold in the end
		 * @param memoryTokens memory of the engine, in tokens
		 * @return {@code true} if it does
		 */
		static boolean fits(EngineLoad load, long expectedTokens, long memoryTokens) {
			long committed = load.memoryUsed() + load.unreadTokens() + load.running() * GROWTH_TOKENS;
			return load.unreadTokens() <= MAX_UNREAD_TOKENS && committed + expectedTokens <= USABLE_PART * memoryTokens;
		}

		private long used(TrackedTarget state, Demand demand) {
			EngineLoad load = state.load();
			if (load == null) {
				return state.ownExpected() * demand.hosts();
			}
			return load.memoryUsed() + state.unreadTokens(demand.hosts());
		}

		private double seconds(TrackedTarget state, Demand demand) {
			EngineLoad load = state.load();
			int running = (load != null) ? load.running() : state.ownRequests() * demand.hosts();
			double seconds = state.unreadTokens(demand.hosts()) / READ_PER_SECOND;
			seconds += MEMORY_SECONDS * used(state, demand) / this.memoryTokens;
			seconds += RUNNING_SECONDS * running;
			seconds += FAILED_SECONDS * state.failedShare();
			if (!state.target().registration().dataCentre().equals(demand.dataCentre())) {
				seconds += demand.farSeconds();
			}
			return seconds + CHANCE_SECONDS * this.random.nextDouble();
		}

	}

	/**
	 * Chooses the plain target that will probably answer first: own requests there times
	 * its smoothed time to an answer, made worse by failures. Answers the load pattern of
	 * targets that differ in speed, turn slow or fail part of their requests while their
	 * health is good.
	 */
	final class ForPlainTargets implements PlacementStrategy {

		/** Factor that another data centre counts for. */
		private static final double FAR_FACTOR = 1.1;

		/** Factor that a share of failures counts for. */
		private static final double FAILED_FACTOR = 10;

		/** Part of the cost that chance decides, so that hosts do not choose alike. */
		private static final double CHANCE_PART = 0.2;

		/** Time to an answer before any was seen, in milliseconds. */
		private static final double UNKNOWN_MILLIS = 20;

		/** Breaks ties. */
		private final UniformRandomProvider random;

		ForPlainTargets(UniformRandomProvider random) {
			this.random = random;
		}

		@Override
		public Optional<TrackedTarget> choose(List<TrackedTarget> candidates, Demand demand) {
			return candidates.stream()
				.map((state) -> new Scored(state, cost(state, demand) * (1 + CHANCE_PART * this.random.nextDouble())))
				.min(Comparator.comparingDouble(Scored::cost))
				.map(Scored::state);
		}

		private double cost(TrackedTarget state, Demand demand) {
			double millis = (state.answerMillis() > 0) ? state.answerMillis() : UNKNOWN_MILLIS;
			double cost = (state.ownRequests() + 1) * millis * (1 + FAILED_FACTOR * state.failedShare());
			boolean far = !state.target().registration().dataCentre().equals(demand.dataCentre());
			return far ? cost * FAR_FACTOR : cost;
		}

	}

	/**
	 * A target with its cost. Immutable.
	 *
	 * @param state the target
	 * @param cost its cost; the smallest is best
	 */
	record Scored(TrackedTarget state, double cost) {
	}

}
