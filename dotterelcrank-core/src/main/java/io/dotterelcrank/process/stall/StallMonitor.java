package io.dotterelcrank.process.stall;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.dotterelcrank.common.Clock;

/**
 * Measures how long an engine has started none of the requests that it holds. Addresses
 * two load patterns: a queue that is held up by its first request, such as a prompt for
 * which the memory is lacking, while the streams beside it go on; and an engine that has
 * gone silent with a queue. In both, the queue looks short and stays so, and draws more
 * requests. Invariants: an engine that reports and holds no unread prompt is not stalled;
 * a stall ends with the first sign of progress or a restart. Not thread-safe.
 */
public final class StallMonitor {

	/** Prompt tokens prefilled per second, assumed before the first observation. */
	static final double INITIAL_TOKENS_PER_SECOND = 7_000;

	/**
	 * Min time without progress that counts as a stall, in milliseconds; several reports
	 * are read within it.
	 */
	static final long MIN_STALL_MILLIS = 250;

	/** Weight of a new observation. */
	private static final double EWMA_WEIGHT = 0.05;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Clock clock;

	private double tokensPerSecond = INITIAL_TOKENS_PER_SECOND;

	/** {@code null} before the first report. */
	private Observation last;

	/** When the last report was read. */
	private long reportedMillis;

	/** When the engine last made progress, or held no unread prompt. */
	private long progressMillis;

	private StallMonitor(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Creates a monitor of an engine that has not reported yet.
	 * @param clock clock of the process
	 * @return a monitor without a stall
	 */
	public static StallMonitor of(Clock clock) {
		return new StallMonitor(clock);
	}

	/**
	 * Updates the monitor from a report of the engine.
	 * @param observation what the engine reports
	 */
	public void update(Observation observation) {
		this.reportedMillis = this.clock.millis();
		if (this.last == null || !this.last.holdsUnreadPrompts() || observation.progressedSince(this.last)) {
			this.progressMillis = this.reportedMillis;
		}
		this.last = observation;
	}

	/**
	 * Records prompts that were prefilled.
	 * @param tokens prompt tokens
	 * @param millis time since the engine began with them, in milliseconds
	 */
	public void recordPrefill(long tokens, long millis) {
		if (tokens > 0 && millis > 0) {
			this.tokensPerSecond += EWMA_WEIGHT * (tokens * MILLIS_PER_SECOND / millis - this.tokensPerSecond);
		}
	}

	/**
	 * Returns how long the engine has been stalled. The time that it usually takes to
	 * prefill its largest unread prompt is no stall.
	 * @param largestPromptTokens length of the largest prompt that may be unread
	 * @return time in milliseconds; 0 if the engine is not stalled
	 */
	public long stalledMillis(long largestPromptTokens) {
		if (this.last == null) {
			return 0;
		}
		boolean pending = this.last.holdsUnreadPrompts();
		long usualMillis = pending ? Math.round(MILLIS_PER_SECOND * largestPromptTokens / this.tokensPerSecond) : 0;
		long elapsedMillis = this.clock.millis() - (pending ? this.progressMillis : this.reportedMillis);
		return Math.max(0, elapsedMillis - Math.max(MIN_STALL_MILLIS, usualMillis));
	}

	/**
	 * Returns the prompt tokens that the engine would have prefilled during the stall. As
	 * the end of a stall cannot be foreseen, it is expected to last as long again, so
	 * that a request sent now would wait behind that many more tokens.
	 * @param largestPromptTokens length of the largest prompt that may be unread
	 * @return number of tokens; 0 if the engine is not stalled
	 */
	public long stalledTokens(long largestPromptTokens) {
		return Math.round(stalledMillis(largestPromptTokens) * this.tokensPerSecond / MILLIS_PER_SECOND);
	}

	/**
	 * Unread prompts of an engine by one of its reports. Immutable.
	 *
	 * @param bornMillis start time of the engine
	 * @param waiting number of requests that wait for their prefill to begin
	 * @param prefilledTokens tokens in memory of each request whose prefill has begun
	 * @param startedIds ids of the requests that have produced an event
	 */
	public record Observation(long bornMillis, int waiting, Map<String, Long> prefilledTokens, Set<String> startedIds) {

		boolean holdsUnreadPrompts() {
			return this.waiting > 0 || !this.prefilledTokens.isEmpty();
		}

		/**
		 * Returns whether the engine has begun, continued or completed a prefill, or
		 * holds no unread prompt.
		 * @param earlier observation before this one
		 * @return {@code true} after a restart too
		 */
		boolean progressedSince(Observation earlier) {
			if (this.bornMillis != earlier.bornMillis || !holdsUnreadPrompts()) {
				return true;
			}
			Set<String> begun = new HashSet<>(this.startedIds);
			begun.addAll(this.prefilledTokens.keySet());
			begun.removeAll(earlier.prefilledTokens.keySet());
			begun.removeAll(earlier.startedIds);
			Set<String> completed = new HashSet<>(this.startedIds);
			completed.retainAll(earlier.prefilledTokens.keySet());
			return !begun.isEmpty() || !completed.isEmpty() || continuedSince(earlier);
		}

		private boolean continuedSince(Observation earlier) {
			Map<String, Long> before = new HashMap<>(earlier.prefilledTokens);
			return this.prefilledTokens.entrySet()
				.stream()
				.anyMatch((prefill) -> prefill.getValue() > before.getOrDefault(prefill.getKey(), 0L));
		}

	}

}
