package io.dotterelcrank.daemon.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.daemon.client.HttpLogClient;
import io.dotterelcrank.daemon.command.Table;
import io.dotterelcrank.daemon.embedded.Fleet;
import io.dotterelcrank.daemon.embedded.Pause;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.standin.engine.EngineSettings;
import io.dotterelcrank.standin.fleet.VirtualFleet;
import io.dotterelcrank.version.Change;
import io.dotterelcrank.version.ConfigurationPublisher;

/**
 * Puts load on daemons over real sockets. Requests are sent at their due times whether or
 * not earlier ones have been answered, and latencies count from the due time. Belongs to
 * one thread.
 */
public final class LiveLoad {

	/** Time between progress lines, in milliseconds. */
	private static final long PROGRESS_MILLIS = 5_000;

	/** Longest wait for a fleet in this process, in milliseconds. */
	private static final long READY_MILLIS = 30_000;

	/** How long an operator looks for a change in the log, in milliseconds. */
	private static final long PUBLISH_MILLIS = 10_000;

	/** Where progress is printed. */
	private final PrintStream out;

	/** What is run. */
	private final PolicyBench.Settings settings;

	/** Arrival rate in requests per second. */
	private final double rate;

	/** The callers. */
	private final CallerClient client = CallerClient.create();

	/** Requests sent so far. */
	private final List<Sent> sent = new ArrayList<>();

	private LiveLoad(PrintStream out, PolicyBench.Settings settings, double rate) {
		this.out = out;
		this.settings = settings;
		this.rate = rate;
	}

	/**
	 * Puts load on running daemons, or on a fleet in this process for each pair of
	 * policies.
	 * @param out where progress is printed
	 * @param folder where results are written
	 * @param settings what is run
	 * @param rate arrival rate in requests per second
	 * @param entries addresses of running entry daemons; empty for a fleet in this
	 * process
	 * @throws IOException if an address cannot be bound or a file cannot be written
	 * @throws RequestException if a change of the configuration is refused
	 */
	public static void run(PrintStream out, Path folder, PolicyBench.Settings settings, double rate,
			List<String> entries) throws IOException, RequestException {
		List<PolicyBench.Result> results = new ArrayList<>();
		for (PolicyBench.Policies policies : settings.policies()) {
			LiveLoad load = new LiveLoad(out, settings, rate);
			Measurement.Figures figures = entries.isEmpty() ? load.inThisProcess(policies)
					: load.against(entries, null);
			results.add(new PolicyBench.Result(policies, settings.seeds().get(0), rate, figures));
			if (!entries.isEmpty()) {
				break;
			}
		}
		Table.print(out, Report.rows(results));
		Report.write(folder, settings, results);
		out.println("written to " + folder);
	}

	private Measurement.Figures inThisProcess(PolicyBench.Policies policies) throws IOException, RequestException {
		try (Fleet fleet = Fleet.start(new Fleet.Plan(policies.admission(), policies.routing()))) {
			EngineSettings engine = this.settings.coldStart() ? PolicyBench.engine()
					: PolicyBench.engine().startingWarm();
			Preset preset = this.settings.preset();
			for (String dataCentre : preset.dataCentres()) {
				for (int i = 1; i <= preset.enginesPerDataCentre(); i++) {
					fleet.addEngine(dataCentre + "-" + i, dataCentre, VirtualFleet.MODEL, engine);
				}
			}
			for (String dataCentre : preset.dataCentres()) {
				fleet.addEntry("entry-" + dataCentre, dataCentre, 0);
			}
			if (!fleet.awaitReady(READY_MILLIS)) {
				throw new IOException("the fleet did not become ready");
			}
			return against(fleet.callerAddresses(), fleet);
		}
	}

