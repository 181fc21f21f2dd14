package io.dotterelcrank.process.relay;

import java.util.List;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Header;

/**
 * The way back to one caller. Ends with {@link #end}, {@link #sendResponse},
 * {@link #sendError} or {@link #abort}; calls after that, or after the caller has gone,
 * do nothing. Belongs to the traffic thread.
 */
public interface CallerChannel {

	/**
	 * Sends a whole answer.
	 * @param status the HTTP status
	 * @param headers headers
	 * @param body body
	 */
	void sendResponse(int status, List<Header> headers, byte[] body);

	/**
	 * Starts an answer whose body follows in pieces.
	 * @param status the HTTP status
	 * @param headers headers
	 */
	void startResponse(int status, List<Header> headers);

	/**
	 * Sends a piece of the body.
	 * @param piece bytes, not modified afterwards
	 */
	void write(byte[] piece);

	/**
	 * Ends an answer that was started, as complete.
	 */
	void end();

	/**
	 * Answers with a failure of this system.
	 * @param failure the failure
	 */
	void sendError(Failure failure);

	/**
	 * Breaks an answer off, so that it does not look complete.
	 */
	void abort();

	/**
	 * Tells whether the caller reads as fast as pieces are sent.
	 * @return {@code false} while too many bytes wait
	 */
	boolean writable();

}
