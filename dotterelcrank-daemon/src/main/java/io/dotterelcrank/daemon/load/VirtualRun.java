package io.dotterelcrank.daemon.load;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

import io.dotterelcrank.process.entry.EntryProcess;
import io.dotterelcrank.process.entry.GenerationListener;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.standin.engine.EngineFault;
import io.dotterelcrank.standin.fleet.VirtualFleet;
import io.dotterelcrank.standin.platform.LogFault;
import io.dotterelcrank.version.Change;

/**
 * Simulation that runs the daemons' own classes on a manual clock. The same setup gives
 * the same figures. Not thread-safe.
 */
public final class VirtualRun {

	/** Time for links to open before the first request, in milliseconds. */
	private static final long SETTLE_MILLIS = 6_000;

	/** Time under load before the measured period begins, in milliseconds. */
	static final long WARM_UP_MILLIS = 40_000;

	/** Deadline of a generation from its arrival, in milliseconds. */
	private static final long DEADLINE_MILLIS = 3_600_000;

	private final Setup setup;

	private final VirtualFleet fleet;

	private final List<RecordingCaller> callers = new ArrayList<>();

	private final List<EntryProcess> entries = new ArrayList<>();

	private VirtualRun(Setup setup) {
		this.setup = setup;
		this.fleet = VirtualFleet.of(setup.options());
	}

	/**
	 * Runs a setup.
	 * @param setup fleet, workload and scenario
	 * @return figures of the measured period
	 */
	public static Measurement.Figures run(Setup setup) {
		VirtualRun run = new VirtualRun(setup);
		Measurement measurement = run.measure();
		return EngineTotals.of(run.fleet.engines().values()).figures(measurement);
	}

	/**
	 * Runs a setup and returns the 99th percentile of the time between tokens of one
	 * workspace.
	 * @param setup fleet, workload and scenario
	 * @param workspace the workspace
	 * @return time in milliseconds; 0 if no two tokens arrived
	 */
	public static long tokenGapP99(Setup setup, String workspace) {
		return new VirtualRun(setup).measure().tokenGapP99(workspace);
	}

	private Measurement measure() {
		startFleet();
		long startMillis = this.fleet.clock().millis();
		long fromMillis = startMillis + WARM_UP_MILLIS;
		long untilMillis = fromMillis + this.setup.measureMillis();
		scheduleArrivals(startMillis, untilMillis);
		this.setup.scenario().schedule(this, WARM_UP_MILLIS, this.setup.measureMillis());
		this.fleet.advance(untilMillis - startMillis);
		Measurement measurement = Measurement.between(fromMillis, untilMillis);
		this.callers.forEach((caller) -> measurement.add(caller.history()));
		return measurement;
	}

	private void startFleet() {
		Preset preset = this.setup.preset();
		for (String dataCentre : preset.dataCentres()) {
			for (int i = 1; i <= preset.enginesPerDataCentre(); i++) {
				this.fleet.addEngine(dataCentre + "-" + i, dataCentre);
			}
		}
		for (String dataCentre : preset.dataCentres()) {
			this.fleet.addEntry("entry-" + dataCentre, dataCentre);
			this.entries.add(this.fleet.entries().get("entry-" + dataCentre).entry());
		}
		this.fleet.advance(SETTLE_MILLIS);
	}

	private void scheduleArrivals(long startMillis, long untilMillis) {
		Workload workload = Workload.of(this.setup.seed(), this.setup.preset().workspaces());
		List<Workload.Arrival> arrivals = workload.arrivals(0, untilMillis - startMillis,
				this.setup.requestsPerSecond());
		for (int i = 0; i < arrivals.size(); i++) {
			Workload.Arrival arrival = arrivals.get(i);
			EntryProcess entry = this.entries.get(i % this.entries.size());
			this.fleet.scheduler().schedule(arrival.atMillis(), () -> send(entry, arrival));
		}
	}

	/**
	 * Schedules additional requests from all workspaces.
	 * @param delayMillis time from now until they begin, in milliseconds
	 * @param durationMillis how long they arrive, in milliseconds
	 * @param rateFactor their rate as a multiple of the usual rate
	 */
	void scheduleBurst(long delayMillis, long durationMillis, double rateFactor) {
		scheduleExtraArrivals(1, delayMillis, durationMillis, rateFactor, (arrival) -> arrival);
	}

	/**
	 * Schedules additional requests from one workspace.
	 * @param workspace the workspace
	 * @param delayMillis time from now until they begin, in milliseconds
	 * @param durationMillis how long they arrive, in milliseconds
	 * @param rateFactor their rate as a multiple of the usual rate of all workspaces
	 */
	void scheduleFlood(String workspace, long delayMillis, long durationMillis, double rateFactor) {
		scheduleExtraArrivals(2, delayMillis, durationMillis, rateFactor,
				(arrival) -> new Workload.Arrival(arrival.atMillis(), workspace, arrival.promptTokens(),
						arrival.outputTokens(), arrival.maxTokens()));
	}

