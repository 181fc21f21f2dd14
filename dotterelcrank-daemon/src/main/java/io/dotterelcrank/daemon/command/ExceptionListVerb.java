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
 * Lists the current exceptions.
 */
@Command(name = "list", description = "List the current exceptions")
public class ExceptionListVerb implements Verb {

	@AirlineModule
	PlatformOptions platform = new PlatformOptions();

	@AirlineModule
	OutputOptions output = new OutputOptions();

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		List<ExceptionRule> rules = AbstractChangeVerb.newPublisher(this.platform).current().exceptions();
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("ID", "SCOPE", "SUBJECT", "SETTING", "VALUE", "REASON"));
		for (ExceptionRule rule : rules) {
			rows.add(List.of(rule.id(), rule.scope().name(), rule.subject(), rule.setting().label(),
					Long.toString(rule.value()), rule.reason()));
		}
		this.output.print(out, rules, rows);
		return ExitCode.SUCCESS;
	}

}
