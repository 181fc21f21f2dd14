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
 * Prints help.
 */
@Command(name = "help", description = "Show help for the program or a command")
public class HelpVerb implements Verb {

	/** All commands. */
	@AirlineModule
	GlobalMetadata<Verb> global;

	/** Words of the command in question. */
	@Arguments(title = "command", description = "Command to show help for")
	List<String> words = new ArrayList<>();

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		if (!this.words.isEmpty() && !known(this.words.get(0))) {
			throw Failure.notRun(ResultCode.INVALID_SETTING, "there is no command " + this.words.get(0)).toException();
		}
		Help.help(this.global, this.words, out);
		return ExitCode.DONE;
	}

	private boolean known(String word) {
		boolean command = this.global.getDefaultGroupCommands()
			.stream()
			.anyMatch((metadata) -> metadata.getName().equals(word));
		return command || this.global.getCommandGroups().stream().anyMatch((group) -> group.getName().equals(word));
	}

}
