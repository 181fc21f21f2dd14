package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;

import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.request.RequestException;

/**
 * Shows the configuration that would result from the changes in a file, without
 * publishing them.
 */
@Command(name = "validate", description = "Show the configuration that would result from the changes in a file")
public class ConfigValidateVerb extends ConfigPublishVerb {

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		this.dryRun = true;
		return super.run(out);
	}

}
