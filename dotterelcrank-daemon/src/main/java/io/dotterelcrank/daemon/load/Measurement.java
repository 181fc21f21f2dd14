package io.dotterelcrank.daemon.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * Collects what callers see. docs/MEASURES.md defines each figure. Not thread-safe.
 */
public final class Measurement {

	/** Time until the first token that counts as prompt, in milliseconds. */
	static final long FIRST_TOKEN_TARGET_MILLIS = 580;

	/** Time between tokens that counts as prompt, in milliseconds. */
	static final long TOKEN_TARGET_MILLIS = 49;

	/** Time between tokens above which a caller is stalled, in milliseconds. */
	static final long STALL_MILLIS = 200;

	/** Length of the parts into which service over time is cut, in milliseconds. */
	static final long WINDOW_MILLIS = 5_000;

	/** Part of a generation's tokens that must be prompt. */
	private static final double PROMPT_PART = 0.95;

	/** Largest time recorded, in milliseconds. */
	private static final long LONGEST_MILLIS = 3_600_000;

	/** Significant digits of the histograms. */
	private static final int DIGITS = 3;

	/** Milliseconds in a second. */
	private static final double MILLIS_PER_SECOND = 1_000;

	/** Tokens by which stall time is divided. */
	private static final double THOUSAND_TOKENS = 1_000;

	/** Percentile that most targets are about. */
	private static final double P95 = 95;

	/** Percentile of the tail. */
	private static final double P99 = 99;

	/** When counting begins, in milliseconds. */
	private final long fromMillis;

	/** When counting ends, in milliseconds. */
	private final long untilMillis;

	/** Times until the first token, in milliseconds. */
	private final Histogram firstToken = new Histogram(LONGEST_MILLIS, DIGITS);

	/** Times between tokens, in milliseconds. */
	private final Histogram betweenTokens = new Histogram(LONGEST_MILLIS, DIGITS);

	/** Times between tokens by workspace, in milliseconds. */
	private final Map<String, Histogram> byWorkspace = new HashMap<>();

	/** Tokens received in each window. */
	private final List<Long> windows = new ArrayList<>();

	/** Tokens received. */
	private long tokens;

	/** Tokens of generations that were prompt and complete. */
	private long goodTokens;

	/** Time above the stall bound, in milliseconds. */
	private long stallMillis;

	/** Requests that arrived. */
	private long requests;

	/** Requests answered whole. */
	private long complete;

	/** Requests refused as not run. */
	private long refused;

	/** Requests that failed otherwise. */
	private long failed;

	private Measurement(long fromMillis, long untilMillis) {
		this.fromMillis = fromMillis;
		this.untilMillis = untilMillis;
	}

	/**
	 * Creates a measurement.
	 * @param fromMillis when counting begins, in milliseconds
	 * @param untilMillis when counting ends, in milliseconds
	 * @return an empty measurement
	 */
	public static Measurement between(long fromMillis, long untilMillis) {
		return new Measurement(fromMillis, untilMillis);
	}

	private boolean counts(long millis) {
		return millis >= this.fromMillis && millis < this.untilMillis;
	}

	/**
	 * Takes in a request's history.
	 * @param history what its caller saw
	 */
	public void add(History history) {
		if (!counts(history.sentMillis())) {
			addTokens(history);
			return;
		}
		this.requests++;
		long promptGaps = addTokens(history);
		boolean whole = history.end() == End.COMPLETE;
		this.complete += whole ? 1 : 0;
		this.refused += (history.end() == End.REFUSED) ? 1 : 0;
		this.failed += (history.end() == End.FAILED) ? 1 : 0;
		if (history.tokenMillis().isEmpty()) {
			return;
		}
		long firstMillis = history.tokenMillis().get(0) - history.sentMillis();
		this.firstToken.recordValue(Math.min(LONGEST_MILLIS, firstMillis));
		boolean prompt = firstMillis <= FIRST_TOKEN_TARGET_MILLIS
				&& promptGaps >= PROMPT_PART * (history.tokenMillis().size() - 1);
		this.goodTokens += (whole && prompt) ? history.tokenMillis().size() : 0;
	}

