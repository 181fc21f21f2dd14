package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.daemon.embedded.Demo;
import io.dotterelcrank.daemon.embedded.EmbeddedFleet;
import io.dotterelcrank.daemon.settings.SettingsReader;
import io.dotterelcrank.daemon.wiring.Daemon;
import io.dotterelcrank.request.RequestException;

/**
 * Runs an embedded fleet, and checks what its callers receive.
 */
@Command(name = "demo", description = "Run a small fleet in one process, and check its guarantees")
public class DemoVerb implements Verb {

	@Option(name = "--serve", description = "Keep the fleet running, and print its addresses")
	boolean serve;

	@Option(name = "--port", title = "PORT", description = "Port of the first entry daemon (default: a free one)")
	String port;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		SettingsReader reader = SettingsReader.of(System.getenv());
		int entryPort = reader.port("port", this.port, "0");
		reader.throwIfInvalid();
		out.println("starting two data centres with four engines, a plain service and two entry daemons");
		if (this.serve) {
			serve(out, entryPort);
			return ExitCode.SUCCESS;
		}
		try (EmbeddedFleet fleet = Demo.startFleet(entryPort)) {
			return printChecks(out, Demo.run(out, fleet));
		}
	}

	private static ExitCode printChecks(PrintStream out, List<Demo.Check> checks) {
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("GUARANTEE", "HELD", "VIOLATION"));
		checks.forEach((check) -> rows.add(List.of(check.guarantee(), check.held() ? "yes" : "NO", check.violation())));
		TablePrinter.print(out, rows);
		return checks.stream().allMatch(Demo.Check::held) ? ExitCode.SUCCESS : ExitCode.REFUSED;
	}

	private static void serve(PrintStream out, int entryPort) throws IOException {
		FleetDaemon daemon = new FleetDaemon(entryPort);
		DaemonRunner.run(daemon, () -> {
			out.println("platform    " + daemon.fleet.platformAddress());
			daemon.fleet.callerAddresses().forEach((address) -> out.println("callers     " + address));
			daemon.fleet.entries()
				.forEach((name, entry) -> out.println("operators   http://" + EmbeddedFleet.LOOPBACK + ":"
						+ entry.operatorPort() + " (" + name + ")"));
			out.println("curl -N " + daemon.fleet.callerAddresses().get(0)
					+ "/v1/completions -H 'Workspace: demo' -H 'Content-Type: application/json'"
					+ " -d '{\"model\":\"bench-model\",\"prompt\":\"a note on a dented bell\",\"max_tokens\":50,\"stream\":true}'");
			out.println("bin/dotterelcrank status --platform " + daemon.fleet.platformAddress());
		});
	}

	/**
	 * Runs the embedded fleet as a daemon. Not thread-safe.
	 */
	private static final class FleetDaemon implements Daemon {

		private final int entryPort;

		/** {@code null} until started. */
		private EmbeddedFleet fleet;

		FleetDaemon(int entryPort) {
			this.entryPort = entryPort;
		}

		@Override
		public void start() throws IOException {
			this.fleet = Demo.startFleet(this.entryPort);
		}

		@Override
		public void stop() {
			this.fleet.entries().values().forEach(Daemon::stop);
			this.fleet.sidecars().values().forEach(Daemon::stop);
			this.fleet.close();
		}

		@Override
		public void kill() {
			this.fleet.close();
		}

	}

}
