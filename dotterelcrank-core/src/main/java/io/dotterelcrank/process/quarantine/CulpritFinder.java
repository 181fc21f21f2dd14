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
	 * Number of targets that crash before content is blamed that went well shortly
	 * before.
	 */
	static final int CRASHES_TO_BLAME_PROVEN = 5;

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

	/** Number of different requests with a part that is blamed. */
	private static final int MIN_REQUESTS = 2;

	private static final Comparator<Candidate> MOST_LIKELY_FIRST = Comparator
		.comparing((Candidate candidate) -> candidate.proven)
		.thenComparing((candidate) -> -candidate.crashes.size())
		.thenComparing((candidate) -> -candidate.commonParts.size())
		.thenComparing((candidate) -> candidate.part);

	private CulpritFinder() {
	}

	/**
	 * Finds the culprits.
	 * @param crashes crashes of targets, with the requests that were starting there
	 * @param lastSuccess when a request with a part last went well, if known
	 * @return the culprits, the most likely one first
	 */
	static List<Culprit> find(Collection<CrashLedger.Crash> crashes, Function<String, OptionalLong> lastSuccess) {
		List<CrashLedger.Crash> unexplained = new ArrayList<>(crashes);
		List<Culprit> culprits = new ArrayList<>();
		Optional<Culprit> next = findNext(unexplained, lastSuccess);
		while (next.isPresent()) {
			Culprit culprit = next.get();
			culprits.add(culprit);
			unexplained
				.removeIf((crash) -> crash.suspects().stream().anyMatch((suspect) -> culprit.matches(suspect.parts())));
			next = findNext(unexplained, lastSuccess);
		}
		return culprits;
	}

	private static Optional<Culprit> findNext(List<CrashLedger.Crash> unexplained,
			Function<String, OptionalLong> lastSuccess) {
		Map<String, List<CrashLedger.Crash>> crashesByPart = new LinkedHashMap<>();
		for (CrashLedger.Crash crash : unexplained) {
			crash.suspects()
				.stream()
				.flatMap((suspect) -> suspect.parts().stream())
				.distinct()
				.filter((part) -> lastSuccess.apply(part).orElse(Long.MIN_VALUE) < crash.lostMillis())
				.forEach((part) -> crashesByPart.computeIfAbsent(part, (key) -> new ArrayList<>()).add(crash));
		}
		return crashesByPart.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().size() >= CRASHES_TO_BLAME)
			.map((entry) -> Candidate.of(entry.getKey(), entry.getValue(), lastSuccess.apply(entry.getKey())))
			.filter(Candidate::blamed)
			.min(MOST_LIKELY_FIRST)
			.map(Candidate::toCulprit);
	}

	/**
	 * A part that was in the prompts of requests at several crashes. Immutable.
	 *
	 * @param part id of the part
	 * @param crashes crashes since a request with the part last went well
	 * @param requests requests with the part at these crashes
	 * @param commonParts parts that all these requests have
	 * @param proven whether a request with the part went well shortly before
	 */
	private record Candidate(String part, List<CrashLedger.Crash> crashes, Set<String> requests,
			Set<String> commonParts, boolean proven) {

		static Candidate of(String part, List<CrashLedger.Crash> crashes, OptionalLong lastSuccess) {
			List<CrashSuspect> suspects = crashes.stream()
				.flatMap((crash) -> crash.suspects().stream())
				.filter((suspect) -> suspect.parts().contains(part))
				.toList();
			Set<String> common = new HashSet<>(suspects.get(0).parts());
			suspects.forEach((suspect) -> common.retainAll(suspect.parts()));
			long firstMillis = crashes.stream().mapToLong(CrashLedger.Crash::lostMillis).min().orElseThrow();
			return new Candidate(part, crashes,
					suspects.stream().map(CrashSuspect::request).collect(Collectors.toUnmodifiableSet()),
					Set.copyOf(common), lastSuccess.orElse(Long.MIN_VALUE) > firstMillis - PROVEN_MILLIS);
		}

		boolean blamed() {
			if (this.requests.size() < MIN_REQUESTS) {
				return false;
			}
			return this.proven ? this.crashes.size() >= CRASHES_TO_BLAME_PROVEN && spanMillis() >= PROVEN_SPAN_MILLIS
					: this.crashes.size() >= CRASHES_TO_BLAME;
		}

		private long spanMillis() {
			LongSummaryStatistics lost = this.crashes.stream()
				.mapToLong(CrashLedger.Crash::lostMillis)
				.summaryStatistics();
			return lost.getMax() - lost.getMin();
		}

		Culprit toCulprit() {
			return new Culprit(this.commonParts, this.crashes.size(),
					this.crashes.stream().mapToLong(CrashLedger.Crash::lostMillis).max().orElseThrow());
		}

	}

}
