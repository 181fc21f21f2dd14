package io.dotterelcrank.process.rollout;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.dotterelcrank.common.RendezvousHash;
import io.dotterelcrank.process.membership.TargetRegistration;

/**
 * Chooses the targets of a new version that are tried. Addresses versions that are bad
 * only under load: the few requests of a trial go to so few targets that each is loaded
 * about as an old one is, at every host the same ones, and to others after a while. Not
 * thread-safe.
 */
final class TrialChoice {

	private final String key;

	private Set<String> ids = Set.of();

	/**
	 * Creates a choice without targets.
	 * @param key key of the roll-out
	 */
	TrialChoice(String key) {
		this.key = key;
	}

	/**
	 * Chooses again.
	 * @param candidates targets of the new version
	 * @param oldTargets number of targets of the old one
	 * @param share share of the requests that is tried
	 * @param turn number of the time slice
	 */
	void update(Collection<TargetRegistration> candidates, int oldTargets, double share, long turn) {
		List<TargetRegistration> usable = candidates.stream().filter((target) -> !target.leaving()).toList();
		// The first responses of a cold target say nothing of its version.
		List<TargetRegistration> warm = usable.stream().filter((target) -> target.coldMillis() <= 0).toList();
		long number = Math.max(1, Math.round(share * oldTargets));
		this.ids = RendezvousHash.rank(this.key + '\0' + turn, warm.isEmpty() ? usable : warm, TargetRegistration::id)
			.stream()
			.limit(number)
			.map(TargetRegistration::id)
			.collect(Collectors.toSet());
	}

	/**
	 * Returns whether a target is tried.
	 * @param id id of the target
	 * @return {@code true} if it was chosen
	 */
	boolean contains(String id) {
		return this.ids.contains(id);
	}

}
