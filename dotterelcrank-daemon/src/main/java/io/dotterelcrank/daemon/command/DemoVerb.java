package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.daemon.embedded.Demo;
import io.dotterelcrank.daemon.embedded.Fleet;
import io.dotterelcrank.daemon.settings.SettingsReader;
import io.dotterelcrank.daemon.wiring.Daemon;
import io.dotterelcrank.request.RequestException;

/**
 * Shows the system at work in one process.
 */
@Command(name = "demo", description = "Run a small fleet in one process, and check the promises")
public class DemoVerb implements Verb {

	/** Whether the fleet stays up. */
	@Option(name = "--serve", description = "Keep the fleet up, and print its addresses")
	boolean serve;

	/** Port of the first entry daemon. */
	@Option(name = "--port", title = "PORT", description = "Port of the first entry daemon (default a free one)")
	String port;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		SettingsReader reader = SettingsReader.of(System.getenv());
		int number = reader.port("port", this.port, "0");
		reader.throwIfInvalid();
		out.println("starting two data centres with four engines, a plain service and two entry daemons");
		if (this.serve) {
			serve(out, number);
			return ExitCode.DONE;
		}
		try (Fleet fleet = Demo.fleet(number)) {
			return report(out, Demo.run(out, fleet));
		}
	}

	private static ExitCode report(PrintStream out, List<Demo.Check> checks) {
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("PROMISE", "KEPT", "FAULT"));
		checks.forEach((check) -> rows.add(List.of(check.promise(), check.kept() ? "yes" : "NO", check.fault())));
		Table.print(out, rows);
		return checks.stream().allMatch(Demo.Check::kept) ? ExitCode.DONE : ExitCode.REFUSED;
	}

	private static void serve(PrintStream out, int port) throws IOException {
		ServedFleet served = new ServedFleet(port);
		DaemonRunner.run(served, () -> {
			out.println("platform    " + served.fleet.platformAddress());
			served.fleet.callerAddresses().forEach((address) -> out.println("callers     " + address));
			served.fleet.entries()
				.forEach((name, entry) -> out
					.println("operators   http://" + Fleet.LOOPBACK + ":" + entry.operatorPort() + " (" + name + ")"));
			out.println("curl -N " + served.fleet.callerAddresses().get(0)
					+ "/v1/completions -H 'Workspace: demo' -H 'Content-Type: application/json'"
					+ " -d '{\"model\":\"bench-model\",\"prompt\":\"a note on a dented bell\",\"max_tokens\":50,\"stream\":true}'");
			out.println("bin/dotterelcrank status --platform " + served.fleet.platformAddress());
		});
	}

	/**
	 * A fleet that runs until it is told to terminate. Belongs to one thread.
	 */
	private static final class ServedFleet implements Daemon {

		/** Port of the first entry daemon. */
		private final int port;

		/** The fleet, once started. */
		private Fleet fleet;

		ServedFleet(int port) {
			this.port = port;
		}

		@Override
		public void start() throws IOException {
			this.fleet = Demo.fleet(this.port);
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
