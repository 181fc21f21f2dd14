package io.dotterelcrank.daemon.load;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Requests that arrive independently of each other and of the answers. The same seed
 * gives the same requests. Not thread-safe.
 */
public final class Workload {

	/** Part of the requests that the largest workspace sends. */
	private static final double LARGEST_SHARE = 0.35;

	/** Part of the requests that the second workspace sends. */
	private static final double SECOND_SHARE = 0.2;

	/** Longest output, in tokens. */
	private static final int LONGEST = 20_000;

	/** Largest output that most callers ask for, in tokens. */
	private static final int USUAL_MAX_TOKENS = 4_096;

	/** Shortest prompt, in tokens. */
	private static final int SHORTEST_PROMPT = 20;

	/** Spread of the prompt lengths, in tokens. */
	private static final int PROMPT_SPREAD = 400;

	/** Time of the requests from which the mean output is estimated, in milliseconds. */
	private static final long SAMPLE_MILLIS = 1_000_000;

	/**
	 * Rate of the requests from which the mean output is estimated, in requests per
	 * second.
	 */
	private static final double SAMPLE_RATE = 100;

	/** Milliseconds in a second. */
	private static final double MILLIS_PER_SECOND = 1_000;

	/** Random source. */
	private final UniformRandomProvider random;

	/** Number of workspaces. */
	private final int workspaces;

	/** Samples times between arrivals, with mean 1. */
	private final ContinuousSampler intervals;

	/** Samples lengths of each kind. */
	private final List<ContinuousSampler> lengths = new ArrayList<>();

	private Workload(long seed, int workspaces) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.workspaces = workspaces;
		this.intervals = ZigguratSampler.Exponential.of(this.random);
		for (Kind kind : Kind.values()) {
			this.lengths.add(LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(this.random),
					Math.log(kind.median), kind.spread));
		}
	}

	/**
	 * Creates a workload.
	 * @param seed seed of the random source
	 * @param workspaces number of workspaces
	 * @return a new workload
	 */
	public static Workload of(long seed, int workspaces) {
		return new Workload(seed, workspaces);
	}

	/**
	 * Generates the requests of a time.
	 * @param fromMillis when the time begins, in milliseconds
	 * @param untilMillis when it ends, in milliseconds
	 * @param requestsPerSecond mean arrival rate
	 * @return requests in order of arrival
	 */
	public List<Arrival> arrivals(long fromMillis, long untilMillis, double requestsPerSecond) {
		List<Arrival> arrivals = new ArrayList<>();
		double nowMillis = fromMillis + nextInterval(requestsPerSecond);
		while (nowMillis < untilMillis) {
			arrivals.add(arrival((long) nowMillis));
			nowMillis += nextInterval(requestsPerSecond);
		}
		return arrivals;
	}

	/**
	 * Estimates the mean output.
	 * @return tokens for each request
	 */
	public double meanTokens() {
		return arrivals(0, SAMPLE_MILLIS, SAMPLE_RATE).stream().mapToInt(Arrival::outputTokens).average().orElse(0);
	}

	private double nextInterval(double requestsPerSecond) {
		return this.intervals.sample() * MILLIS_PER_SECOND / requestsPerSecond;
	}

	private Arrival arrival(long atMillis) {
		int workspace = workspace();
		Kind kind = Kind.values()[workspace % Kind.values().length];
		int length = (int) Math.max(1, Math.min(LONGEST, this.lengths.get(kind.ordinal()).sample()));
		int maxTokens = (kind == Kind.LONG) ? LONGEST : USUAL_MAX_TOKENS;
		int prompt = SHORTEST_PROMPT + this.random.nextInt(PROMPT_SPREAD);
		return new Arrival(atMillis, "workspace-" + workspace, prompt, Math.min(length, maxTokens), maxTokens);
	}

	private int workspace() {
		double draw = this.random.nextDouble();
		if (draw < LARGEST_SHARE) {
			return 0;
		}
		if (draw < LARGEST_SHARE + SECOND_SHARE) {
			return 1;
		}
		return 2 + this.random.nextInt(Math.max(1, this.workspaces - 2));
	}

	/**
	 * Kinds of outputs.
	 */
	private enum Kind {

		/** Notes of some hundred tokens. */
		NOTE(350, 0.9),

		/** Verdicts of some words. */
		VERDICT(20, 0.7),

		/** Summaries of about two hundred tokens. */
		SUMMARY(200, 0.8),

		/** Restorations of a thousand tokens and up to twenty thousand. */
		LONG(1_000, 1.1);

		/** Median length in tokens. */
		private final double median;

		/** Standard deviation of the logarithm of the length. */
		private final double spread;

		Kind(double median, double spread) {
			this.median = median;
			this.spread = spread;
		}

	}

	/**
	 * A request. Immutable.
	 *
	 * @param atMillis when it arrives, in milliseconds
	 * @param workspace its workspace
	 * @param promptTokens length of the prompt in tokens
	 * @param outputTokens length of the output in tokens, which nobody knows before
	 * @param maxTokens largest output asked for, in tokens
	 */
	public record Arrival(long atMillis, String workspace, int promptTokens, int outputTokens, int maxTokens) {

		/**
		 * Returns the prompt; it tells the stand-in engine the length of the output.
		 * @return text of the prompt
		 */
		public String prompt() {
			return "[tokens=" + this.outputTokens + "] of " + this.workspace
					+ ": a restoration note on an instrument of the band";
		}

	}

}
