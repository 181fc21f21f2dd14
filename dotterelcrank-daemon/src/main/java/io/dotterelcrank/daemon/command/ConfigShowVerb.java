package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Configuration;

/**
 * Shows the configuration in force.
 */
@Command(name = "show", description = "Show the configuration in force, as the log has it")
public class ConfigShowVerb implements Verb {

	/** Where the platform's systems are. */
	@AirlineModule
	PlatformOptions platform = new PlatformOptions();

	/** Form of the result. */
	@AirlineModule
	OutputOptions output = new OutputOptions();

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		Configuration configuration = AbstractChangeVerb.publisher(this.platform).current();
		this.output.print(out, configuration, ConfigurationTable.of(configuration));
		return ExitCode.DONE;
	}

}
