package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.daemon.logs.MergedLog;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * Flag that names log files. Filled by the command line library.
 */
public class LogOptions {

	/** Log files. */
	@Option(name = "--log", title = "FILE",
			description = "Log of a process, or of several whose names stand before the time; may be repeated")
	List<String> files;

	/**
	 * Reads the files.
	 * @param out where the number of skipped lines is told
	 * @return their events
	 * @throws RequestException if no file is named
	 * @throws IOException if a file cannot be read
	 */
	MergedLog read(PrintStream out) throws RequestException, IOException {
		if (this.files == null || this.files.isEmpty()) {
			throw Failure.notRun(ResultCode.INVALID_SETTING, "--log must name a file").toException();
		}
		MergedLog logs = MergedLog.read(this.files.stream().map(Path::of).toList());
		if (logs.skippedLines() > 0) {
			out.println(logs.skippedLines() + " lines without a numbered event skipped");
		}
		return logs;
	}

}
