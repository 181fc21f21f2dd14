package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.ConfigurationLog;
import io.dotterelcrank.version.ConfigurationStateMachine;

/**
 * Lists the changes still kept in the log, and whether each was accepted or rejected.
 */
@Command(name = "history",
		description = "List the changes still kept in the log, and whether each was accepted or rejected")
public class ConfigHistoryVerb implements Verb {

	@AirlineModule
	PlatformOptions platform = new PlatformOptions();

	@AirlineModule
	OutputOptions output = new OutputOptions();

	@Override
	public ExitCode run(PrintStream out) throws RequestException, PlatformException, IOException {
		List<ConfigurationStateMachine.Decision> decisions = ConfigurationLog
			.of(AbstractChangeVerb.newLogClient(this.platform))
			.readToEnd();
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("OFFSET", "OPERATOR", "BASED ON", "RESULT", "CHANGES"));
		for (ConfigurationStateMachine.Decision decision : decisions) {
			rows.add(List.of(Long.toString(decision.offset()), String.valueOf(decision.proposal().operator()),
					Long.toString(decision.proposal().basedOn()),
					(decision.accepted() ? "accepted: " : "rejected: ") + decision.explanation(),
					String.valueOf(decision.proposal().changes())));
		}
		this.output.print(out, decisions, rows);
		return ExitCode.SUCCESS;
	}

}
