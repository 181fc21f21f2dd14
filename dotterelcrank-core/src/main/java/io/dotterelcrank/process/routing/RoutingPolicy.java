package io.dotterelcrank.process.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;

import io.dotterelcrank.common.RendezvousHash;

/**
 * Chooses the target of a request. Not thread-safe unless stated; confined to the control
 * thread of an entry host.
 */
public interface RoutingPolicy {

	/**
	 * Chooses a target.
	 * @param affinityKey requests with equal keys prefer the same targets; for example
	 * workspace and start of the prompt
	 * @param targets eligible targets, without those already tried
	 * @param spillPercent load from which on requests spill over to other targets
	 * @return the chosen target; empty if there are no targets
	 */
	Optional<TargetView> choose(String affinityKey, List<TargetView> targets, long spillPercent);

	/**
	 * Returns the policy with a given name.
	 * @param name {@code affinity}, {@code round-robin}, {@code least-outstanding} or
	 * {@code two-choices}
	 * @param random random source
	 * @return the policy
	 * @throws IllegalArgumentException if the name is unknown
	 */
	static RoutingPolicy named(String name, UniformRandomProvider random) {
		return switch (name) {
			case "affinity" -> new BoundedAffinityPolicy(random);
			case "two-choices" -> new TwoChoicesPolicy(random);
			case "least-outstanding" -> LeastOutstandingPolicy.INSTANCE;
			case "round-robin" -> new RoundRobinPolicy();
			default -> throw new IllegalArgumentException("unknown routing policy " + name);
		};
	}

	/**
	 * Prefers the local targets that rank first in the rendezvous hash of the affinity
	 * key, while their load is below the spill limit. Otherwise takes the less loaded of
	 * two random targets below the limit, so that less loaded targets take more: local
	 * ones, or any if all local ones have reached the limit. If all targets have reached
	 * it, the choice is among all.
	 */
	final class BoundedAffinityPolicy implements RoutingPolicy {

		/** Number of targets preferred per affinity key. */
		private static final int PREFERRED_TARGETS = 2;

		private final UniformRandomProvider random;

		private BoundedAffinityPolicy(UniformRandomProvider random) {
			this.random = random;
		}

		@Override
		public Optional<TargetView> choose(String affinityKey, List<TargetView> targets, long spillPercent) {
			List<TargetView> localTargets = targets.stream().filter(TargetView::local).toList();
			List<TargetView> belowSpill = belowSpill(localTargets, spillPercent);
			if (belowSpill.isEmpty()) {
				belowSpill = belowSpill(targets, spillPercent);
			}
			if (belowSpill.isEmpty()) {
				return TwoChoicesPolicy.lessLoadedOfTwo(targets, this.random);
			}
			Optional<TargetView> preferred = preferred(affinityKey, localTargets, spillPercent);
			return preferred.isPresent() ? preferred : TwoChoicesPolicy.lessLoadedOfTwo(belowSpill, this.random);
		}

		private static Optional<TargetView> preferred(String affinityKey, List<TargetView> localTargets,
				long spillPercent) {
			return RendezvousHash.rank(affinityKey, localTargets, TargetView::name)
				.stream()
				.limit(PREFERRED_TARGETS)
				.filter((view) -> view.estimatedPercent() < spillPercent)
				.findFirst();
		}

		private static List<TargetView> belowSpill(List<TargetView> targets, long spillPercent) {
			return targets.stream().filter((view) -> view.estimatedPercent() < spillPercent).toList();
		}

	}

	/**
	 * Power of two choices: takes the less loaded of two random targets.
	 */
	final class TwoChoicesPolicy implements RoutingPolicy {

		private final UniformRandomProvider random;

		private TwoChoicesPolicy(UniformRandomProvider random) {
			this.random = random;
		}

		@Override
		public Optional<TargetView> choose(String affinityKey, List<TargetView> targets, long spillPercent) {
			return lessLoadedOfTwo(targets, this.random);
		}

		static Optional<TargetView> lessLoadedOfTwo(List<TargetView> targets, UniformRandomProvider random) {
			if (targets.isEmpty()) {
				return Optional.empty();
			}
			TargetView first = targets.get(random.nextInt(targets.size()));
			TargetView second = targets.get(random.nextInt(targets.size()));
			boolean firstLessLoaded = first.estimatedPercent() <= second.estimatedPercent();
			return Optional.of(firstLessLoaded ? first : second);
		}

	}

	/**
	 * Baseline: takes the target with the fewest outstanding requests of this entry host.
	 * Thread-safe.
	 */
	enum LeastOutstandingPolicy implements RoutingPolicy {

		/** Stateless, therefore shared. */
		INSTANCE;

		@Override
		public Optional<TargetView> choose(String affinityKey, List<TargetView> targets, long spillPercent) {
			return targets.stream().min(Comparator.comparingInt(TargetView::outstanding));
		}

	}

	/**
	 * Baseline: round robin over the targets.
	 */
	final class RoundRobinPolicy implements RoutingPolicy {

		private int choices;

		private RoundRobinPolicy() {
		}

		@Override
		public Optional<TargetView> choose(String affinityKey, List<TargetView> targets, long spillPercent) {
			if (targets.isEmpty()) {
				return Optional.empty();
			}
			return Optional.of(targets.get(Math.floorMod(this.choices++, targets.size())));
		}

	}

}
