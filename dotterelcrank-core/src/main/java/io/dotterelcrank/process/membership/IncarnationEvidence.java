package io.dotterelcrank.process.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides whether a target runs in the incarnation of a registration although another one
 * has a later start time. Start times come from the targets' clocks, which may jump: an
 * incarnation that started while the clock was ahead seems later than the next one. The
 * list's order does not tell either, as it may execute a write seconds after it was sent.
 * What a write that is late cannot do is to go on: only a running target registers again
 * with a larger sequence number after a while. Invariant: an incarnation that was
 * replaced by one with an earlier start time needs the same evidence to come back. Not
 * thread-safe.
 */
final class IncarnationEvidence {

	/**
	 * Time between two registrations from which on the second is no late write of the
	 * same moment, in milliseconds; less than the time between two heartbeats.
	 */
	static final long MIN_INTERVAL_MILLIS = 500;

	/** Number of targets whose evidence is kept; beyond that, the oldest is dropped. */
	private static final int MAX_TARGETS = 1_000;

	/** Incarnations that seem to be earlier ones, by target id. */
	private final Map<String, Candidate> candidates = boundedMap();

	/** Incarnations with a later start time that were replaced, by target id. */
	private final Map<String, Replaced> replaced = boundedMap();

	private static <V> Map<String, V> boundedMap() {
		return new LinkedHashMap<>() {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
				return size() > MAX_TARGETS;
			}

		};
	}

	/**
	 * Records a registration that seems to be stale.
	 * @param registration the registration
	 * @param nowMillis time by the clock of the process, in milliseconds
	 * @return whether its target runs in this incarnation
	 */
	boolean isRunning(TargetRegistration registration, long nowMillis) {
		Candidate candidate = this.candidates.get(registration.id());
		if (candidate == null || candidate.bornMillis() != registration.bornMillis()) {
			this.candidates.put(registration.id(),
					new Candidate(registration.bornMillis(), registration.sequence(), nowMillis));
			return false;
		}
		return registration.sequence() > candidate.sequence()
				&& nowMillis - candidate.sinceMillis() >= MIN_INTERVAL_MILLIS;
	}

	/**
	 * Returns whether an incarnation has been replaced by one with an earlier start time.
	 * @param registration registration of the incarnation
	 * @param nowMillis time by the clock of the process, in milliseconds
	 * @return {@code false} if it was replaced too long ago for a late write
	 */
	boolean isReplaced(TargetRegistration registration, long nowMillis) {
		Replaced former = this.replaced.get(registration.id());
		return former != null && former.bornMillis() == registration.bornMillis()
				&& nowMillis - former.atMillis() <= TargetRegistry.MAX_LATE_MILLIS;
	}

	/**
	 * Records that a registration is in force.
	 * @param registration the registration
	 * @param former the one that it replaces; {@code null} if there is none
	 * @param nowMillis time by the clock of the process, in milliseconds
	 */
	void recordAccepted(TargetRegistration registration, TargetRegistration former, long nowMillis) {
		this.candidates.remove(registration.id());
		if (former != null && former.bornMillis() > registration.bornMillis()) {
			this.replaced.put(registration.id(), new Replaced(former.bornMillis(), nowMillis));
		}
	}

	/**
	 * First registration of an incarnation that seems to be stale. Immutable.
	 *
	 * @param bornMillis start time of the incarnation, in milliseconds
	 * @param sequence its sequence number
	 * @param sinceMillis when it came, in milliseconds
	 */
	private record Candidate(long bornMillis, long sequence, long sinceMillis) {
	}

	/**
	 * Incarnation that was replaced. Immutable.
	 *
	 * @param bornMillis its start time, in milliseconds
	 * @param atMillis when it was replaced, in milliseconds
	 */
	private record Replaced(long bornMillis, long atMillis) {
	}

}
