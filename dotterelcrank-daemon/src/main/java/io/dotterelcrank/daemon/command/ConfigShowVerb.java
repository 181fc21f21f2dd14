package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Configuration;

/**
 * Shows the current configuration, as read from the log.
 */
@Command(name = "show", description = "Show the current configuration, as read from the log")
public class ConfigShowVerb implements Verb {

	@AirlineModule
	PlatformOptions platform = new PlatformOptions();

	@AirlineModule
	OutputOptions output = new OutputOptions();

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		Configuration configuration = AbstractChangeVerb.newPublisher(this.platform).current();
		this.output.print(out, configuration, ConfigurationTable.toRows(configuration));
		return ExitCode.SUCCESS;
	}

}
