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
 * Prints what processes believed at a time, by their logs.
 */
@Command(name = "timeline", description = "Print what processes believed at a time, by their log files")
public class TimelineVerb implements Verb {

	/** Where the logs are. */
	@AirlineModule
	LogOptions logs = new LogOptions();

	/** Time of day. */
	@Option(name = "--at", title = "TIME", description = "Time of day, as in the logs; the end of the logs by default")
	String at;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		LocalTime until = time();
		MergedLog read = this.logs.read(out);
		ProcessView.at(read, until).forEach((process, beliefs) -> {
			out.println(process + " started=" + beliefs.startedAt() + " plan=" + beliefs.planVersion()
					+ " dataCentresOut=" + beliefs.dataCentresOut() + " tablesLost=" + beliefs.unreachableTables());
			beliefs.targets().forEach((target, state) -> out.println("  " + target + " " + state));
		});
		return ExitCode.DONE;
	}

	private LocalTime time() throws RequestException {
		try {
			return (this.at != null) ? LocalTime.parse(this.at) : LocalTime.MAX;
		}
		catch (DateTimeParseException ex) {
			throw Failure.notRun(ResultCode.INVALID_SETTING, "--at must be a time of day, as 10:15:30.250")
				.toException();
		}
	}

}
