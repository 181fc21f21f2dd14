package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;

import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.process.platform.SharedJsonMapper;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * Flag that chooses the form of results. Filled by the command line library.
 */
public class OutputOptions {

	/** Form of results. */
	@Option(name = "--output", title = "FORM", description = "Form of the result: table (default) or json")
	String output = "table";

	/**
	 * Prints a result.
	 * @param out where to
	 * @param value the result, printed as JSON
	 * @param table the result as rows, the first one the heading
	 * @throws RequestException if the form is unknown
	 * @throws IOException if the result cannot be written
	 */
	void print(PrintStream out, Object value, List<List<String>> table) throws RequestException, IOException {
		switch (this.output) {
			case "json" ->
				out.println(SharedJsonMapper.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(value));
			case "table" -> Table.print(out, table);
			default -> throw Failure.notRun(ResultCode.INVALID_SETTING, "--output must be table or json").toException();
		}
	}

}
