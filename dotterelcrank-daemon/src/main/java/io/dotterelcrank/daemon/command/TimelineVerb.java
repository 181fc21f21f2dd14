package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.time.LocalTime;
import java.time.format.DateTimeParseException;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.daemon.logs.MergedLog;
import io.dotterelcrank.daemon.logs.ProcessView;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * Prints the state of each process at a point in time, reconstructed from its log.
 */
@Command(name = "timeline",
		description = "Print the state of each process at a point in time, reconstructed from its log")
public class TimelineVerb implements Verb {

	@AirlineModule
	LogOptions logs = new LogOptions();

	@Option(name = "--at", title = "TIME", description = "Time of day, as in the logs (default: the end of the logs)")
	String at;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		LocalTime until = parseTime();
		MergedLog log = this.logs.read(out);
		ProcessView.at(log, until).forEach((process, view) -> {
			out.println(process + " started=" + view.startedAt() + " plan=" + view.planVersion() + " dataCentresOut="
					+ view.dataCentresOut() + " tablesLost=" + view.unreachableTables());
			view.targets().forEach((target, state) -> out.println("  " + target + " " + state));
		});
		return ExitCode.SUCCESS;
	}

	private LocalTime parseTime() throws RequestException {
		try {
			return (this.at != null) ? LocalTime.parse(this.at) : LocalTime.MAX;
		}
		catch (DateTimeParseException ex) {
			throw Failure.notRun(ResultCode.INVALID_SETTING, "--at must be a time of day such as 10:15:30.250")
				.toException();
		}
	}

}
