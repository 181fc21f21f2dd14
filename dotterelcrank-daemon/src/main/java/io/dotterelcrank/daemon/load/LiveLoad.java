package io.dotterelcrank.daemon.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.daemon.client.HttpLogClient;
import io.dotterelcrank.daemon.command.TablePrinter;
import io.dotterelcrank.daemon.embedded.EmbeddedFleet;
import io.dotterelcrank.daemon.embedded.Sleeper;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.standin.engine.EngineSettings;
import io.dotterelcrank.standin.fleet.VirtualFleet;
import io.dotterelcrank.version.Change;
import io.dotterelcrank.version.ConfigurationPublisher;

/**
 * Generates load on daemons over real sockets. The load is open-loop: requests are sent
 * at their due times, whether or not earlier ones have completed, and latencies count
 * from the due time. Not thread-safe.
 */
public final class LiveLoad {

	private static final long PROGRESS_INTERVAL_MILLIS = 5_000;

	/** Maximum time until a fleet in this process is ready, in milliseconds. */
	private static final long READY_TIMEOUT_MILLIS = 30_000;

	/** Maximum time until a published change appears in the log, in milliseconds. */
	private static final long PUBLISH_TIMEOUT_MILLIS = 10_000;

	private final PrintStream out;

	private final PolicyBench.Settings settings;

	private final double requestsPerSecond;

	private final CallerClient client = CallerClient.create();

	private final List<SentRequest> sentRequests = new ArrayList<>();

	private LiveLoad(PrintStream out, PolicyBench.Settings settings, double requestsPerSecond) {
		this.out = out;
		this.settings = settings;
		this.requestsPerSecond = requestsPerSecond;
	}

	/**
	 * Generates load on running daemons, or on a new fleet in this process for each pair
	 * of policies.
	 * @param out receives progress lines and the table of results
	 * @param folder folder of the results, created if missing
	 * @param settings deployment, policies and workload
	 * @param requestsPerSecond mean arrival rate
	 * @param entries addresses of running entry daemons; empty for a fleet in this
	 * process
	 * @throws IOException if an address cannot be bound or a file cannot be written
	 * @throws RequestException if a change of the configuration is refused
	 */
	public static void run(PrintStream out, Path folder, PolicyBench.Settings settings, double requestsPerSecond,
			List<String> entries) throws IOException, RequestException {
		List<PolicyBench.Result> results = new ArrayList<>();
		for (PolicyBench.Policies policies : settings.policies()) {
			LiveLoad load = new LiveLoad(out, settings, requestsPerSecond);
			Measurement.Figures figures = entries.isEmpty() ? load.measureEmbeddedFleet(policies)
					: load.measureEntries(entries, null);
			results.add(new PolicyBench.Result(policies, settings.seeds().get(0), requestsPerSecond, figures));
			if (!entries.isEmpty()) {
				break;
			}
		}
		TablePrinter.print(out, Report.rows(results));
		Report.write(folder, settings, results);
		out.println("written to " + folder);
	}

	private Measurement.Figures measureEmbeddedFleet(PolicyBench.Policies policies)
			throws IOException, RequestException {
		try (EmbeddedFleet fleet = EmbeddedFleet
			.start(new EmbeddedFleet.FleetPolicies(policies.admission(), policies.routing()))) {
			EngineSettings engine = this.settings.coldStart() ? PolicyBench.engineSettings()
					: PolicyBench.engineSettings().startingWarm();
			Preset preset = this.settings.preset();
			for (String dataCentre : preset.dataCentres()) {
				for (int i = 1; i <= preset.enginesPerDataCentre(); i++) {
					fleet.addEngine(dataCentre + "-" + i, dataCentre, VirtualFleet.MODEL, engine);
				}
			}
			for (String dataCentre : preset.dataCentres()) {
				fleet.addEntry("entry-" + dataCentre, dataCentre, 0);
			}
			if (!fleet.awaitReady(READY_TIMEOUT_MILLIS)) {
				throw new IOException("the fleet did not become ready");
			}
			return measureEntries(fleet.callerAddresses(), fleet);
		}
	}

