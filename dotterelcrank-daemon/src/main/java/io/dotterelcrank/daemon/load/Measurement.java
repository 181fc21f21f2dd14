package io.dotterelcrank.daemon.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * Computes figures from what callers observed. docs/MEASURES.md defines each figure. Not
 * thread-safe.
 */
public final class Measurement {

	/** Latency goal for the first token, in milliseconds. */
	static final long FIRST_TOKEN_GOAL_MILLIS = 580;

	/** Latency goal for the time between two tokens, in milliseconds. */
	static final long TOKEN_GAP_GOAL_MILLIS = 49;

	/** Time between tokens beyond which the rest is stall time, in milliseconds. */
	static final long STALL_THRESHOLD_MILLIS = 200;

	/** Length of a window of {@link Figures#service()}, in milliseconds. */
	static final long WINDOW_MILLIS = 5_000;

	/** Minimum fraction of token gaps within the goal for goodput. */
	private static final double MIN_ON_TIME_FRACTION = 0.95;

	/** Upper bound of the recorded times, in milliseconds; longer ones count as this. */
	private static final long MAX_RECORDED_MILLIS = 3_600_000;

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double MILLIS_PER_SECOND = 1_000;

	/** Number of tokens per which stall time is reported. */
	private static final double STALL_TOKEN_UNIT = 1_000;

	private static final double P95 = 95;

	private static final double P99 = 99;

	/** Start of the measured period, inclusive, in milliseconds. */
	private final long fromMillis;

	/** End of the measured period, exclusive, in milliseconds. */
	private final long untilMillis;

	private final Histogram timesToFirstToken = new Histogram(MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS);

	private final Histogram tokenGaps = new Histogram(MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS);

	private final Map<String, Histogram> tokenGapsByWorkspace = new HashMap<>();

	/** Tokens received, by window of the measured period. */
	private final List<Long> tokensByWindow = new ArrayList<>();

	private long tokens;

	/** Tokens of complete generations that met the latency goals. */
	private long goodputTokens;

	/** Sum of the times by which token gaps exceed the threshold, in milliseconds. */
	private long stallMillis;

	private long requests;

	/** Requests with a complete response. */
	private long complete;

	/** Requests rejected before they ran. */
	private long refused;

	/** Requests that failed in any other way. */
	private long failed;

	private Measurement(long fromMillis, long untilMillis) {
		this.fromMillis = fromMillis;
		this.untilMillis = untilMillis;
	}

	/**
	 * Creates a measurement of a period.
	 * @param fromMillis start of the period, inclusive, in milliseconds
	 * @param untilMillis end of the period, exclusive, in milliseconds
	 * @return an empty measurement
	 */
	public static Measurement between(long fromMillis, long untilMillis) {
		return new Measurement(fromMillis, untilMillis);
	}

	private boolean isMeasured(long millis) {
		return millis >= this.fromMillis && millis < this.untilMillis;
	}

	/**
	 * Adds a request. Its tokens count if they arrived in the measured period, the
	 * request itself if it was due in it.
	 * @param history what its caller observed
	 */
	public void add(RequestHistory history) {
		if (!isMeasured(history.dueMillis())) {
			recordTokens(history);
			return;
		}
		this.requests++;
		long gapsOnTime = recordTokens(history);
		boolean isComplete = history.outcome() == Outcome.COMPLETE;
		this.complete += isComplete ? 1 : 0;
		this.refused += (history.outcome() == Outcome.REFUSED) ? 1 : 0;
		this.failed += (history.outcome() == Outcome.FAILED) ? 1 : 0;
		if (history.tokenMillis().isEmpty()) {
			return;
		}
		long firstMillis = history.tokenMillis().get(0) - history.dueMillis();
		this.timesToFirstToken.recordValue(Math.min(MAX_RECORDED_MILLIS, firstMillis));
		boolean onTime = firstMillis <= FIRST_TOKEN_GOAL_MILLIS
				&& gapsOnTime >= MIN_ON_TIME_FRACTION * (history.tokenMillis().size() - 1);
		this.goodputTokens += (isComplete && onTime) ? history.tokenMillis().size() : 0;
	}

	private long recordTokens(RequestHistory history) {
		long gapsOnTime = 0;
		long previousMillis = -1;
		for (long millis : history.tokenMillis()) {
			if (isMeasured(millis)) {
				this.tokens++;
				countInWindow((millis - this.fromMillis) / WINDOW_MILLIS);
			}
			if (previousMillis >= 0) {
				long gap = millis - previousMillis;
				gapsOnTime += (gap <= TOKEN_GAP_GOAL_MILLIS) ? 1 : 0;
				recordGap(history.workspace(), millis, gap);
			}
			previousMillis = millis;
		}
		return gapsOnTime;
	}