	private Measurement.Figures against(List<String> entries, Fleet fleet) throws RequestException {
		long startMillis = Clock.system().millis();
		long warmMillis = VirtualRun.WARM_UP_MILLIS / 4;
		long endMillis = warmMillis + this.settings.measureMillis();
		Workload workload = Workload.of(this.settings.seeds().get(0), this.settings.preset().workspaces());
		List<Workload.Arrival> arrivals = workload.arrivals(0, endMillis, this.rate);
		List<Event> events = events(fleet, warmMillis);
		long progressMillis = PROGRESS_MILLIS;
		for (int i = 0; i < arrivals.size(); i++) {
			Workload.Arrival arrival = arrivals.get(i);
			while (!events.isEmpty() && events.get(0).atMillis() <= arrival.atMillis()) {
				publish(fleet, events.remove(0));
			}
			Pause.millis(startMillis + arrival.atMillis() - Clock.system().millis());
			send(entries.get(i % entries.size()), arrival, startMillis + arrival.atMillis());
			if (arrival.atMillis() >= progressMillis) {
				progress(arrival.atMillis(), endMillis);
				progressMillis += PROGRESS_MILLIS;
			}
		}
		Pause.millis(startMillis + endMillis - Clock.system().millis());
		return figures(startMillis + warmMillis, startMillis + endMillis, fleet);
	}

	private List<Event> events(Fleet fleet, long warmMillis) {
		List<Event> events = new ArrayList<>();
		if (fleet != null && this.settings.scenario() == Scenario.DATA_CENTRE) {
			String first = this.settings.preset().dataCentres().get(0);
			long quarter = this.settings.measureMillis() / 4;
			events.add(new Event(warmMillis + quarter, new Change.DataCentreOut(first, "measured departure")));
			events.add(new Event(warmMillis + 2 * quarter, new Change.DataCentreBack(first)));
		}
		return events;
	}

	private void publish(Fleet fleet, Event event) throws RequestException {
		this.out.println("publishing " + event.change());
		ConfigurationPublisher.of(HttpLogClient.at(fleet.platformAddress()), Clock.system(), PUBLISH_MILLIS)
			.publish("load", List.of(event.change()));
	}

	private void send(String address, Workload.Arrival arrival, long dueMillis) {
		CallerClient.Wish wish = new CallerClient.Wish(arrival.workspace(), VirtualFleet.MODEL, arrival.prompt(),
				arrival.maxTokens(), "normal");
		this.sent.add(new Sent(arrival.workspace(), dueMillis, this.client.stream(address, wish)));
	}

	private void progress(long nowMillis, long endMillis) {
		long open = this.sent.stream().filter((request) -> !request.received().end().isDone()).count();
		this.out.println(nowMillis / 1_000 + " of " + endMillis / 1_000 + " s: " + this.sent.size() + " sent, " + open
				+ " open");
	}

	private Measurement.Figures figures(long fromMillis, long untilMillis, Fleet fleet) {
		Measurement measurement = Measurement.between(fromMillis, untilMillis);
		for (Sent request : this.sent) {
			Received received = request.received();
			measurement.add(new Measurement.History(request.workspace(), request.dueMillis(), received.tokenMillis(),
					end(received)));
			request.received().breakOff();
		}
		if (fleet == null) {
			return measurement.figures(0, 0);
		}
		return EngineTotals.of(fleet.engines().values()).figures(measurement);
	}

	private static Measurement.End end(Received received) {
		if (!received.end().isDone()) {
			return Measurement.End.OPEN;
		}
		if (received.whole()) {
			return Measurement.End.COMPLETE;
		}
		return received.ran().equals("no") ? Measurement.End.REFUSED : Measurement.End.FAILED;
	}

	/**
	 * Something that an operator does. Immutable.
	 *
	 * @param atMillis when, from the start, in milliseconds
	 * @param change the change
	 */
	private record Event(long atMillis, Change change) {
	}

	/**
	 * A request sent. Immutable.
	 *
	 * @param workspace workspace of the caller
	 * @param dueMillis when it was due, in milliseconds
	 * @param received what the caller receives
	 */
	private record Sent(String workspace, long dueMillis, Received received) {
	}

}
