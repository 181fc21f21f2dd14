package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.daemon.logs.LogLine;
import io.dotterelcrank.daemon.logs.MergedLog;
import io.dotterelcrank.daemon.logs.RequestTrace;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * Prints the log events of one request and their context, merged from the logs of all
 * processes.
 */
@Command(name = "explain",
		description = "Print the log events of one request and their context, merged from the logs of all processes")
public class ExplainVerb implements Verb {

	@AirlineModule
	LogOptions logs = new LogOptions();

	@Arguments(title = "id", description = "Id of the request: the value of request= in the logs")
	List<String> arguments;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		if (this.arguments == null || this.arguments.size() != 1) {
			throw Failure.notRun(ResultCode.INVALID_SETTING, "usage: explain ID --log FILE").toException();
		}
		MergedLog log = this.logs.read(out);
		RequestTrace trace = RequestTrace.of(this.arguments.get(0), log);
		if (trace.lines().isEmpty()) {
			out.println("none of the " + log.lines().size() + " events belongs to request " + this.arguments.get(0));
			return ExitCode.REFUSED;
		}
		for (LogLine line : trace.lines()) {
			out.println(line.time() + " " + line.process() + " DC" + line.eventNumber() + " " + line.text());
		}
		return ExitCode.SUCCESS;
	}

}
