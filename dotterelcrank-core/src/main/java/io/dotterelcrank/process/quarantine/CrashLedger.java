package io.dotterelcrank.process.quarantine;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.CrashReport;
import io.dotterelcrank.connection.CrashSuspect;

/**
 * The losses of targets that are known to this host, and the content that went well.
 * Addresses the load pattern of losses that are seen by many hosts, each of which knows
 * only its own requests. Invariants: merging reports in any order, any number of times,
 * gives the same content; size and age are bounded. Confined to the traffic thread.
 */
final class CrashLedger {

	/** Number of targets; beyond that, the one whose loss was added first is dropped. */
	static final int MAX_CRASHES = 128;

	/** Number of suspects of a target; more are ignored. */
	static final int MAX_SUSPECTS = 32;

	/** Number of keys that went well; the one used least recently is dropped. */
	static final int MAX_SUCCESSES = 8_192;

	/** Time for which a loss is kept, in milliseconds. */
	static final long RETENTION_MILLIS = 300_000;

	/**
	 * Time within which hosts see the loss of one target, in milliseconds. A loss that is
	 * seen later is another one, since the former was not the end of the target.
	 */
	static final long SAME_LOSS_MILLIS = 2_000;

	/**
	 * Time after a loss within which a target that responds is still the one that was
	 * lost, in milliseconds; restarts take longer.
	 */
	static final long RESTART_MILLIS = 1_000;

	private final Clock clock;

	/** By incarnation of the target, oldest first. */
	private final Map<String, Crash> crashes = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Crash> eldest) {
			return size() > MAX_CRASHES;
		}

	};

	/** When a request with a fingerprint or a part last went well. */
	private final Map<String, Long> successes = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_SUCCESSES;
		}

	};

	CrashLedger(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Merges a report.
	 * @param report report of this or another host
	 * @return whether it contains anything new
	 */
	boolean merge(CrashReport report) {
		long lostMillis = this.clock.millis() - Math.max(0, report.lostAgeMillis());
		Crash crash = this.crashes.get(report.target());
		boolean sameLoss = crash != null && crash.isSameLoss(lostMillis, report);
		boolean outdated = lostMillis <= this.clock.millis() - RETENTION_MILLIS
				|| (crash != null && lostMillis < crash.lostMillis);
		if (outdated && !sameLoss) {
			return false;
		}
		if (!sameLoss) {
			crash = new Crash(lostMillis);
			this.crashes.put(report.target(), crash);
		}
		crash.lostMillis = Math.min(crash.lostMillis, lostMillis);
		boolean changed = crash.mergeSuspects(report.suspects());
		if (report.aliveAgeMillis() >= 0) {
			changed |= crash.mergeAlive(this.clock.millis() - report.aliveAgeMillis());
		}
		return !sameLoss || changed;
	}

	/**
	 * Records that a target has responded.
	 * @param target incarnation of the target
	 * @param sentMillis when the request was sent
	 * @return whether this refutes its loss
	 */
	boolean recordAlive(String target, long sentMillis) {
		Crash crash = this.crashes.get(target);
		return crash != null && sentMillis <= crash.lostMillis + RESTART_MILLIS && crash.mergeAlive(sentMillis);
	}

	/**
	 * Records that a request went well.
	 * @param key its fingerprint, or a part of its prompt
	 * @param millis when it did
	 * @return when one last had before, if known
	 */
	OptionalLong recordSuccess(String key, long millis) {
		Long before = this.successes.get(key);
		if (before == null || before < millis) {
			this.successes.put(key, millis);
		}
		return (before != null) ? OptionalLong.of(before) : OptionalLong.empty();
	}

	OptionalLong lastSuccessMillis(String key) {
		Long millis = this.successes.get(key);
		return (millis != null) ? OptionalLong.of(millis) : OptionalLong.empty();
	}

	/**
	 * Drops the losses that are too old.
	 * @return whether there were any
	 */
	boolean removeExpired() {
		long sinceMillis = this.clock.millis() - RETENTION_MILLIS;
		return this.crashes.values().removeIf((crash) -> crash.lostMillis <= sinceMillis);
	}

	/**
	 * Returns the losses that count as crashes: those of targets that have not responded
	 * since.
	 * @return live view, oldest first
	 */
	Collection<Crash> crashes() {
		return this.crashes.values().stream().filter((crash) -> crash.aliveMillis < crash.lostMillis).toList();
	}

	/**
	 * Returns the targets whose loss is known.
	 * @return incarnations of targets, oldest first
	 */
	List<String> targets() {
		return List.copyOf(this.crashes.keySet());
	}

	/**
	 * Returns the report of a target, to be sent to other hosts.
	 * @param target incarnation of the target
	 * @return the report; ages are as of now
	 */
	CrashReport report(String target) {
		Crash crash = this.crashes.get(target);
		long nowMillis = this.clock.millis();
		return new CrashReport(target, nowMillis - crash.lostMillis,
				(crash.aliveMillis == Long.MIN_VALUE) ? -1 : Math.max(0, nowMillis - crash.aliveMillis),
				crash.suspects());
	}

	boolean contains(String target) {
		return this.crashes.containsKey(target);
	}

	/**
	 * The loss of one target. Confined to the traffic thread.
	 */
	static final class Crash {

		private long lostMillis;

		/** When a request was sent that the target responded to. */
		private long aliveMillis = Long.MIN_VALUE;

		/** By fingerprint. */
		private final Map<String, CrashSuspect> suspects = new LinkedHashMap<>();

		Crash(long lostMillis) {
			this.lostMillis = lostMillis;
		}

		long lostMillis() {
			return this.lostMillis;
		}

		List<CrashSuspect> suspects() {
			return List.copyOf(this.suspects.values());
		}

		/**
		 * Returns whether a report is about this loss.
		 * @param millis when the target was lost by the report, which is later than in
		 * truth if the message was delayed
		 * @param report the report
		 * @return {@code false} if the target responded in between, or if both came at
		 * different times and have no suspect in common
		 */
		private boolean isSameLoss(long millis, CrashReport report) {
			if (this.aliveMillis >= this.lostMillis) {
				return millis <= this.aliveMillis;
			}
			return Math.abs(millis - this.lostMillis) <= SAME_LOSS_MILLIS
					|| report.suspects().stream().map(CrashSuspect::fingerprint).anyMatch(this.suspects::containsKey);
		}

		private boolean mergeSuspects(List<CrashSuspect> reported) {
			boolean changed = false;
			for (CrashSuspect suspect : reported) {
				if (this.suspects.size() < MAX_SUSPECTS) {
					changed |= this.suspects.putIfAbsent(suspect.fingerprint(), suspect) == null;
				}
			}
			return changed;
		}

		private boolean mergeAlive(long millis) {
			boolean refutes = this.aliveMillis < this.lostMillis && millis >= this.lostMillis;
			this.aliveMillis = Math.max(this.aliveMillis, millis);
			return refutes;
		}

	}

}
