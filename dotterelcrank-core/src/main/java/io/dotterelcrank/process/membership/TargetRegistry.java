package io.dotterelcrank.process.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;

/**
 * Set of usable targets, built from their registrations. Tolerates two faults of the
 * platform's list: it loses all registrations in an outage, after which every target is
 * unlisted for a moment, and it delivers stale registrations. Invariants: registrations
 * of one target only advance, also after it was removed from the list, unless the later
 * one cannot be stale or its incarnation is seen to run; a target that has been unlisted
 * for {@link #UNLISTED_RETENTION_FRACTION} of the drain time is removed. Not thread-safe.
 */
public final class TargetRegistry {

	/**
	 * How long an unlisted target stays usable as a last resort, as a fraction of the
	 * time within which new work must stop after a planned removal. Registrations lost in
	 * an outage return soon after its end.
	 */
	static final double UNLISTED_RETENTION_FRACTION = 0.6;

	/**
	 * How long a sidecar's report of its target is valid, in milliseconds. Sidecars
	 * report at least once a second.
	 */
	static final long SIDECAR_REPORT_RETENTION_MILLIS = 2_500;

	/**
	 * How much later than a newer registration, or than the removal of its target, a
	 * stale one may come, in milliseconds; the list may execute a write some seconds
	 * after it was sent, or come back from a copy some seconds old.
	 */
	static final long MAX_LATE_MILLIS = 30_000;

	/** Number of heartbeats that a stale registration may be behind; far above usual. */
	static final long MAX_LATE_SEQUENCES = 1_000;

	/**
	 * Number of {@link #unlisted} targets kept; beyond that, the oldest are discarded.
	 */
	private static final int MAX_UNLISTED_IDS = 1_000;

	private static final Logger logger = LoggerFactory.getLogger(TargetRegistry.class);

	private final Clock clock;

	private final long unlistedRetentionMillis;

	/** Targets that are listed or were until recently, by id. */
	private final Map<String, TrackedRegistration> targets = new HashMap<>();

	/** Targets known only from a recent report of their sidecar, by id. */
	private final Map<String, TrackedRegistration> sidecarReports = new HashMap<>();

