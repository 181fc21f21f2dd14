package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;

import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.common.SharedJsonMapper;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * Flag for the output format. Set by the command line library.
 */
public class OutputOptions {

	@Option(name = "--output", title = "FORM", description = "Output format: table (default) or json")
	String output = "table";

	/**
	 * Prints a result in the chosen format.
	 * @param out destination
	 * @param value the result, for JSON
	 * @param table the result as rows, for the table; the first row is the header
	 * @throws RequestException if the format is unknown
	 * @throws IOException if the result cannot be written
	 */
	void print(PrintStream out, Object value, List<List<String>> table) throws RequestException, IOException {
		switch (this.output) {
			case "json" ->
				out.println(SharedJsonMapper.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(value));
			case "table" -> TablePrinter.print(out, table);
			default -> throw Failure.notRun(ResultCode.INVALID_SETTING, "--output must be table or json").toException();
		}
	}

}
