package io.dotterelcrank.daemon.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import io.dotterelcrank.standin.engine.EngineSettings;
import io.dotterelcrank.standin.fleet.VirtualFleet;

/**
 * Compares policies under the same requests. Not thread-safe; the runs execute on a
 * thread pool of its own.
 */
public final class PolicyBench {

	/** Arrival rate when the capacity is measured, in requests per second and engine. */
	private static final double OVERLOAD_RATE_PER_ENGINE = 20;

	private static final double HUNDRED_PERCENT = 100;

	private final Settings settings;

	private PolicyBench(Settings settings) {
		this.settings = settings;
	}

	/**
	 * Creates a comparison.
	 * @param settings deployment, policies and workload
	 * @return a new comparison
	 */
	public static PolicyBench of(Settings settings) {
		return new PolicyBench(settings);
	}

	/**
	 * Returns the settings of the engines in comparisons.
	 * @return settings with KV cache memory for about 60 concurrent generations and steps
	 * of about 30 ms at that load
	 */
	public static EngineSettings engineSettings() {
		return EngineSettings.defaults().withMemory(40_000).withStepTimes(12_000, 250);
	}

	/**
	 * Runs every pair of policies with every seed.
	 * @param progress receives progress
	 * @return results in the order of the policies, then of the seeds
	 */
	public List<Result> run(ProgressListener progress) {
		double rate = arrivalRate(progress);
		ExecutorService executor = Executors.newFixedThreadPool(this.settings.threads());
		Map<RunKey, Future<Measurement.Figures>> runs = new LinkedHashMap<>();
		for (Policies policies : this.settings.policies()) {
			for (long seed : this.settings.seeds()) {
				VirtualRun.Setup setup = setup(seed, rate, policies);
				runs.put(new RunKey(policies, seed), executor.submit(() -> VirtualRun.run(setup)));
			}
		}
		List<Result> results = new ArrayList<>();
		for (Map.Entry<RunKey, Future<Measurement.Figures>> entry : runs.entrySet()) {
			RunKey key = entry.getKey();
			results.add(new Result(key.policies(), key.seed(), rate, await(entry.getValue())));
			progress.progressed(key.policies().label() + " with seed " + key.seed());
		}
		executor.shutdown();
		return results;
	}

	/**
	 * Returns the configured arrival rate. If there is none, measures the capacity, which
	 * is the throughput of this system's own policies under overload, and returns the
	 * rate that uses the configured percentage of it.
	 * @param progress receives the capacity and the derived rate
	 * @return requests per second
	 */
	private double arrivalRate(ProgressListener progress) {
		if (this.settings.requestsPerSecond() > 0) {
			return this.settings.requestsPerSecond();
		}
		long seed = this.settings.seeds().get(0);
		double overloadRate = OVERLOAD_RATE_PER_ENGINE * this.settings.preset().engines();
		VirtualRun.Setup setup = setup(seed, overloadRate, new Policies("forecast", "affinity"))
			.withScenario(Scenario.STEADY);
		Measurement.Figures figures = VirtualRun.run(setup);
		double tokensPerRequest = Workload.of(seed, this.settings.preset().workspaces()).meanOutputTokens();
		double rate = figures.tokensPerSecond() / tokensPerRequest * this.settings.loadPercent() / HUNDRED_PERCENT;
		progress.progressed(String.format("capacity %.0f tokens/s; %.1f requests/s for a load of %d%%",
				figures.tokensPerSecond(), rate, this.settings.loadPercent()));
		return rate;
	}

	private VirtualRun.Setup setup(long seed, double rate, Policies policies) {
		EngineSettings engine = this.settings.coldStart() ? engineSettings() : engineSettings().startingWarm();
		VirtualFleet.Options options = VirtualFleet.Options.defaults()
			.withEngine(engine)
			.withSeed(seed)
			.withPolicies(policies.admission(), policies.routing());
		return new VirtualRun.Setup(this.settings.preset(), options, seed, rate, this.settings.measureMillis(),
				this.settings.scenario());
	}

	private static Measurement.Figures await(Future<Measurement.Figures> run) {
		try {
			return run.get();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while waiting for a run", ex);
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("a run of the comparison failed", ex);
		}
	}

	/**
	 * Settings of a comparison. Immutable.
	 *
	 * @param preset the deployment
	 * @param policies pairs of policies to compare
	 * @param seeds seeds of the workload
	 * @param loadPercent load in percent of the capacity
	 * @param requestsPerSecond mean arrival rate, or 0 to derive it from the load
	 * @param measureMillis length of the measured period, in milliseconds
	 * @param scenario event during the measured period
	 * @param coldStart whether the engines start cold
	 * @param threads number of concurrent runs
	 */
	public record Settings(Preset preset, List<Policies> policies, List<Long> seeds, int loadPercent,
			double requestsPerSecond, long measureMillis, Scenario scenario, boolean coldStart, int threads) {
	}

	/**
	 * A pair of policies. Immutable.
	 *
	 * @param admission name of the admission policy
	 * @param routing name of the routing policy
	 */
	public record Policies(String admission, String routing) {

		/**
		 * Returns the name of the pair on the command line.
		 * @return both names, joined by a plus sign
		 */
		public String label() {
			return this.admission + "+" + this.routing;
		}

	}

	/**
	 * Result of one run. Immutable.
	 *
	 * @param policies the policies
	 * @param seed seed of the workload
	 * @param requestsPerSecond mean arrival rate
	 * @param figures the figures
	 */
	public record Result(Policies policies, long seed, double requestsPerSecond, Measurement.Figures figures) {
	}

	/**
	 * Receives the progress of a comparison.
	 */
	public interface ProgressListener {

		/**
		 * Reports a step that has been done.
		 * @param message description of the step
		 */
		void progressed(String message);

	}

	/**
	 * Identifies a run within a comparison. Immutable.
	 *
	 * @param policies the policies
	 * @param seed seed of the workload
	 */
	private record RunKey(Policies policies, long seed) {
	}

}
