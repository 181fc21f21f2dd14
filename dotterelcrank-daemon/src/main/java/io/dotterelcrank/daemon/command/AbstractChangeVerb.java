package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.daemon.client.HttpLogClient;
import io.dotterelcrank.daemon.settings.SettingsReader;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.version.Change;
import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.ConfigurationPublisher;
import io.dotterelcrank.version.ConfigurationStateMachine;

/**
 * A command that publishes changes to the configuration. Run once, on the main thread.
 */
abstract class AbstractChangeVerb implements Verb {

	/** How long to look for a change in the log, in milliseconds. */
	private static final long LIMIT_MILLIS = 10_000;

	/** Where the platform's systems are. */
	@AirlineModule
	PlatformOptions platform = new PlatformOptions();

	/** Form of the result. */
	@AirlineModule
	OutputOptions output = new OutputOptions();

	/** Whether the effect is only shown. */
	@Option(name = "--dry-run", description = "Show the configuration that would result, and publish nothing")
	boolean dryRun;

	/** Who publishes. */
	@Option(name = "--operator", title = "NAME", description = "Who publishes (default: the user's name)")
	String operator = System.getProperty("user.name");

	/** Version that the change is based on. */
	@Option(name = "--based-on", title = "VERSION",
			description = "Version that you saw (default: the one in force now)")
	String basedOn;

	/**
	 * Returns the changes to publish.
	 * @return the changes, in order
	 * @throws RequestException if the input is malformed
	 * @throws IOException if a file cannot be read
	 */
	abstract List<Change> changes() throws RequestException, IOException;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		List<Change> changes = changes();
		ConfigurationPublisher publisher = publisher(this.platform);
		if (this.dryRun) {
			Configuration result = publisher.validate(changes);
			this.output.print(out, result, ConfigurationTable.of(result));
			return ExitCode.DONE;
		}
		ConfigurationStateMachine.Decision decision = (this.basedOn == null) ? publisher.publish(this.operator, changes)
				: publisher.publish(this.operator, version(), changes);
		this.output.print(out, decision, List.of(List.of("VERSION", "CHANGE", "RESULT"),
				List.of(Long.toString(decision.offset()), decision.proposal().id(), decision.explanation())));
		return ExitCode.DONE;
	}

	private long version() throws RequestException {
		SettingsReader reader = SettingsReader.of(System.getenv());
		long version = reader.number("based-on", this.basedOn, null, 0, Long.MAX_VALUE);
		reader.throwIfInvalid();
		return version;
	}

	/**
	 * Connects to the log.
	 * @param platform where the platform's systems are
	 * @return a publisher
	 * @throws RequestException if an address is missing or wrong
	 */
	static ConfigurationPublisher publisher(PlatformOptions platform) throws RequestException {
		return ConfigurationPublisher.of(log(platform), Clock.system(), LIMIT_MILLIS);
	}

	/**
	 * Connects to the log.
	 * @param platform where the platform's systems are
	 * @return the log
	 * @throws RequestException if an address is missing or wrong
	 */
	static HttpLogClient log(PlatformOptions platform) throws RequestException {
		SettingsReader reader = SettingsReader.of(System.getenv());
		String all = reader.text("platform", platform.platform, "");
		String address = reader.url("log-address", platform.log, all.isEmpty() ? null : all);
		reader.throwIfInvalid();
		return HttpLogClient.at(address);
	}

	/**
	 * Refuses malformed input.
	 * @param message what is wrong
	 * @return an exception to throw
	 */
	static RequestException wrong(String message) {
		return Failure.notRun(ResultCode.CONFIGURATION_INVALID, message).toException();
	}

}
