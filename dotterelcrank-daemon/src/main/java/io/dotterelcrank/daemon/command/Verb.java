package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.request.RequestException;

/**
 * Command of the command-line interface. Run once, on the main thread.
 */
public interface Verb {

	/**
	 * Runs the command.
	 * @param out destination of the results
	 * @return the exit code
	 * @throws RequestException if the input is malformed or the command is refused
	 * @throws PlatformException if a system cannot be reached
	 * @throws IOException if an address cannot be bound or a file cannot be written
	 */
	ExitCode run(PrintStream out) throws RequestException, PlatformException, IOException;

}
