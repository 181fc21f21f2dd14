package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.ExceptionRule;

/**
 * Lists the exceptions in force.
 */
@Command(name = "list", description = "List the exceptions in force")
public class ExceptionListVerb implements Verb {

	/** Where the platform's systems are. */
	@AirlineModule
	PlatformOptions platform = new PlatformOptions();

	/** Form of the result. */
	@AirlineModule
	OutputOptions output = new OutputOptions();

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		List<ExceptionRule> rules = AbstractChangeVerb.publisher(this.platform).current().exceptions();
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("ID", "SCOPE", "SUBJECT", "SETTING", "VALUE", "REASON"));
		for (ExceptionRule rule : rules) {
			rows.add(List.of(rule.id(), rule.scope().name(), rule.subject(), rule.setting().label(),
					Long.toString(rule.value()), rule.reason()));
		}
		this.output.print(out, rules, rows);
		return ExitCode.DONE;
	}

}
