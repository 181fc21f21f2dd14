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

	/** Most time for which a leaving daemon still takes requests, in milliseconds. */
	private static final long MOST_NOTICE_MILLIS = 600_000;

	/** Flags that both daemons have. */
	@AirlineModule
	DaemonOptions daemon = new DaemonOptions();

	/** Where the platform's systems are. */
	@AirlineModule
	PlatformOptions platform = new PlatformOptions();

	/** Name of the routing policy. */
	@Option(name = "--routing", title = "POLICY",
			description = "affinity (default), two-choices, least-outstanding or round-robin")
	String routing;

	/** Time for which a leaving daemon still takes requests. */
	@Option(name = "--notice-millis", title = "MS",
			description = "How long a leaving daemon still takes requests (default 5000)")
	String notice;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		EntryDaemon entry = EntryDaemon.of(settings());
		DaemonRunner.run(entry, () -> out.println("entry " + this.daemon.name + " serves callers on port "
				+ entry.port() + " and operators on port " + entry.operatorPort()));
		return ExitCode.DONE;
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
				reader.number("notice-millis", this.notice, "5000", 0, MOST_NOTICE_MILLIS));
		reader.throwIfInvalid();
		return settings;
	}

}
