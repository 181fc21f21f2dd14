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
 * Command that publishes changes to the configuration.
 */
abstract class AbstractChangeVerb implements Verb {

	/**
	 * Maximum wait until the outcome of a change can be read from the log, in
	 * milliseconds.
	 */
	private static final long OUTCOME_TIMEOUT_MILLIS = 10_000;

	@AirlineModule
	PlatformOptions platform = new PlatformOptions();

	@AirlineModule
	OutputOptions output = new OutputOptions();

	@Option(name = "--dry-run", description = "Show the resulting configuration without publishing the change")
	boolean dryRun;

	@Option(name = "--operator", title = "NAME",
			description = "Name recorded with the change (default: name of the current user)")
	String operator = System.getProperty("user.name");

	@Option(name = "--based-on", title = "VERSION",
			description = "Version that the change is based on; rejected if it is not the current one (default: the current one)")
	String basedOn;

	/**
	 * Builds the changes from the command line. They are published as one proposal.
	 * @return the changes, in the order in which they are applied
	 * @throws RequestException if the input is malformed
	 * @throws IOException if a file cannot be read
	 */
	abstract List<Change> changes() throws RequestException, IOException;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		List<Change> changes = changes();
		ConfigurationPublisher publisher = newPublisher(this.platform);
		if (this.dryRun) {
			Configuration result = publisher.validate(changes);
			this.output.print(out, result, ConfigurationTable.toRows(result));
			return ExitCode.SUCCESS;
		}
		ConfigurationStateMachine.Decision decision = (this.basedOn == null) ? publisher.publish(this.operator, changes)
				: publisher.publish(this.operator, basedOnVersion(), changes);
		this.output.print(out, decision, List.of(List.of("VERSION", "CHANGE", "RESULT"),
				List.of(Long.toString(decision.offset()), decision.proposal().id(), decision.explanation())));
		return ExitCode.SUCCESS;
	}

	private long basedOnVersion() throws RequestException {
		SettingsReader reader = SettingsReader.of(System.getenv());
		long version = reader.number("based-on", this.basedOn, null, 0, Long.MAX_VALUE);
		reader.throwIfInvalid();
		return version;
	}

	/**
	 * Creates a publisher of configuration changes.
	 * @param platform addresses of the platform's systems
	 * @return a new publisher
	 * @throws RequestException if the address of the log is missing or invalid
	 */
	static ConfigurationPublisher newPublisher(PlatformOptions platform) throws RequestException {
		return ConfigurationPublisher.of(newLogClient(platform), Clock.system(), OUTCOME_TIMEOUT_MILLIS);
	}

	/**
	 * Creates a client of the log.
	 * @param platform addresses of the platform's systems
	 * @return a new client
	 * @throws RequestException if the address of the log is missing or invalid
	 */
	static HttpLogClient newLogClient(PlatformOptions platform) throws RequestException {
		SettingsReader reader = SettingsReader.of(System.getenv());
		String sharedAddress = reader.text("platform", platform.platform, "");
		String logAddress = reader.url("log-address", platform.log, sharedAddress.isEmpty() ? null : sharedAddress);
		reader.throwIfInvalid();
		return HttpLogClient.at(logAddress);
	}

	/**
	 * Creates an exception for malformed input, which ends the command with
	 * {@link ExitCode#BAD_INPUT}.
	 * @param message description of the error
	 * @return the exception to throw
	 */
	static RequestException invalidInput(String message) {
		return Failure.notRun(ResultCode.CONFIGURATION_INVALID, message).toException();
	}

}