	private void scheduleExtraArrivals(long seedOffset, long delayMillis, long durationMillis, double rateFactor,
			UnaryOperator<Workload.Arrival> transform) {
		Workload extra = Workload.of(this.setup.seed() + seedOffset, this.setup.preset().workspaces());
		for (Workload.Arrival arrival : extra.arrivals(delayMillis, delayMillis + durationMillis,
				rateFactor * this.setup.requestsPerSecond())) {
			EntryProcess entry = this.entries.get((int) (arrival.atMillis() % this.entries.size()));
			this.fleet.scheduler().schedule(arrival.atMillis(), () -> send(entry, transform.apply(arrival)));
		}
	}

	private void send(EntryProcess entry, Workload.Arrival arrival) {
		RecordingCaller caller = new RecordingCaller(arrival.workspace(), this.fleet.clock().millis());
		this.callers.add(caller);
		caller.handle = entry.generate(new Generation("", arrival.workspace(), VirtualFleet.MODEL, Priority.NORMAL,
				arrival.prompt(), arrival.promptTokens(), arrival.maxTokens(), DEADLINE_MILLIS), caller);
	}

	/**
	 * Schedules the publication of a configuration change.
	 * @param delayMillis time from now, in milliseconds
	 * @param change the change
	 */
	void publishAfter(long delayMillis, Change change) {
		this.fleet.scheduler().schedule(delayMillis, () -> this.fleet.publish(change));
	}

	/**
	 * Schedules the injection of a fault into the first engine.
	 * @param delayMillis time from now, in milliseconds
	 * @param fault the fault
	 * @param value value of the fault, in the unit that the fault defines
	 */
	void injectFaultAfter(long delayMillis, EngineFault fault, long value) {
		this.fleet.scheduler()
			.schedule(delayMillis, () -> this.fleet.engines().values().iterator().next().injectFault(fault, value));
	}

	/**
	 * Schedules the injection of a fault into the log.
	 * @param delayMillis time from now, in milliseconds
	 * @param fault the fault; {@link LogFault#NONE} ends an earlier one
	 */
	void injectLogFaultAfter(long delayMillis, LogFault fault) {
		this.fleet.scheduler().schedule(delayMillis, () -> this.fleet.log().injectFault(fault));
	}

	/**
	 * Returns the data centre that scenarios take out of service.
	 * @return name of the first data centre of the preset
	 */
	String firstDataCentre() {
		return this.setup.preset().dataCentres().get(0);
	}

	/**
	 * Fleet, workload and scenario of a run. Immutable.
	 *
	 * @param preset the deployment
	 * @param options settings of the engines, and policies
	 * @param seed seed of the workload
	 * @param requestsPerSecond mean arrival rate
	 * @param measureMillis length of the measured period, in milliseconds
	 * @param scenario event during the measured period
	 */
	public record Setup(Preset preset, VirtualFleet.Options options, long seed, double requestsPerSecond,
			long measureMillis, Scenario scenario) {

		/**
		 * Returns a copy with other policies.
		 * @param admission name of the admission policy
		 * @param routing name of the routing policy
		 * @return the changed copy
		 */
		public Setup withPolicies(String admission, String routing) {
			return new Setup(this.preset, this.options.withPolicies(admission, routing), this.seed,
					this.requestsPerSecond, this.measureMillis, this.scenario);
		}

		/**
		 * Returns a copy with another scenario.
		 * @param value event during the measured period
		 * @return the changed copy
		 */
		public Setup withScenario(Scenario value) {
			return new Setup(this.preset, this.options, this.seed, this.requestsPerSecond, this.measureMillis, value);
		}

		/**
		 * Returns a copy with another arrival rate.
		 * @param rate mean arrival rate in requests per second
		 * @return the changed copy
		 */
		public Setup withRate(double rate) {
			return new Setup(this.preset, this.options, this.seed, rate, this.measureMillis, this.scenario);
		}

	}

	/**
	 * A caller that acknowledges tokens at once and records their arrival times.
	 */
	private final class RecordingCaller implements GenerationListener {

		private final String workspace;

		private final long sentMillis;

		/** Arrival time of each token, in milliseconds; empty again after a restart. */
		private final List<Long> tokenMillis = new ArrayList<>();

		private EntryProcess.GenerationHandle handle;

		private Measurement.Outcome outcome = Measurement.Outcome.OPEN;

		RecordingCaller(String workspace, long sentMillis) {
			this.workspace = workspace;
			this.sentMillis = sentMillis;
		}

		@Override
		public boolean streaming() {
			return true;
		}

		@Override
		public void tokens(String target, String generation, int firstIndex, List<String> tokens) {
			long nowMillis = VirtualRun.this.fleet.clock().millis();
			tokens.forEach((token) -> this.tokenMillis.add(nowMillis));
			this.handle.acknowledge(firstIndex + tokens.size());
		}

		@Override
		public void finished(int count, String reason) {
			this.outcome = Measurement.Outcome.COMPLETE;
		}

		@Override
		public void failed(Failure failure) {
			this.outcome = (failure.ran() == Ran.NO) ? Measurement.Outcome.REFUSED : Measurement.Outcome.FAILED;
		}

		@Override
		public void restarted() {
			this.tokenMillis.clear();
		}

		private Measurement.RequestHistory history() {
			return new Measurement.RequestHistory(this.workspace, this.sentMillis, this.tokenMillis, this.outcome);
		}

	}

}
