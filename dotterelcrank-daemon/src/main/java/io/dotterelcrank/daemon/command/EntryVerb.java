package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.daemon.settings.EntrySettings;
import io.dotterelcrank.daemon.settings.SettingsReader;
import io.dotterelcrank.daemon.wiring.EntryDaemon;
import io.dotterelcrank.request.RequestException;

/**
 * Runs an entry daemon.
 */
@Command(name = "entry", description = "Run an entry daemon")
public class EntryVerb implements Verb {

	/**
	 * Maximum time for which a stopping daemon still accepts requests, in milliseconds.
	 */
	private static final long MAX_NOTICE_MILLIS = 600_000;

	@AirlineModule
	DaemonOptions daemon = new DaemonOptions();

	@AirlineModule
	PlatformOptions platform = new PlatformOptions();

	@Option(name = "--routing", title = "POLICY",
			description = "Routing policy: affinity (default), two-choices, least-outstanding or round-robin")
	String routing;

	@Option(name = "--notice-millis", title = "MS",
			description = "How long the daemon still accepts requests after a termination signal (default 5000)")
	String noticeMillis;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		EntryDaemon entry = EntryDaemon.of(settings());
		DaemonRunner.run(entry, () -> out.println("entry " + this.daemon.name + " serves callers on port "
				+ entry.port() + " and operators on port " + entry.operatorPort()));
		return ExitCode.SUCCESS;
	}

	private EntrySettings settings() throws RequestException {
		SettingsReader reader = SettingsReader.of(System.getenv());
		EntrySettings settings = new EntrySettings(reader.name("name", this.daemon.name, null),
				reader.name("data-centre", this.daemon.dataCentre, null),
				reader.ipAddress("address", this.daemon.address, "127.0.0.1"),
				reader.port("port", this.daemon.port, "8080"),
				reader.port("operator-port", this.daemon.operatorPort, "0"),
				reader.text("operator-token", this.daemon.operatorToken, ""), this.platform.read(reader),
				reader.choice("routing", this.routing, "affinity",
						"affinity|two-choices|least-outstanding|round-robin"),
				reader.number("notice-millis", this.noticeMillis, "5000", 0, MAX_NOTICE_MILLIS));
		reader.throwIfInvalid();
		return settings;
	}

}
