package io.dotterelcrank.process.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;

/**
 * Folds targets' reports into the set of targets to use. Answers two load patterns: a
 * store that lapses all entries in an outage, after which every target is missing for a
 * moment, and one that repeats old reports. Invariant: reports of one target only
 * advance, and a target that has been missing for {@link #LAPSED_MILLIS} is gone. Not
 * thread-safe.
 */
public final class TargetRegistry {

	/**
	 * How long a missing target stays a last resort, in milliseconds; entries that lapse
	 * in an outage return within 2 s of its end, and new work must stop 2 s after a
	 * planned removal.
	 */
	static final long LAPSED_MILLIS = 1_200;

	/**
	 * How long a sidecar's word for its target counts, in milliseconds; sidecars tell
	 * their load at least once a second.
	 */
	static final long TOLD_MILLIS = 2_500;

	/** Ids of gone targets remembered, oldest forgotten first. */
	private static final int MAX_GONE = 1_000;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(TargetRegistry.class);

	/** Clock of the process. */
	private final Clock clock;

	/** Targets by id. */
	private final Map<String, Held> targets = new HashMap<>();

	/** Targets that only their sidecar names, by id; lapsed when they were last told. */
	private final Map<String, Held> updateFromSidecar = new HashMap<>();

	/** Ids of targets that the list has named and then lacked. */
	private final Set<String> gone = Collections.newSetFromMap(new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > MAX_GONE;
		}

	});

	/** Data centres taken out. */
	private Set<String> dataCentresOut = Set.of();

	private TargetRegistry(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Creates an empty registry.
	 * @param clock clock of the process
	 * @return a new registry
	 */
	public static TargetRegistry of(Clock clock) {
		return new TargetRegistry(clock);
	}

	/**
	 * Takes a report in.
	 * @param entry the report
	 */
	public void update(TargetRegistration entry) {
		Held held = this.targets.get(entry.id());
		if (held != null && !entry.replaces(held.entry)) {
			LogEvent.TARGET_REPORT_STALE.log(logger, entry.id(), entry.bornMillis(), entry.sequence(),
					held.entry.sequence());
			return;
		}
		this.gone.remove(entry.id());
		long nowMillis = this.clock.millis();
		if (held == null || held.entry.leaving() != entry.leaving() || held.lapsedAtMillis > 0
				|| held.entry.bornMillis() != entry.bornMillis()) {
			LogEvent.TARGET_UPDATED.log(logger, entry.id(), entry.service(), entry.address(), entry.dataCentre(),
					entry.leaving(), entry.coldMillis());
		}
		this.targets.put(entry.id(), new Held(entry, nowMillis + entry.coldMillis(), 0));
	}

	/**
	 * Takes in that a target is no longer listed.
	 * @param id id of the target
	 */
	public void markUnlisted(String id) {
		Held held = this.targets.get(id);
		this.gone.add(id);
		if (held != null && held.lapsedAtMillis == 0) {
			LogEvent.TARGET_UNLISTED.log(logger, id, held.entry.leaving());
			this.targets.put(id, new Held(held.entry, held.coldUntilMillis, this.clock.millis()));
		}
	}

	/**
	 * Takes in a target that the sidecar beside it names, while the list cannot be read.
	 * It counts for {@link #TOLD_MILLIS}, and only if the list never named it.
	 * @param entry what the sidecar says of it
	 */
	public void updateFromSidecar(TargetRegistration entry) {
		if (this.targets.containsKey(entry.id()) || this.gone.contains(entry.id())) {
			return;
		}
		if (!this.updateFromSidecar.containsKey(entry.id())) {
			LogEvent.TARGET_REPORTED.log(logger, entry.id(), entry.service(), entry.address(), entry.dataCentre());
		}
		this.updateFromSidecar.put(entry.id(),
				new Held(entry, this.clock.millis() + entry.coldMillis(), this.clock.millis()));
	}

	/**
	 * Sets the data centres that are taken out.
	 * @param names their names
	 */
	public void dataCentresOut(Set<String> names) {
		if (!names.equals(this.dataCentresOut)) {
			LogEvent.DATA_CENTRES_OUT.log(logger, names);
			this.dataCentresOut = Set.copyOf(names);
		}
	}

	/**
	 * Returns the targets to use.
	 * @param listCurrent whether the list was read just now, so that it lacks no target
	 * @return the targets, without those that are gone
	 */
	public List<Target> targets(boolean listCurrent) {
		long nowMillis = this.clock.millis();
		this.targets.values()
			.removeIf((held) -> held.lapsedAtMillis > 0 && nowMillis - held.lapsedAtMillis > LAPSED_MILLIS);
		this.updateFromSidecar.values()
			.removeIf((held) -> nowMillis - held.lapsedAtMillis > TOLD_MILLIS
					|| this.targets.containsKey(held.entry.id()) || this.gone.contains(held.entry.id()));
		List<Target> all = new ArrayList<>();
		this.targets.values().forEach((held) -> all.add(target(held, held.lapsedAtMillis == 0)));
		if (!listCurrent) {
			this.updateFromSidecar.values().forEach((held) -> all.add(target(held, true)));
		}
		return all;
	}

	private Target target(Held held, boolean listed) {
		return new Target(held.entry, held.coldUntilMillis, listed,
				this.dataCentresOut.contains(held.entry.dataCentre()));
	}

	/**
	 * A target's last report. Immutable.
	 *
	 * @param entry the report
	 * @param coldUntilMillis until when the target is cold, in milliseconds
	 * @param lapsedAtMillis when it went missing, in milliseconds; 0 if it is listed
	 */
	private record Held(TargetRegistration entry, long coldUntilMillis, long lapsedAtMillis) {
	}

}
