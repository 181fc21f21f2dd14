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
 * One run of the daemons' own classes on a manual clock. The same inputs give the same
 * figures. Belongs to one thread.
 */
public final class VirtualRun {

	/** Time before the first request, in milliseconds. */
	private static final long SETTLE_MILLIS = 6_000;

	/** Time with load before counting begins, in milliseconds. */
	static final long WARM_UP_MILLIS = 40_000;

	/** Time for which a generation may last, in milliseconds. */
	private static final long DEADLINE_MILLIS = 3_600_000;

	/** What is run. */
	private final Setup setup;

	/** The fleet. */
	private final VirtualFleet fleet;

	/** Callers so far. */
	private final List<Caller> callers = new ArrayList<>();

	/** Entry processes in the order of their names. */
	private final List<EntryProcess> entries = new ArrayList<>();

	private VirtualRun(Setup setup) {
		this.setup = setup;
		this.fleet = VirtualFleet.of(setup.options());
	}

	/**
	 * Runs.
	 * @param setup what is run
	 * @return the figures
	 */
	public static Measurement.Figures run(Setup setup) {
		VirtualRun run = new VirtualRun(setup);
		Measurement measurement = run.measure();
		return EngineTotals.of(run.fleet.engines().values()).figures(measurement);
	}

	/**
	 * Runs, and returns the tail of one workspace.
	 * @param setup what is run
	 * @param workspace the workspace
	 * @return time between tokens at the 99th percentile, in milliseconds
	 */
	public static long tail(Setup setup, String workspace) {
		return new VirtualRun(setup).measure().tail(workspace);
	}

	private Measurement measure() {
		build();
		long startMillis = this.fleet.clock().millis();
		long fromMillis = startMillis + WARM_UP_MILLIS;
		long untilMillis = fromMillis + this.setup.measureMillis();
		schedule(startMillis, untilMillis);
		this.setup.scenario().schedule(this, WARM_UP_MILLIS, this.setup.measureMillis());
		this.fleet.advance(untilMillis - startMillis);
		Measurement measurement = Measurement.between(fromMillis, untilMillis);
		this.callers.forEach((caller) -> measurement.add(caller.history()));
		return measurement;
	}

	private void build() {
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

	private void schedule(long startMillis, long untilMillis) {
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
	 * Sends extra requests for a time.
	 * @param afterMillis when they begin, from now, in milliseconds
	 * @param lengthMillis how long they last, in milliseconds
	 * @param part their rate as a part of the usual rate
	 */
	void burst(long afterMillis, long lengthMillis, double part) {
		extra(1, afterMillis, lengthMillis, part, (arrival) -> arrival);
	}

	/**
	 * Makes one workspace send far more than its share for a time.
	 * @param workspace the workspace
	 * @param afterMillis when it begins, from now, in milliseconds
	 * @param lengthMillis how long it lasts, in milliseconds
	 * @param part its additional rate as a part of the usual rate of all
	 */
	void flood(String workspace, long afterMillis, long lengthMillis, double part) {
		extra(2, afterMillis, lengthMillis, part, (arrival) -> new Workload.Arrival(arrival.atMillis(), workspace,
				arrival.promptTokens(), arrival.outputTokens(), arrival.maxTokens()));
	}

	private void extra(long seedOffset, long afterMillis, long lengthMillis, double part,
			UnaryOperator<Workload.Arrival> change) {
		Workload extra = Workload.of(this.setup.seed() + seedOffset, this.setup.preset().workspaces());
		for (Workload.Arrival arrival : extra.arrivals(afterMillis, afterMillis + lengthMillis,
				part * this.setup.requestsPerSecond())) {
			EntryProcess entry = this.entries.get((int) (arrival.atMillis() % this.entries.size()));
			this.fleet.scheduler().schedule(arrival.atMillis(), () -> send(entry, change.apply(arrival)));
		}
	}

	private void send(EntryProcess entry, Workload.Arrival arrival) {
		Caller caller = new Caller(arrival.workspace(), this.fleet.clock().millis());
		this.callers.add(caller);
		caller.handle = entry.generate(new Generation("", arrival.workspace(), VirtualFleet.MODEL, Priority.NORMAL,
				arrival.prompt(), arrival.promptTokens(), arrival.maxTokens(), DEADLINE_MILLIS), caller);
	}

	/**
	 * Publishes a change later.
	 * @param afterMillis when, from now, in milliseconds
	 * @param change the change
	 */
	void publishAfter(long afterMillis, Change change) {
		this.fleet.scheduler().schedule(afterMillis, () -> this.fleet.publish(change));
	}

	/**
	 * Switches a fault of the first engine on later.
	 * @param afterMillis when, from now, in milliseconds
	 * @param fault the fault
	 * @param value its value
	 */
	void faultAfter(long afterMillis, EngineFault fault, long value) {
		this.fleet.scheduler()
			.schedule(afterMillis, () -> this.fleet.engines().values().iterator().next().injectFault(fault, value));
	}

	/**
	 * Switches a fault of the log on later.
	 * @param afterMillis when, from now, in milliseconds
	 * @param fault the fault
	 */
	void logFaultAfter(long afterMillis, LogFault fault) {
		this.fleet.scheduler().schedule(afterMillis, () -> this.fleet.log().injectFault(fault));
	}

	/**
	 * Returns the data centre that scenarios take out.
	 * @return the first data centre
	 */
	String firstDataCentre() {
		return this.setup.preset().dataCentres().get(0);
	}

	/**
	 * What is run. Immutable.
	 *
	 * @param preset the deployment
	 * @param options engines and policies
	 * @param seed seed of the workload
	 * @param requestsPerSecond mean arrival rate
	 * @param measureMillis how long is measured, in milliseconds
	 * @param scenario what happens meanwhile
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
		 * @param value what happens meanwhile
		 * @return the changed copy
		 */
		public Setup withScenario(Scenario value) {
			return new Setup(this.preset, this.options, this.seed, this.requestsPerSecond, this.measureMillis, value);
		}

		/**
		 * Returns a copy with another rate.
		 * @param rate mean arrival rate in requests per second
		 * @return the changed copy
		 */
		public Setup withRate(double rate) {
			return new Setup(this.preset, this.options, this.seed, rate, this.measureMillis, this.scenario);
		}

	}

	/**
	 * A caller that records what it sees, and reads at once.
	 */
	private final class Caller implements GenerationListener {

		/** Workspace of the caller. */
		private final String workspace;

		/** When the request was sent, in milliseconds. */
		private final long sentMillis;

		/** When each token arrived, in milliseconds. */
		private final List<Long> tokenMillis = new ArrayList<>();

		/** Handle of the request. */
		private EntryProcess.GenerationHandle handle;

		/** How the request ended. */
		private Measurement.End end = Measurement.End.OPEN;

		Caller(String workspace, long sentMillis) {
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
			this.end = Measurement.End.COMPLETE;
		}

		@Override
		public void failed(Failure failure) {
			this.end = (failure.ran() == Ran.NO) ? Measurement.End.REFUSED : Measurement.End.FAILED;
		}

		@Override
		public void restarted() {
			this.tokenMillis.clear();
		}

		private Measurement.History history() {
			return new Measurement.History(this.workspace, this.sentMillis, this.tokenMillis, this.end);
		}

	}

}
