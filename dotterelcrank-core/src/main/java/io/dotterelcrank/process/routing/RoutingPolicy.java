package io.dotterelcrank.process.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;

import io.dotterelcrank.common.RendezvousHash;

/**
 * Chooses the target of a request. Not thread-safe unless stated; belongs to the control
 * thread of an entry host.
 */
public interface RoutingPolicy {

	/**
	 * Chooses a target.
	 * @param affinity text whose requests should meet at the same targets, such as
	 * workspace and beginning of the prompt
	 * @param targets targets that may take the request, without those tried before
	 * @param spillPercent load above which a target is passed over
	 * @return the choice, or nothing if there is no target
	 */
	Optional<TargetView> choose(String affinity, List<TargetView> targets, long spillPercent);

	/**
	 * Returns the policy with a given name.
	 * @param name {@code affinity}, {@code round-robin}, {@code least-outstanding} or
	 * {@code two-choices}
	 * @param random random source
	 * @return the policy
	 */
	static RoutingPolicy named(String name, UniformRandomProvider random) {
		return switch (name) {
			case "affinity" -> new WithBoundedAffinity(random);
			case "two-choices" -> new WithTwoChoices(random);
			case "least-outstanding" -> WithLeastOutstanding.INSTANCE;
			case "round-robin" -> new WithRoundRobin();
			default -> throw new IllegalArgumentException("unknown routing policy " + name);
		};
	}

	/**
	 * Prefers the targets that rank first for the affinity, unless their load is above
	 * the bound; then takes the better of two random targets, near ones first. Far
	 * targets are used only when all near ones are above the bound, and then in
	 * proportion to their room.
	 */
	final class WithBoundedAffinity implements RoutingPolicy {

		/** Number of targets that the affinity prefers. */
		private static final int PREFERRED = 2;

		/** Random source. */
		private final UniformRandomProvider random;

		private WithBoundedAffinity(UniformRandomProvider random) {
			this.random = random;
		}

		@Override
		public Optional<TargetView> choose(String affinity, List<TargetView> targets, long spillPercent) {
			List<TargetView> near = targets.stream().filter(TargetView::local).toList();
			List<TargetView> open = below(near, spillPercent);
			if (open.isEmpty()) {
				open = below(targets, spillPercent);
			}
			if (open.isEmpty()) {
				return WithTwoChoices.better(targets, this.random);
			}
			Optional<TargetView> preferred = preferred(affinity, near, spillPercent);
			return preferred.isPresent() ? preferred : WithTwoChoices.better(open, this.random);
		}

		private static Optional<TargetView> preferred(String affinity, List<TargetView> near, long spillPercent) {
			return RendezvousHash.rank(affinity, near, TargetView::name)
				.stream()
				.limit(PREFERRED)
				.filter((view) -> view.estimatedPercent() < spillPercent)
				.findFirst();
		}

		private static List<TargetView> below(List<TargetView> targets, long spillPercent) {
			return targets.stream().filter((view) -> view.estimatedPercent() < spillPercent).toList();
		}

	}

	/**
	 * Takes the less loaded of two random targets.
	 */
	final class WithTwoChoices implements RoutingPolicy {

		/** Random source. */
		private final UniformRandomProvider random;

		private WithTwoChoices(UniformRandomProvider random) {
			this.random = random;
		}

		@Override
		public Optional<TargetView> choose(String affinity, List<TargetView> targets, long spillPercent) {
			return better(targets, this.random);
		}

		static Optional<TargetView> better(List<TargetView> targets, UniformRandomProvider random) {
			if (targets.isEmpty()) {
				return Optional.empty();
			}
			TargetView first = targets.get(random.nextInt(targets.size()));
			TargetView second = targets.get(random.nextInt(targets.size()));
			boolean firstBetter = first.estimatedPercent() <= second.estimatedPercent();
			return Optional.of(firstBetter ? first : second);
		}

	}

	/**
	 * Baseline: takes the target at which this entry host has the fewest requests.
	 * Thread-safe.
	 */
	enum WithLeastOutstanding implements RoutingPolicy {

		/** The only instance. */
		INSTANCE;

		@Override
		public Optional<TargetView> choose(String affinity, List<TargetView> targets, long spillPercent) {
			return targets.stream().min(Comparator.comparingInt(TargetView::outstanding));
		}

	}

	/**
	 * Baseline: takes the targets in turn.
	 */
	final class WithRoundRobin implements RoutingPolicy {

		/** Number of choices so far. */
		private int turns;

		private WithRoundRobin() {
		}

		@Override
		public Optional<TargetView> choose(String affinity, List<TargetView> targets, long spillPercent) {
			if (targets.isEmpty()) {
				return Optional.empty();
			}
			return Optional.of(targets.get(Math.floorMod(this.turns++, targets.size())));
		}

	}

}
