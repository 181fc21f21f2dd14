package io.dotterelcrank.daemon.load;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generator of requests that arrive as a Poisson process, independently of the responses.
 * The same seed gives the same requests. Not thread-safe.
 */
public final class Workload {

	/** Fraction of the requests that come from the largest workspace. */
	private static final double LARGEST_WORKSPACE_FRACTION = 0.35;

	/** Fraction of the requests that come from the second largest workspace. */
	private static final double SECOND_WORKSPACE_FRACTION = 0.2;

	/** Maximum length of an output, in tokens. */
	private static final int MAX_OUTPUT_TOKENS = 20_000;

	/** Output limit in requests for all but the longest kind of output, in tokens. */
	private static final int DEFAULT_MAX_TOKENS = 4_096;

	/** Minimum length of a prompt, in tokens. */
	private static final int MIN_PROMPT_TOKENS = 20;

	/** Range of the prompt lengths above the minimum, in tokens. */
	private static final int PROMPT_TOKENS_RANGE = 400;

	/** Duration of the sample for the mean output, in milliseconds. */
	private static final long SAMPLE_MILLIS = 1_000_000;

	/** Arrival rate of the sample for the mean output, in requests per second. */
	private static final double SAMPLE_RATE = 100;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final UniformRandomProvider random;

	private final int workspaces;

	/** Samples exponentially distributed times between arrivals, with mean 1. */
	private final ContinuousSampler unitIntervals;

	/** Samples output lengths in tokens, by ordinal of the kind. */
	private final List<ContinuousSampler> outputLengths = new ArrayList<>();

	private Workload(long seed, int workspaces) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.workspaces = workspaces;
		this.unitIntervals = ZigguratSampler.Exponential.of(this.random);
		for (OutputKind kind : OutputKind.values()) {
			this.outputLengths.add(LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(this.random),
					Math.log(kind.medianTokens), kind.logStdDev));
		}
	}

	/**
	 * Creates a workload.
	 * @param seed seed of the random source
	 * @param workspaces number of workspaces; fewer than 3 count as 3
	 * @return a new workload
	 */
	public static Workload of(long seed, int workspaces) {
		return new Workload(seed, workspaces);
	}

	/**
	 * Generates the requests of a period.
	 * @param fromMillis start of the period, in milliseconds
	 * @param untilMillis end of the period, exclusive, in milliseconds
	 * @param requestsPerSecond mean arrival rate
	 * @return requests in order of arrival
	 */
	public List<Arrival> arrivals(long fromMillis, long untilMillis, double requestsPerSecond) {
		List<Arrival> arrivals = new ArrayList<>();
		double nowMillis = fromMillis + nextIntervalMillis(requestsPerSecond);
		while (nowMillis < untilMillis) {
			arrivals.add(nextArrival((long) nowMillis));
			nowMillis += nextIntervalMillis(requestsPerSecond);
		}
		return arrivals;
	}

	/**
	 * Estimates the mean output from a sample. Advances the random source.
	 * @return output tokens per request
	 */
	public double meanOutputTokens() {
		return arrivals(0, SAMPLE_MILLIS, SAMPLE_RATE).stream().mapToInt(Arrival::outputTokens).average().orElse(0);
	}

	private double nextIntervalMillis(double requestsPerSecond) {
		return this.unitIntervals.sample() * MILLIS_PER_SECOND / requestsPerSecond;
	}

	private Arrival nextArrival(long atMillis) {
		int workspace = nextWorkspace();
		OutputKind kind = OutputKind.values()[workspace % OutputKind.values().length];
		int outputTokens = (int) Math.max(1,
				Math.min(MAX_OUTPUT_TOKENS, this.outputLengths.get(kind.ordinal()).sample()));
		int maxTokens = (kind == OutputKind.LONG) ? MAX_OUTPUT_TOKENS : DEFAULT_MAX_TOKENS;
		int promptTokens = MIN_PROMPT_TOKENS + this.random.nextInt(PROMPT_TOKENS_RANGE);
		return new Arrival(atMillis, "workspace-" + workspace, promptTokens, Math.min(outputTokens, maxTokens),
				maxTokens);
	}

	private int nextWorkspace() {
		double draw = this.random.nextDouble();
		if (draw < LARGEST_WORKSPACE_FRACTION) {
			return 0;
		}
		if (draw < LARGEST_WORKSPACE_FRACTION + SECOND_WORKSPACE_FRACTION) {
			return 1;
		}
		return 2 + this.random.nextInt(Math.max(1, this.workspaces - 2));
	}

	/**
	 * Kinds of outputs. Each workspace has one kind.
	 */
	private enum OutputKind {

		/** Notes of a few hundred tokens. */
		NOTE(350, 0.9),

		/** Verdicts of a few words. */
		VERDICT(20, 0.7),

		/** Summaries of about two hundred tokens. */
		SUMMARY(200, 0.8),

		/** Long outputs of typically a thousand tokens and up to twenty thousand. */
		LONG(1_000, 1.1);

		/** Median output length, in tokens. */
		private final double medianTokens;

		/** Standard deviation of the natural logarithm of the output length. */
		private final double logStdDev;

		OutputKind(double medianTokens, double logStdDev) {
			this.medianTokens = medianTokens;
			this.logStdDev = logStdDev;
		}

	}

	/**
	 * A request. Immutable.
	 *
	 * @param atMillis arrival time, in milliseconds
	 * @param workspace workspace of the caller
	 * @param promptTokens length of the prompt in tokens
	 * @param outputTokens length of the output in tokens; known only to the stand-in
	 * engine
	 * @param maxTokens maximum output that the request asks for, in tokens
	 */
	public record Arrival(long atMillis, String workspace, int promptTokens, int outputTokens, int maxTokens) {

		/**
		 * Returns the prompt, from which the stand-in engine reads the length of the
		 * output.
		 * @return text of the prompt
		 */
		public String prompt() {
			return "[tokens=" + this.outputTokens + "] of " + this.workspace
					+ ": a restoration note on an instrument of the band";
		}

	}

}