	private long addTokens(History history) {
		long promptGaps = 0;
		long before = -1;
		for (long millis : history.tokenMillis()) {
			if (counts(millis)) {
				this.tokens++;
				window((millis - this.fromMillis) / WINDOW_MILLIS);
			}
			if (before >= 0) {
				long gap = millis - before;
				promptGaps += (gap <= TOKEN_TARGET_MILLIS) ? 1 : 0;
				recordGap(history.workspace(), millis, gap);
			}
			before = millis;
		}
		return promptGaps;
	}

	private void recordGap(String workspace, long millis, long gap) {
		if (counts(millis)) {
			this.betweenTokens.recordValue(Math.min(LONGEST_MILLIS, gap));
			this.byWorkspace.computeIfAbsent(workspace, (name) -> new Histogram(LONGEST_MILLIS, DIGITS))
				.recordValue(Math.min(LONGEST_MILLIS, gap));
			this.stallMillis += Math.max(0, gap - STALL_MILLIS);
		}
	}

	private void window(long index) {
		while (this.windows.size() <= index) {
			this.windows.add(0L);
		}
		this.windows.set((int) index, this.windows.get((int) index) + 1);
	}

	/**
	 * Sums the measurement up.
	 * @param preemptions preemptions that the engines counted
	 * @param fallOvers times that a cold engine was given more than it bears
	 * @return the figures
	 */
	public Figures figures(long preemptions, long fallOvers) {
		double seconds = (this.untilMillis - this.fromMillis) / MILLIS_PER_SECOND;
		List<Double> service = this.windows.stream().map((count) -> count * MILLIS_PER_SECOND / WINDOW_MILLIS).toList();
		return new Figures(this.requests, this.complete, this.refused, this.failed, this.tokens / seconds,
				this.goodTokens / seconds, this.firstToken.getValueAtPercentile(P95),
				this.betweenTokens.getValueAtPercentile(50), this.betweenTokens.getValueAtPercentile(P95),
				this.betweenTokens.getValueAtPercentile(P99),
				this.stallMillis * THOUSAND_TOKENS / Math.max(1, this.tokens), preemptions, fallOvers, service);
	}

	/**
	 * Returns the tail of one workspace.
	 * @param workspace the workspace
	 * @return time between tokens at the 99th percentile, in milliseconds; 0 without
	 * tokens
	 */
	public long tail(String workspace) {
		Histogram histogram = this.byWorkspace.get(workspace);
		return (histogram != null) ? histogram.getValueAtPercentile(P99) : 0;
	}

	/**
	 * How a request ended.
	 */
	public enum End {

		/** The caller received the whole answer. */
		COMPLETE,

		/** The caller was told that nothing ran. */
		REFUSED,

		/** The request failed otherwise. */
		FAILED,

		/** The request had not ended when the run did. */
		OPEN

	}

	/**
	 * What a caller saw of one request. The list is not modified after construction.
	 *
	 * @param workspace workspace of the caller
	 * @param sentMillis when the request was meant to be sent, in milliseconds
	 * @param tokenMillis when each token arrived, in milliseconds
	 * @param end how the request ended
	 */
	public record History(String workspace, long sentMillis, List<Long> tokenMillis, End end) {
	}

	/**
	 * Figures of a run. Immutable.
	 *
	 * @param requests requests that arrived
	 * @param complete requests answered whole
	 * @param refused requests refused as not run
	 * @param failed requests that failed otherwise
	 * @param tokensPerSecond tokens received, per second
	 * @param goodput tokens of prompt and complete generations, per second
	 * @param firstTokenP95 time until the first token for 95 in 100, in milliseconds
	 * @param betweenP50 time between tokens for 50 in 100, in milliseconds
	 * @param betweenP95 time between tokens for 95 in 100, in milliseconds
	 * @param betweenP99 time between tokens for 99 in 100, in milliseconds
	 * @param stallPerThousand stall time for each 1,000 tokens, in milliseconds
	 * @param preemptions preemptions at the engines
	 * @param fallOvers times that a cold engine was given more than it bears
	 * @param service tokens per second in each window
	 */
	public record Figures(long requests, long complete, long refused, long failed, double tokensPerSecond,
			double goodput, long firstTokenP95, long betweenP50, long betweenP95, long betweenP99,
			double stallPerThousand, long preemptions, long fallOvers, List<Double> service) {
	}

}
