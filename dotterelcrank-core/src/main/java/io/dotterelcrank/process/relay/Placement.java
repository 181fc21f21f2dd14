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
interface Placement {

	/**
	 * Chooses a target.
	 * @param candidates targets that may take the request
	 * @param demand what the request needs
	 * @return the target, or nothing if none has room
	 */
	Optional<TargetState> choose(List<TargetState> candidates, Demand demand);

	/**
	 * What a request needs. Immutable.
	 *
	 * @param promptTokens tokens of the prompt; 0 for a plain request
	 * @param expectedTokens tokens that it will probably hold in the end
	 * @param dataCentre data centre preferred
	 * @param hosts number of entry hosts, which each see their own requests only
	 */
	record Demand(long promptTokens, long expectedTokens, String dataCentre, int hosts) {

		static Demand of(Optional<GenerationTraits> traits, String dataCentre, int hosts) {
			return new Demand(traits.map(GenerationTraits::promptTokens).orElse(0L),
					traits.map(GenerationTraits::expectedTokens).orElse(0L), dataCentre, hosts);
		}

	}

	/**
	 * Chooses the engine with most room. Answers the load pattern of a few long
	 * generations that fill engines' memory long before their slots: a request goes where
	 * the memory in use, with what is on the way there, is smallest, and nowhere if it
	 * would not fit.
	 */
	final class ForEngines implements Placement {

		/**
		 * Part of the memory that is given out; the rest is left for outputs longer than
		 * expected.
		 */
		static final double USABLE_PART = 0.95;

		/** Tokens that a running request will probably still produce. */
		static final long GROWTH_TOKENS = 250;

		/** Memory parts that a waiting request counts for. */
		private static final double WAITING_WEIGHT = 0.1;

		/** Memory parts that a running request counts for, as it slows each step. */
		private static final double RUNNING_WEIGHT = 0.01;

		/** Memory parts that another data centre counts for. */
		private static final double FAR_WEIGHT = 0.02;

		/** Memory parts that a share of failures counts for. */
		private static final double FAILED_WEIGHT = 2;

		/** Memory of the service's engines, in tokens. */
		private final long memoryTokens;

		/** Breaks ties. */
		private final UniformRandomProvider random;

		ForEngines(long memoryTokens, UniformRandomProvider random) {
			this.memoryTokens = memoryTokens;
			this.random = random;
		}

		@Override
		public Optional<TargetState> choose(List<TargetState> candidates, Demand demand) {
			return candidates.stream()
				.filter((state) -> fits(state, demand))
				.map((state) -> new Scored(state, cost(state, demand) + this.random.nextDouble() * FAR_WEIGHT))
				.min(Comparator.comparingDouble(Scored::cost))
				.map(Scored::state);
		}

		private boolean fits(TargetState state, Demand demand) {
			EngineLoad load = state.load();
			long growth = (load != null) ? load.running() * GROWTH_TOKENS : 0;
			return used(state, demand) + growth + demand.expectedTokens() <= USABLE_PART * this.memoryTokens
					|| (state.ownRequests() == 0 && (load == null || load.running() == 0));
		}

		private long used(TargetState state, Demand demand) {
			EngineLoad load = state.load();
			if (load == null) {
				return state.ownExpected() * demand.hosts();
			}
			return load.memoryUsed() + state.ownUnread();
		}

		private double cost(TargetState state, Demand demand) {
			EngineLoad load = state.load();
			double cost = used(state, demand) / (double) this.memoryTokens;
			cost += RUNNING_WEIGHT * ((load != null) ? load.running() : state.ownRequests() * demand.hosts());
			cost += WAITING_WEIGHT * ((load != null) ? load.waiting() : 0);
			cost += FAILED_WEIGHT * state.failedShare();
			if (!state.target().entry().dataCentre().equals(demand.dataCentre())) {
				cost += FAR_WEIGHT;
			}
			return cost;
		}

	}

	/**
	 * Chooses the plain target that will probably answer first: own requests there times
	 * its smoothed time to an answer, made worse by failures. Answers the load pattern of
	 * targets that differ in speed, turn slow or fail part of their requests while their
	 * health is good.
	 */
	final class ForPlainTargets implements Placement {

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
		public Optional<TargetState> choose(List<TargetState> candidates, Demand demand) {
			return candidates.stream()
				.map((state) -> new Scored(state, cost(state, demand) * (1 + CHANCE_PART * this.random.nextDouble())))
				.min(Comparator.comparingDouble(Scored::cost))
				.map(Scored::state);
		}

		private double cost(TargetState state, Demand demand) {
			double millis = (state.answerMillis() > 0) ? state.answerMillis() : UNKNOWN_MILLIS;
			double cost = (state.ownRequests() + 1) * millis * (1 + FAILED_FACTOR * state.failedShare());
			boolean far = !state.target().entry().dataCentre().equals(demand.dataCentre());
			return far ? cost * FAR_FACTOR : cost;
		}

	}

	/**
	 * A target with its cost. Immutable.
	 *
	 * @param state the target
	 * @param cost its cost; the smallest is best
	 */
	record Scored(TargetState state, double cost) {
	}

}
