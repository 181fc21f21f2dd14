package io.dotterelcrank.process.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.dotterelcrank.connection.CrashSuspect;
import io.dotterelcrank.request.Content;

/**
 * Finds the content that crashes targets. Addresses the load pattern of requests that
 * come at any host, no two alike, and crash whatever serves them, beside sound requests
 * that share their callers and other parts, and beside targets lost for other reasons.
 * Each crash is attributed to one culprit, so that what was lost beside a culprit is not
 * blamed as well. Stateless.
 */
final class CulpritFinder {

	/** Number of targets that crash before content is blamed. */
	static final int CRASHES_TO_BLAME = 3;

	/**
	 * Number of targets that crash before a part is blamed that went well shortly before.
	 */
	static final int CRASHES_TO_BLAME_PROVEN_PART = 5;

	/**
	 * Time before the first crash within which content must have gone well to count as
	 * proven, in milliseconds.
	 */
	static final long PROVEN_MILLIS = 60_000;

	/**
	 * Min time between the first and the last crash before proven content is blamed, in
	 * milliseconds; hosts tell each other within half of it what goes well meanwhile.
	 */
	static final long PROVEN_SPAN_MILLIS = 2 * Quarantine.SHARE_AGAIN_MILLIS;

	/** Number of different requests with a part before it is blamed. */
	private static final int MIN_REQUESTS = 2;

	private static final Comparator<Candidate> MOST_LIKELY_FIRST = Comparator
		.comparing((Candidate candidate) -> candidate.proven)
		.thenComparing((candidate) -> -candidate.crashes.size())
		.thenComparing((candidate) -> !candidate.wholeRequest())
		.thenComparing((candidate) -> -candidate.commonParts.size())
		.thenComparing((candidate) -> candidate.key);

	private CulpritFinder() {
	}

	/**
	 * Finds the culprits.
	 * @param crashes crashes of targets, with the requests that were starting there
	 * @param lastSuccess when a request with a fingerprint or part last went well, if
	 * known
	 * @return the culprits, the most likely one first
	 */
	static List<Culprit> find(Collection<CrashLedger.Crash> crashes, Function<String, OptionalLong> lastSuccess) {
		List<CrashLedger.Crash> unexplained = new ArrayList<>(crashes);
		List<Culprit> culprits = new ArrayList<>();
		Optional<Culprit> next = findNext(unexplained, lastSuccess);
		while (next.isPresent()) {
			Culprit culprit = next.get();
			culprits.add(culprit);
			unexplained.removeIf((crash) -> crash.suspects().stream().anyMatch(culprit::matches));
			next = findNext(unexplained, lastSuccess);
		}
		return culprits;
	}

	private static Optional<Culprit> findNext(List<CrashLedger.Crash> unexplained,
			Function<String, OptionalLong> lastSuccess) {
		Map<String, List<CrashLedger.Crash>> crashesByKey = new LinkedHashMap<>();
		for (CrashLedger.Crash crash : unexplained) {
			crash.suspects()
				.stream()
				.flatMap(Content::keys)
				.distinct()
				.filter((key) -> lastSuccess.apply(key).orElse(Long.MIN_VALUE) < crash.lostMillis())
				.forEach((key) -> crashesByKey.computeIfAbsent(key, (added) -> new ArrayList<>()).add(crash));
		}
		return crashesByKey.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().size() >= CRASHES_TO_BLAME)
			.map((entry) -> Candidate.of(entry.getKey(), entry.getValue(), lastSuccess.apply(entry.getKey())))
			.filter(Candidate::blamed)
			.min(MOST_LIKELY_FIRST)
			.map(Candidate::toCulprit);
	}

	/**
	 * A request or a prompt part that was at several crashes. Immutable.
	 *
	 * @param key fingerprint of the request, or id of the part
	 * @param crashes crashes since a request with the key last went well
	 * @param fingerprints fingerprints of the requests with the key at these crashes
	 * @param commonParts parts that all these requests have
	 * @param proven whether a request with the key went well shortly before
	 */
	private record Candidate(String key, List<CrashLedger.Crash> crashes, Set<String> fingerprints,
			Set<String> commonParts, boolean proven) {

		static Candidate of(String key, List<CrashLedger.Crash> crashes, OptionalLong lastSuccess) {
			List<CrashSuspect> suspects = crashes.stream()
				.flatMap((crash) -> crash.suspects().stream())
				.filter((suspect) -> suspect.keys().anyMatch(key::equals))
				.toList();
			Set<String> common = new HashSet<>(suspects.get(0).sharedParts());
			suspects.forEach((suspect) -> common.retainAll(suspect.sharedParts()));
			long firstMillis = crashes.stream().mapToLong(CrashLedger.Crash::lostMillis).min().orElseThrow();
			return new Candidate(key, crashes,
					suspects.stream().map(CrashSuspect::fingerprint).collect(Collectors.toUnmodifiableSet()),
					Set.copyOf(common), lastSuccess.orElse(Long.MIN_VALUE) > firstMillis - PROVEN_MILLIS);
		}

		boolean wholeRequest() {
			return this.fingerprints.contains(this.key);
		}

		boolean blamed() {
			if (this.proven && spanMillis() < PROVEN_SPAN_MILLIS) {
				return false;
			}
			return wholeRequest() || (this.fingerprints.size() >= MIN_REQUESTS
					&& this.crashes.size() >= (this.proven ? CRASHES_TO_BLAME_PROVEN_PART : CRASHES_TO_BLAME));
		}

		private long spanMillis() {
			LongSummaryStatistics lost = this.crashes.stream()
				.mapToLong(CrashLedger.Crash::lostMillis)
				.summaryStatistics();
			return lost.getMax() - lost.getMin();
		}

		Culprit toCulprit() {
			long lastMillis = this.crashes.stream().mapToLong(CrashLedger.Crash::lostMillis).max().orElseThrow();
			return wholeRequest() ? new Culprit.ForRequest(this.key, this.crashes.size(), lastMillis)
					: new Culprit.ForParts(this.commonParts, this.crashes.size(), lastMillis);
		}

	}

}