	/**
	 * Removals of targets from the list, oldest first; empty if the target was not known.
	 */
	private final Map<String, Optional<Removal>> unlisted = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Optional<Removal>> eldest) {
			return size() > MAX_UNLISTED_IDS;
		}

	};

	private final IncarnationEvidence evidence = new IncarnationEvidence();

	private Set<String> dataCentresOut = Set.of();

	private TargetRegistry(Clock clock, long drainMillis) {
		this.clock = clock;
		this.unlistedRetentionMillis = (long) (drainMillis * UNLISTED_RETENTION_FRACTION);
	}

	/**
	 * Creates a registry.
	 * @param clock clock of the process
	 * @param drainMillis time from a target's removal until it gets no new requests, in
	 * milliseconds
	 * @return an empty registry
	 */
	public static TargetRegistry of(Clock clock, long drainMillis) {
		return new TargetRegistry(clock, drainMillis);
	}

	/**
	 * Updates a target from its registration in the list. Stale registrations are
	 * ignored.
	 * @param registration the registration
	 */
	public void update(TargetRegistration registration) {
		TrackedRegistration tracked = this.targets.get(registration.id());
		Optional<TargetRegistration> newer = findNewer(registration);
		if (newer.isPresent() && !isOfRunningIncarnation(registration, newer.get())) {
			LogEvent.TARGET_REPORT_STALE.log(logger, registration.id(), registration.bornMillis(),
					registration.sequence(), newer.get().sequence());
			return;
		}
		long nowMillis = this.clock.millis();
		TargetRegistration former = (tracked != null) ? tracked.registration : newer.orElse(null);
		this.evidence.recordAccepted(registration, former, nowMillis);
		this.unlisted.remove(registration.id());
		if (tracked == null || tracked.registration.leaving() != registration.leaving()
				|| tracked.retainedSinceMillis > 0 || tracked.registration.bornMillis() != registration.bornMillis()) {
			LogEvent.TARGET_UPDATED.log(logger, registration.id(), registration.service(), registration.address(),
					registration.dataCentre(), registration.leaving(), registration.coldMillis());
		}
		this.targets.put(registration.id(),
				new TrackedRegistration(registration, nowMillis + registration.coldMillis(), 0, nowMillis));
	}

	private boolean isOfRunningIncarnation(TargetRegistration registration, TargetRegistration newer) {
		return registration.bornMillis() != newer.bornMillis()
				&& this.evidence.isRunning(registration, this.clock.millis());
	}

	/**
	 * Finds the registration that makes another one stale. One that cannot be that late
	 * is not stale: the one that is held was none of the target's own, and its own would
	 * be ignored for good.
	 * @param registration registration that came later
	 * @return the newer one, or empty if the registration is not stale
	 */
	private Optional<TargetRegistration> findNewer(TargetRegistration registration) {
		long nowMillis = this.clock.millis();
		TrackedRegistration tracked = this.targets.get(registration.id());
		if (tracked != null && nowMillis - tracked.updatedMillis <= MAX_LATE_MILLIS
				&& (isReplaced(registration, tracked.registration) || (!registration.replaces(tracked.registration)
						&& !isFarBehind(registration, tracked.registration)))) {
			return Optional.of(tracked.registration);
		}
		return this.unlisted.getOrDefault(registration.id(), Optional.empty())
			.filter((removal) -> nowMillis - removal.atMillis() <= MAX_LATE_MILLIS
					&& (isReplaced(registration, removal.last())
							|| (!registration.isAfter(removal.last()) && !isFarBehind(registration, removal.last()))))
			.map(Removal::last);
	}

	private boolean isReplaced(TargetRegistration registration, TargetRegistration held) {
		return registration.bornMillis() != held.bornMillis()
				&& this.evidence.isReplaced(registration, this.clock.millis());
	}

	private static boolean isFarBehind(TargetRegistration registration, TargetRegistration held) {
		return registration.bornMillis() == held.bornMillis()
				&& held.sequence() - registration.sequence() > MAX_LATE_SEQUENCES;
	}

	/**
	 * Records that a target is no longer listed.
	 * @param id id of the target; may be unknown
	 */
	public void markUnlisted(String id) {
		TrackedRegistration tracked = this.targets.get(id);
		Optional<Removal> removal = Optional.ofNullable(tracked)
			.map((known) -> new Removal(known.registration, this.clock.millis()));
		this.unlisted.merge(id, removal, (former, latest) -> latest.or(() -> former));
		if (tracked != null && tracked.retainedSinceMillis == 0) {
			LogEvent.TARGET_UNLISTED.log(logger, id, tracked.registration.leaving());
			this.targets.put(id, new TrackedRegistration(tracked.registration, tracked.coldUntilMillis,
					this.clock.millis(), tracked.updatedMillis));
		}
	}

	/**
	 * Updates a target from the report of its sidecar, for use while the list cannot be
	 * read. The report is valid for {@link #SIDECAR_REPORT_RETENTION_MILLIS}, and only if
	 * the target was never listed.
	 * @param registration registration built from the report
	 */
	public void updateFromSidecar(TargetRegistration registration) {
		if (this.targets.containsKey(registration.id()) || this.unlisted.containsKey(registration.id())) {
			return;
		}
		if (!this.sidecarReports.containsKey(registration.id())) {
			LogEvent.TARGET_REPORTED.log(logger, registration.id(), registration.service(), registration.address(),
					registration.dataCentre());
		}
		this.sidecarReports.put(registration.id(), new TrackedRegistration(registration,
				this.clock.millis() + registration.coldMillis(), this.clock.millis(), this.clock.millis()));
	}

	/**
	 * Sets the data centres that are taken out of service.
	 * @param names their names; replaces the previous ones
	 */
	public void updateDataCentresOut(Set<String> names) {
		if (!names.equals(this.dataCentresOut)) {
			LogEvent.DATA_CENTRES_OUT.log(logger, names);
			this.dataCentresOut = Set.copyOf(names);
		}
	}

	/**
	 * Returns the usable targets.
	 * @param listCurrent whether the list is current and therefore complete; if not,
	 * targets known only from their sidecars are included
	 * @return the targets, in no particular order
	 */
	public List<Target> targets(boolean listCurrent) {
		long nowMillis = this.clock.millis();
		this.targets.values()
			.removeIf((tracked) -> tracked.retainedSinceMillis > 0
					&& nowMillis - tracked.retainedSinceMillis > this.unlistedRetentionMillis);
		this.sidecarReports.values()
			.removeIf((tracked) -> nowMillis - tracked.retainedSinceMillis > SIDECAR_REPORT_RETENTION_MILLIS
					|| this.targets.containsKey(tracked.registration.id())
					|| this.unlisted.containsKey(tracked.registration.id()));
		List<Target> all = new ArrayList<>();
		this.targets.values().forEach((tracked) -> all.add(target(tracked, tracked.retainedSinceMillis == 0)));
		if (!listCurrent) {
			this.sidecarReports.values().forEach((tracked) -> all.add(target(tracked, true)));
		}
		return all;
	}

	private Target target(TrackedRegistration tracked, boolean listed) {
		return new Target(tracked.registration, tracked.coldUntilMillis, listed,
				this.dataCentresOut.contains(tracked.registration.dataCentre()));
	}

	/**
	 * Last registration of a target. Immutable.
	 *
	 * @param registration the registration
	 * @param coldUntilMillis until when the target is cold, in milliseconds
	 * @param retainedSinceMillis start of its retention time, in milliseconds: when it
	 * was removed from the list or, if it is known only from its sidecar, last reported;
	 * 0 if it is listed
	 * @param updatedMillis when the registration came, in milliseconds
	 */
	private record TrackedRegistration(TargetRegistration registration, long coldUntilMillis, long retainedSinceMillis,
			long updatedMillis) {
	}

	/**
	 * Removal of a target from the list. Immutable.
	 *
	 * @param last its last registration
	 * @param atMillis time of the removal, in milliseconds
	 */
	private record Removal(TargetRegistration last, long atMillis) {
	}

}