	private Measurement.Figures measureEntries(List<String> entries, EmbeddedFleet fleet) throws RequestException {
		long startMillis = Clock.system().millis();
		long warmUpMillis = VirtualRun.WARM_UP_MILLIS / 4;
		long endMillis = warmUpMillis + this.settings.measureMillis();
		Workload workload = Workload.of(this.settings.seeds().get(0), this.settings.preset().workspaces());
		List<Workload.Arrival> arrivals = workload.arrivals(0, endMillis, this.requestsPerSecond);
		List<ScheduledChange> changes = scheduledChanges(fleet, warmUpMillis);
		long nextProgressMillis = PROGRESS_INTERVAL_MILLIS;
		for (int i = 0; i < arrivals.size(); i++) {
			Workload.Arrival arrival = arrivals.get(i);
			while (!changes.isEmpty() && changes.get(0).atMillis() <= arrival.atMillis()) {
				publish(fleet, changes.remove(0));
			}
			Sleeper.sleepMillis(startMillis + arrival.atMillis() - Clock.system().millis());
			send(entries.get(i % entries.size()), arrival, startMillis + arrival.atMillis());
			if (arrival.atMillis() >= nextProgressMillis) {
				printProgress(arrival.atMillis(), endMillis);
				nextProgressMillis += PROGRESS_INTERVAL_MILLIS;
			}
		}
		Sleeper.sleepMillis(startMillis + endMillis - Clock.system().millis());
		return figures(startMillis + warmUpMillis, startMillis + endMillis, fleet);
	}

	private List<ScheduledChange> scheduledChanges(EmbeddedFleet fleet, long warmUpMillis) {
		List<ScheduledChange> changes = new ArrayList<>();
		if (fleet != null && this.settings.scenario() == Scenario.DATA_CENTRE) {
			String firstDataCentre = this.settings.preset().dataCentres().get(0);
			long quarterMillis = this.settings.measureMillis() / 4;
			changes.add(new ScheduledChange(warmUpMillis + quarterMillis,
					new Change.DataCentreOut(firstDataCentre, "measured departure")));
			changes
				.add(new ScheduledChange(warmUpMillis + 2 * quarterMillis, new Change.DataCentreBack(firstDataCentre)));
		}
		return changes;
	}

	private void publish(EmbeddedFleet fleet, ScheduledChange scheduled) throws RequestException {
		this.out.println("publishing " + scheduled.change());
		ConfigurationPublisher.of(HttpLogClient.at(fleet.platformAddress()), Clock.system(), PUBLISH_TIMEOUT_MILLIS)
			.publish("load", List.of(scheduled.change()));
	}

	private void send(String address, Workload.Arrival arrival, long dueMillis) {
		CallerClient.CompletionSpec spec = new CallerClient.CompletionSpec(arrival.workspace(), VirtualFleet.MODEL,
				arrival.prompt(), arrival.maxTokens(), "normal");
		this.sentRequests.add(new SentRequest(arrival.workspace(), dueMillis, this.client.stream(address, spec)));
	}

	private void printProgress(long nowMillis, long endMillis) {
		long open = this.sentRequests.stream().filter((request) -> !request.response().end().isDone()).count();
		this.out.println(nowMillis / 1_000 + " of " + endMillis / 1_000 + " s: " + this.sentRequests.size() + " sent, "
				+ open + " open");
	}

	private Measurement.Figures figures(long fromMillis, long untilMillis, EmbeddedFleet fleet) {
		Measurement measurement = Measurement.between(fromMillis, untilMillis);
		for (SentRequest request : this.sentRequests) {
			ReceivedResponse response = request.response();
			measurement.add(new Measurement.RequestHistory(request.workspace(), request.dueMillis(),
					response.tokenMillis(), outcome(response)));
			request.response().abort();
		}
		if (fleet == null) {
			return measurement.figures(0, 0);
		}
		return EngineTotals.of(fleet.engines().values()).figures(measurement);
	}

	private static Measurement.Outcome outcome(ReceivedResponse response) {
		if (!response.end().isDone()) {
			return Measurement.Outcome.OPEN;
		}
		if (response.completed()) {
			return Measurement.Outcome.COMPLETE;
		}
		return response.ran().equals("no") ? Measurement.Outcome.REFUSED : Measurement.Outcome.FAILED;
	}

	/**
	 * A configuration change to publish during the load. Immutable.
	 *
	 * @param atMillis time from the start of the load, in milliseconds
	 * @param change the change
	 */
	private record ScheduledChange(long atMillis, Change change) {
	}

	/**
	 * A request that was sent. Immutable.
	 *
	 * @param workspace workspace of the caller
	 * @param dueMillis time at which the request was due, in milliseconds
	 * @param response response as far as the caller has received it
	 */
	private record SentRequest(String workspace, long dueMillis, ReceivedResponse response) {
	}

}
