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
 * Compares policies with each other under the same requests. Belongs to one thread; runs
 * are spread over threads of their own.
 */
public final class PolicyBench {

	/** Rate of the run that finds the capacity, in requests per second and engine. */
	private static final double OVERLOAD_RATE = 20;

	/** Whole, in percent. */
	private static final double WHOLE_PERCENT = 100;

	/** Settings. */
	private final Settings settings;

	private PolicyBench(Settings settings) {
		this.settings = settings;
	}

	/**
	 * Creates a comparison.
	 * @param settings what is compared
	 * @return a new comparison
	 */
	public static PolicyBench of(Settings settings) {
		return new PolicyBench(settings);
	}

	/**
	 * Returns the engine that the comparisons use.
	 * @return memory for some 60 generations at once, and some 30 ms a step then
	 */
	public static EngineSettings engine() {
		return EngineSettings.defaults().withMemory(40_000).withStepTimes(12_000, 250);
	}

	/**
	 * Runs every policy with every seed.
	 * @param progress is told what has been done
	 * @return results in the order of the policies
	 */
	public List<Result> run(Progress progress) {
		double rate = rate(progress);
		ExecutorService threads = Executors.newFixedThreadPool(this.settings.threads());
		Map<Pair, Future<Measurement.Figures>> runs = new LinkedHashMap<>();
		for (Policies policies : this.settings.policies()) {
			for (long seed : this.settings.seeds()) {
				VirtualRun.Setup setup = setup(seed, rate, policies);
				runs.put(new Pair(policies, seed), threads.submit(() -> VirtualRun.run(setup)));
			}
		}
		List<Result> results = new ArrayList<>();
		for (Map.Entry<Pair, Future<Measurement.Figures>> entry : runs.entrySet()) {
			Pair pair = entry.getKey();
			results.add(new Result(pair.policies(), pair.seed(), rate, await(entry.getValue())));
			progress.done(pair.policies().label() + " with seed " + pair.seed());
		}
		threads.shutdown();
		return results;
	}

	/**
	 * Finds the arrival rate that stands for the wanted load: the requests that this
	 * system's own policies complete each second under far too many, times the wanted
	 * part.
	 * @param progress is told what has been done
	 * @return requests per second
	 */
	private double rate(Progress progress) {
		if (this.settings.requestsPerSecond() > 0) {
			return this.settings.requestsPerSecond();
		}
		long seed = this.settings.seeds().get(0);
		double overload = OVERLOAD_RATE * this.settings.preset().engines();
		VirtualRun.Setup setup = setup(seed, overload, new Policies("forecast", "affinity"))
			.withScenario(Scenario.STEADY);
		Measurement.Figures figures = VirtualRun.run(setup);
		double tokensPerRequest = Workload.of(seed, this.settings.preset().workspaces()).meanTokens();
		double rate = figures.tokensPerSecond() / tokensPerRequest * this.settings.loadPercent() / WHOLE_PERCENT;
		progress.done(String.format("capacity %.0f tokens/s; %.1f requests/s stand for %d%% load",
				figures.tokensPerSecond(), rate, this.settings.loadPercent()));
		return rate;
	}

	private VirtualRun.Setup setup(long seed, double rate, Policies policies) {
		EngineSettings engine = this.settings.coldStart() ? engine() : engine().startingWarm();
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
			throw new IllegalStateException("interrupted", ex);
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("a run failed", ex);
		}
	}

	/**
	 * What is compared. Immutable.
	 *
	 * @param preset the deployment
	 * @param policies the policies
	 * @param seeds seeds of the workload
	 * @param loadPercent wanted load in percent of the capacity
	 * @param requestsPerSecond arrival rate, or 0 to derive it from the load
	 * @param measureMillis how long is measured, in milliseconds
	 * @param scenario what happens meanwhile
	 * @param coldStart whether the engines start cold
	 * @param threads number of runs at once
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
		 * Returns the names together.
		 * @return admission and routing policy
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
	 * @param requestsPerSecond arrival rate
	 * @param figures the figures
	 */
	public record Result(Policies policies, long seed, double requestsPerSecond, Measurement.Figures figures) {
	}

	/**
	 * Is told of progress.
	 */
	public interface Progress {

		/**
		 * Something has been done.
		 * @param what what it was
		 */
		void done(String what);

	}

	/**
	 * Which run it is. Immutable.
	 *
	 * @param policies the policies
	 * @param seed seed of the workload
	 */
	private record Pair(Policies policies, long seed) {
	}

}
