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
 * Flag for the log files to read. Set by the command line library.
 */
public class LogOptions {

	@Option(name = "--log", title = "FILE",
			description = "Log file of one process, or of several if each line starts with the name of its process; may be repeated")
	List<String> files;

	/**
	 * Reads and merges the files.
	 * @param out receives the number of skipped lines, if there are any
	 * @return the events of all files
	 * @throws RequestException if no file is named
	 * @throws IOException if a file cannot be read
	 */
	MergedLog read(PrintStream out) throws RequestException, IOException {
		if (this.files == null || this.files.isEmpty()) {
			throw Failure.notRun(ResultCode.INVALID_SETTING, "--log FILE is missing").toException();
		}
		MergedLog merged = MergedLog.read(this.files.stream().map(Path::of).toList());
		if (merged.skippedLines() > 0) {
			out.println(merged.skippedLines() + " lines without an event number were skipped");
		}
		return merged;
	}

}
