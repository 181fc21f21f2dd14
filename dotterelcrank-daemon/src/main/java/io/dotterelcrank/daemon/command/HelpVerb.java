package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * Prints help for the program or a command.
 */
@Command(name = "help", description = "Show help for the program or a command")
public class HelpVerb implements Verb {

	@AirlineModule
	GlobalMetadata<Verb> metadata;

	@Arguments(title = "command", description = "Command to show help for")
	List<String> commandPath = new ArrayList<>();

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		if (!this.commandPath.isEmpty() && !commandExists(this.commandPath.get(0))) {
			throw Failure.notRun(ResultCode.INVALID_SETTING, "unknown command: " + this.commandPath.get(0))
				.toException();
		}
		Help.help(this.metadata, this.commandPath, out);
		return ExitCode.SUCCESS;
	}

	private boolean commandExists(String name) {
		boolean topLevel = this.metadata.getDefaultGroupCommands()
			.stream()
			.anyMatch((candidate) -> candidate.getName().equals(name));
		return topLevel || this.metadata.getCommandGroups().stream().anyMatch((group) -> group.getName().equals(name));
	}

}
