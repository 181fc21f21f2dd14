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
 * Generates load on a fleet, and measures it.
 */
@Command(name = "load", description = "Generate load on a fleet, and compare policies or measure capacity")
public class LoadVerb implements Verb {

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final long MAX_SECONDS = 3_600;

	private static final long MAX_LOAD_PERCENT = 400;

	@Option(name = "--mode", title = "MODE",
			description = "policy (default): simulation with the daemons' classes on a manual clock; live: daemons over sockets; capacity: how costs grow with load")
	String mode;

	@Option(name = "--preset", title = "NAME", description = "Deployment: nile (default), anadolu, scaled or single")
	String preset;

	@Option(name = "--policies", title = "LIST",
			description = "Comma-separated ADMISSION+ROUTING pairs (default: this system's policies and the baselines)")
	String policies;

	@Option(name = "--seeds", title = "LIST", description = "Comma-separated seeds of the workload (default 1,2,3)")
	String seeds;

	@Option(name = "--load-percent", title = "PERCENT",
			description = "Load in percent of the fleet's capacity (default 80)")
	String loadPercent;

	@Option(name = "--seconds", title = "SECONDS", description = "Length of the measurement in seconds (default 120)")
	String seconds;

	@Option(name = "--scenario", title = "NAME",
			description = "Scenario: steady (default), burst, data-centre, engine-dies, turns-cold, slow, flood or log-outage")
	String scenario;

	@Option(name = "--cold-start", description = "Start the engines cold")
	boolean coldStart;

	@Option(name = "--results", title = "FOLDER", description = "Folder for results and charts (default load-results)")
	String results;

	@Option(name = "--entries", title = "LIST",
			description = "Comma-separated addresses of running entry daemons (mode live; default: a fleet in this process)")
	String entries;

	@Option(name = "--rate", title = "REQUESTS", description = "Requests per second (mode live; default 20)")
	String rate;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		SettingsReader reader = SettingsReader.of(System.getenv());
		String modeName = reader.choice("mode", this.mode, "policy", "policy|live|capacity");
		String folderName = reader.text("results", this.results, "load-results");
		PolicyBench.Settings settings = settings(reader);
		long requestsPerSecond = reader.number("rate", this.rate, "20", 1, 10_000);
		reader.throwIfInvalid();
		logErrorsOnly();
		Path resultFolder = Path.of(folderName);
		switch (modeName) {
			case "capacity" -> CapacityBench.run(out, resultFolder);
			case "live" -> LiveLoad.run(out, resultFolder, settings, requestsPerSecond, entryAddresses());
			default -> comparePolicies(out, resultFolder, settings);
		}
		return ExitCode.SUCCESS;
	}

	/**
	 * Logs only errors, so that the events of the daemons are not mixed with the output.
	 */
	private static void logErrorsOnly() {
		((Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)).setLevel(Level.ERROR);
	}

	private List<String> entryAddresses() {
		return (this.entries == null) ? List.of() : Arrays.asList(this.entries.split(","));
	}

	private static void comparePolicies(PrintStream out, Path folder, PolicyBench.Settings settings)
			throws IOException {
		List<PolicyBench.Result> comparison = PolicyBench.of(settings)
			.run((finishedRun) -> out.println("finished: " + finishedRun));
		TablePrinter.print(out, Report.rows(comparison));
		Report.write(folder, settings, comparison);
		out.println("results written to " + folder);
	}

	private PolicyBench.Settings settings(SettingsReader reader) {
		List<Long> seedList = new ArrayList<>();
		for (String seed : reader.choice("seeds", this.seeds, "1,2,3", "[0-9]{1,9}(,[0-9]{1,9})*").split(",")) {
			seedList.add(seed.isEmpty() ? 0L : Long.parseLong(seed));
		}
		String defaultPolicies = "forecast+affinity,fixed-48+affinity,fixed-64+affinity,reserve-max+affinity,"
				+ "mean-length+affinity,forecast+round-robin,forecast+least-outstanding";
		List<PolicyBench.Policies> pairs = new ArrayList<>();
		for (String pair : reader
			.choice("policies", this.policies, defaultPolicies, "[a-z0-9-]+\\+[a-z0-9-]+(,[a-z0-9-]+\\+[a-z0-9-]+)*")
			.split(",")) {
			String[] names = pair.split("\\+");
			pairs.add(new PolicyBench.Policies(names[0], names[names.length - 1]));
		}
		int percent = (int) reader.number("load-percent", this.loadPercent, "80", 1, MAX_LOAD_PERCENT);
		long measureMillis = reader.number("seconds", this.seconds, "120", 1, MAX_SECONDS) * MILLIS_PER_SECOND;
		int threads = Math.max(1, Runtime.getRuntime().availableProcessors() - 1);
		return new PolicyBench.Settings(preset(reader), pairs, seedList, percent, 0, measureMillis, scenario(reader),
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
		for (Scenario candidate : Scenario.values()) {
			if (candidate.label().equals(name.toLowerCase(Locale.ROOT))) {
				return candidate;
			}
		}
		reader.addError("--scenario must be one of " + Arrays.stream(Scenario.values()).map(Scenario::label).toList());
		return Scenario.STEADY;
	}

}