	private void recordGap(String workspace, long millis, long gap) {
		if (isMeasured(millis)) {
			this.tokenGaps.recordValue(Math.min(MAX_RECORDED_MILLIS, gap));
			this.tokenGapsByWorkspace
				.computeIfAbsent(workspace, (name) -> new Histogram(MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS))
				.recordValue(Math.min(MAX_RECORDED_MILLIS, gap));
			this.stallMillis += Math.max(0, gap - STALL_THRESHOLD_MILLIS);
		}
	}

	private void countInWindow(long index) {
		while (this.tokensByWindow.size() <= index) {
			this.tokensByWindow.add(0L);
		}
		this.tokensByWindow.set((int) index, this.tokensByWindow.get((int) index) + 1);
	}

	/**
	 * Returns the figures of the requests added so far.
	 * @param preemptions generations that engines removed from a batch
	 * @param fallOvers crashes of cold engines above their concurrency limit
	 * @return the figures
	 */
	public Figures figures(long preemptions, long fallOvers) {
		double seconds = (this.untilMillis - this.fromMillis) / MILLIS_PER_SECOND;
		List<Double> tokensPerSecondByWindow = this.tokensByWindow.stream()
			.map((count) -> count * MILLIS_PER_SECOND / WINDOW_MILLIS)
			.toList();
		return new Figures(this.requests, this.complete, this.refused, this.failed, this.tokens / seconds,
				this.goodputTokens / seconds, this.timesToFirstToken.getValueAtPercentile(P95),
				this.tokenGaps.getValueAtPercentile(50), this.tokenGaps.getValueAtPercentile(P95),
				this.tokenGaps.getValueAtPercentile(P99),
				this.stallMillis * STALL_TOKEN_UNIT / Math.max(1, this.tokens), preemptions, fallOvers,
				tokensPerSecondByWindow);
	}

	/**
	 * Returns the 99th percentile of the time between tokens of one workspace.
	 * @param workspace the workspace
	 * @return time in milliseconds; 0 if no two tokens arrived
	 */
	public long tokenGapP99(String workspace) {
		Histogram histogram = this.tokenGapsByWorkspace.get(workspace);
		return (histogram != null) ? histogram.getValueAtPercentile(P99) : 0;
	}

	/**
	 * How a request ended.
	 */
	public enum Outcome {

		/** The caller received the complete response. */
		COMPLETE,

		/** The request was rejected, and the error reported that no target ran it. */
		REFUSED,

		/** The request failed in any other way. */
		FAILED,

		/** The request had not ended when the run ended. */
		OPEN

	}

	/**
	 * What a caller observed of one request. The list is not modified after construction.
	 *
	 * @param workspace workspace of the caller
	 * @param dueMillis time at which the request was due to be sent, in milliseconds
	 * @param tokenMillis arrival time of each token, in milliseconds
	 * @param outcome how the request ended
	 */
	public record RequestHistory(String workspace, long dueMillis, List<Long> tokenMillis, Outcome outcome) {
	}

	/**
	 * Figures of a run. Immutable.
	 *
	 * @param requests requests that were due in the measured period
	 * @param complete requests with a complete response
	 * @param refused requests rejected before they ran
	 * @param failed requests that failed in any other way
	 * @param tokensPerSecond tokens received, per second
	 * @param goodput tokens of complete generations that met the latency goals, per
	 * second
	 * @param firstTokenP95 time until the first token, 95th percentile, in milliseconds
	 * @param betweenP50 time between tokens, 50th percentile, in milliseconds
	 * @param betweenP95 time between tokens, 95th percentile, in milliseconds
	 * @param betweenP99 time between tokens, 99th percentile, in milliseconds
	 * @param stallPerThousand stall time per 1,000 tokens, in milliseconds
	 * @param preemptions generations that engines removed from a batch
	 * @param fallOvers crashes of cold engines above their concurrency limit
	 * @param service tokens per second in each window
	 */
	public record Figures(long requests, long complete, long refused, long failed, double tokensPerSecond,
			double goodput, long firstTokenP95, long betweenP50, long betweenP95, long betweenP99,
			double stallPerThousand, long preemptions, long fallOvers, List<Double> service) {
	}

}
