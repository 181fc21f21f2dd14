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
	public ExitCode run(PrintStream out) throws IOException {
		Help.help(this.global, this.words, out);
		return ExitCode.DONE;
	}

}
