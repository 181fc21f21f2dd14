package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.daemon.load.CapacityBench;
import io.dotterelcrank.daemon.load.LiveLoad;
import io.dotterelcrank.daemon.load.PolicyBench;
import io.dotterelcrank.daemon.load.Preset;
import io.dotterelcrank.daemon.load.Report;
import io.dotterelcrank.daemon.load.Scenario;
import io.dotterelcrank.daemon.settings.SettingsReader;
import io.dotterelcrank.request.RequestException;

/**
 * Puts load on a fleet and measures.
 */
@Command(name = "load", description = "Put load on a fleet, and compare policies or measure capacity")
public class LoadVerb implements Verb {

	/** Milliseconds in a second. */
	private static final long MILLIS_PER_SECOND = 1_000;

	/** Longest measurement, in seconds. */
	private static final long MOST_SECONDS = 3_600;

	/** Highest load, in percent of the capacity. */
	private static final long MOST_LOAD = 400;

	/** What is done. */
	@Option(name = "--mode", title = "MODE",
			description = "policy (default): the daemons' classes on a manual clock; live: daemons over sockets; capacity: slopes")
	String mode;

	/** Deployment. */
	@Option(name = "--preset", title = "NAME", description = "nile (default), anadolu, scaled or single")
	String preset;

	/** Policies to compare. */
	@Option(name = "--policies", title = "LIST",
			description = "ADMISSION+ROUTING pairs, separated by commas (default: this system's and the baselines)")
	String policies;

	/** Seeds of the workload. */
	@Option(name = "--seeds", title = "LIST", description = "Seeds, separated by commas (default 1,2,3)")
	String seeds;

	/** Wanted load. */
	@Option(name = "--load-percent", title = "PERCENT", description = "Load in percent of the capacity (default 80)")
	String load;

	/** Length of the measurement. */
	@Option(name = "--seconds", title = "SECONDS", description = "How long is measured (default 120)")
	String seconds;

	/** What happens meanwhile. */
	@Option(name = "--scenario", title = "NAME",
			description = "steady (default), burst, data-centre, engine-dies, turns-cold, slow, flood or log-outage")
	String scenario;

	/** Whether engines start cold. */
	@Option(name = "--cold-start", description = "Start the engines cold")
	boolean coldStart;

	/** Where results are written. */
	@Option(name = "--results", title = "FOLDER",
			description = "Where results and pictures are written (default load-results)")
	String results;

	/** Entry daemons to put load on. */
	@Option(name = "--entries", title = "LIST",
			description = "Addresses of running entry daemons, separated by commas (mode live; default: a fleet in this process)")
	String entries;

	/** Arrival rate. */
	@Option(name = "--rate", title = "REQUESTS", description = "Requests per second (mode live; default 20)")
	String rate;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		SettingsReader reader = SettingsReader.of(System.getenv());
		String chosen = reader.choice("mode", this.mode, "policy", "policy|live|capacity");
		String folder = reader.text("results", this.results, "load-results");
		PolicyBench.Settings settings = settings(reader);
		long rateWanted = reader.number("rate", this.rate, "20", 1, 10_000);
		reader.throwIfInvalid();
		logFaultsOnly();
		Path path = Path.of(folder);
		switch (chosen) {
			case "capacity" -> CapacityBench.run(out, path);
			case "live" -> LiveLoad.run(out, path, settings, rateWanted, addresses());
			default -> comparePolicies(out, path, settings);
		}
		return ExitCode.DONE;
	}

	/**
	 * Keeps the daemons' usual events out of the results.
	 */
	private static void logFaultsOnly() {
		((Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)).setLevel(Level.ERROR);
	}

	private List<String> addresses() {
		return (this.entries == null) ? List.of() : Arrays.asList(this.entries.split(","));
	}

	private static void comparePolicies(PrintStream out, Path path, PolicyBench.Settings settings) throws IOException {
		List<PolicyBench.Result> found = PolicyBench.of(settings).run((done) -> out.println("done: " + done));
		Table.print(out, Report.rows(found));
		Report.write(path, settings, found);
		out.println("written to " + path);
	}

	private PolicyBench.Settings settings(SettingsReader reader) {
		List<Long> seedList = new ArrayList<>();
		for (String seed : reader.choice("seeds", this.seeds, "1,2,3", "[0-9]{1,9}(,[0-9]{1,9})*").split(",")) {
			seedList.add(seed.isEmpty() ? 0L : Long.parseLong(seed));
		}
		String standard = "forecast+affinity,fixed-48+affinity,fixed-64+affinity,reserve-max+affinity,"
				+ "mean-length+affinity,forecast+round-robin,forecast+least-outstanding";
		List<PolicyBench.Policies> pairs = new ArrayList<>();
		for (String pair : reader
			.choice("policies", this.policies, standard, "[a-z0-9-]+\\+[a-z0-9-]+(,[a-z0-9-]+\\+[a-z0-9-]+)*")
			.split(",")) {
			String[] names = pair.split("\\+");
			pairs.add(new PolicyBench.Policies(names[0], names[names.length - 1]));
		}
		int loadPercent = (int) reader.number("load-percent", this.load, "80", 1, MOST_LOAD);
		long measured = reader.number("seconds", this.seconds, "120", 1, MOST_SECONDS) * MILLIS_PER_SECOND;
		int threads = Math.max(1, Runtime.getRuntime().availableProcessors() - 1);
		return new PolicyBench.Settings(preset(reader), pairs, seedList, loadPercent, 0, measured, scenario(reader),
				this.coldStart, threads);
	}

	private Preset preset(SettingsReader reader) {
		String name = reader.text("preset", this.preset, "nile");
		try {
			return Preset.named(name);
		}
		catch (RequestException ex) {
			reader.addError(ex.failure().message());
			return null;
		}
	}

	private Scenario scenario(SettingsReader reader) {
		String name = reader.text("scenario", this.scenario, "steady");
		for (Scenario known : Scenario.values()) {
			if (known.label().equals(name.toLowerCase(Locale.ROOT))) {
				return known;
			}
		}
		reader.addError("--scenario must be one of " + Arrays.stream(Scenario.values()).map(Scenario::label).toList());
		return Scenario.STEADY;
	}

}
