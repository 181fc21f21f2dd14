package io.dotterelcrank.process.rollout;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.dotterelcrank.process.membership.TargetRegistration;

/**
 * The versions of one service: which run by right, and which were rolled back or
 * replaced. Addresses targets of a new version that are seen before the order that they
 * belong to, or by a host that does not know the orders. Not thread-safe.
 */
final class ServiceVersions {

	/** Versions that get requests without a roll-out. */
	private final Set<String> incumbents = new HashSet<>();

	/** Versions that get nothing unless they are ordered again. */
	private final Set<String> excluded = new HashSet<>();

	/** When other versions were first seen with current knowledge. */
	private final Map<String, Long> pendingSince = new HashMap<>();

	private Set<String> present = Set.of();

	/**
	 * Updates the targets.
	 * @param targets targets of the service
	 * @param ordered version of the order in force, or {@code null}
	 * @param inContact whether the orders are known to be current
	 * @param nowMillis current time, in milliseconds
	 * @param graceMillis time after which an order would be known
	 */
	void update(Collection<TargetRegistration> targets, String ordered, boolean inContact, long nowMillis,
			long graceMillis) {
		Set<String> versions = new HashSet<>();
		targets.forEach((target) -> versions.add(target.version()));
		this.present = versions;
		if (this.incumbents.isEmpty()) {
			addFirst(targets, ordered, inContact);
		}
		this.pendingSince.keySet().retainAll(versions);
		for (String version : versions) {
			if (version.equals(ordered) || this.incumbents.contains(version) || this.excluded.contains(version)) {
				this.pendingSince.remove(version);
			}
			else {
				this.pendingSince.putIfAbsent(version, nowMillis);
			}
		}
		poll(inContact, nowMillis, graceMillis);
	}

	/**
	 * Lets versions run for which no order has come in time.
	 * @param inContact whether the orders are known to be current
	 * @param nowMillis current time, in milliseconds
	 * @param graceMillis time after which an order would be known
	 */
	void poll(boolean inContact, long nowMillis, long graceMillis) {
		if (this.pendingSince.isEmpty()) {
			return;
		}
		if (!inContact) {
			this.pendingSince.replaceAll((version, since) -> nowMillis);
			return;
		}
		this.pendingSince.forEach((version, since) -> {
			if (nowMillis - since >= graceMillis) {
				this.incumbents.add(version);
			}
		});
		this.pendingSince.keySet().removeAll(this.incumbents);
	}

	private void addFirst(Collection<TargetRegistration> targets, String ordered, boolean inContact) {
		if (inContact) {
			targets.forEach((target) -> this.incumbents.add(target.version()));
			this.incumbents.remove(ordered);
			return;
		}
		// The targets of a new version are started after those of the old one.
		targets.stream()
			.filter((target) -> !target.version().equals(ordered))
			.min(Comparator.comparingLong(TargetRegistration::bornMillis))
			.ifPresent((target) -> this.incumbents.add(target.version()));
	}

	/**
	 * Begins a roll-out.
	 * @param version version that is ordered
	 * @return whether it is the only version that runs
	 */
	boolean begin(String version) {
		Set<String> others = new HashSet<>(this.incumbents);
		others.retainAll(this.present);
		others.remove(version);
		boolean alone = others.isEmpty() && this.incumbents.contains(version);
		this.excluded.remove(version);
		this.pendingSince.remove(version);
		if (!alone) {
			this.incumbents.remove(version);
		}
		return alone;
	}

	/**
	 * Returns whether targets of other versions run that were not replaced.
	 * @param version version that is ordered
	 * @return {@code true} if the version has to be tried beside them
	 */
	boolean othersRun(String version) {
		return this.present.stream()
			.anyMatch((other) -> !other.isEmpty() && !other.equals(version) && !this.excluded.contains(other));
	}

	/**
	 * Withdraws the rank of an incumbent, which was taken for the only version that runs
	 * while the others were not listed.
	 * @param version version that is ordered
	 */
	void demote(String version) {
		this.incumbents.remove(version);
		this.incumbents.addAll(this.present);
		this.incumbents.remove(version);
		this.incumbents.removeAll(this.excluded);
	}

	/**
	 * Ends a roll-out whose version gets nothing any more.
	 * @param version version that was ordered
	 */
	void exclude(String version) {
		this.incumbents.remove(version);
		this.excluded.add(version);
	}

	/**
	 * Ends a roll-out whose version has replaced the others.
	 * @param version version that was ordered
	 */
	void complete(String version) {
		this.excluded.addAll(this.incumbents);
		this.excluded.addAll(this.present);
		this.excluded.remove(version);
		this.incumbents.clear();
		this.incumbents.add(version);
	}

	/**
	 * Returns whether a version gets requests without a roll-out of its own.
	 * @param version version of a target
	 * @return {@code false} if it was replaced or rolled back, or is too new for its
	 * order to be known while others run
	 */
	boolean allows(String version) {
		if (this.excluded.contains(version)) {
			return false;
		}
		return this.incumbents.contains(version) || this.incumbents.stream().noneMatch(this.present::contains);
	}

}
