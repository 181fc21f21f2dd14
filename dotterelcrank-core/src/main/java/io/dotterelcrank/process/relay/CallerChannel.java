package io.dotterelcrank.process.relay;

import java.util.List;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Header;

/**
 * Channel for the response to one caller. Closed by {@link #end}, {@link #sendResponse},
 * {@link #sendError} or {@link #abort}; later calls, and calls after the caller has
 * disconnected, do nothing. Confined to the traffic thread.
 */
public interface CallerChannel {

	/**
	 * Sends a complete response.
	 * @param status the HTTP status of the target's response
	 * @param headers headers of the target's response to forward
	 * @param body whole body, unchanged
	 */
	void sendResponse(int status, List<Header> headers, byte[] body);

	/**
	 * Starts a response whose body follows in pieces.
	 * @param status the HTTP status of the target's response
	 * @param headers headers of the target's response to forward
	 */
	void startResponse(int status, List<Header> headers);

	/**
	 * Sends a piece of the body of a started response.
	 * @param piece bytes, not modified afterwards
	 */
	void write(byte[] piece);

	/**
	 * Completes a started response.
	 */
	void end();

	/**
	 * Sends an error response of this system.
	 * @param failure result code, message and whether the request ran
	 */
	void sendError(Failure failure);

	/**
	 * Aborts a started response so that the caller sees it as incomplete. Without one,
	 * the caller gets an internal error.
	 */
	void abort();

	/**
	 * Reads what has arrived from the caller, its close included.
	 * @return whether the caller is still connected; if not,
	 * {@link RelayedRequest#callerDisconnected} is called now or soon
	 */
	boolean readArrived();

	/**
	 * Returns whether the caller's connection accepts more bytes.
	 * @return {@code false} while too many bytes are buffered
	 */
	boolean writable();

}
