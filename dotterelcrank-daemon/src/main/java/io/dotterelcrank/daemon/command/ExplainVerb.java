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
 * Prints what logs tell of one request.
 */
@Command(name = "explain", description = "Print what log files tell of one request, over all processes")
public class ExplainVerb implements Verb {

	/** Where the logs are. */
	@AirlineModule
	LogOptions logs = new LogOptions();

	/** Id of the request. */
	@Arguments(title = "id", description = "Id of the request, as the caller sent it")
	List<String> words;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		if (this.words == null || this.words.size() != 1) {
			throw Failure.notRun(ResultCode.INVALID_SETTING, "explain takes the id of one request").toException();
		}
		MergedLog read = this.logs.read(out);
		RequestTrace story = RequestTrace.of(this.words.get(0), read);
		if (story.lines().isEmpty()) {
			out.println("no event of " + read.lines().size() + " names request " + this.words.get(0));
			return ExitCode.REFUSED;
		}
		for (LogLine line : story.lines()) {
			out.println(line.time() + " " + line.process() + " DC" + line.eventNumber() + " " + line.text());
		}
		return ExitCode.DONE;
	}

}
