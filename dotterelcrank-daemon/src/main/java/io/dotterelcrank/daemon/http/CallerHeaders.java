package io.dotterelcrank.daemon.http;

import io.undertow.server.HttpServerExchange;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * Headers that callers send. Immutable.
 *
 * @param workspace workspace of the caller
 * @param priority admission priority
 * @param key idempotency key, or an empty string
 * @param lastEventId id of the last event received, or an empty string
 * @param deadlineMillis time until the caller gives up, in milliseconds
 */
record CallerHeaders(String workspace, Priority priority, String key, String lastEventId, long deadlineMillis) {

	/** Largest deadline of a generation, in milliseconds. */
	static final long MOST_GENERATION_MILLIS = 7_200_000;

	/** Largest deadline of a call, in milliseconds. */
	static final long MOST_CALL_MILLIS = 600_000;

	/** Deadline of a call without a wish of the caller, in milliseconds. */
	private static final long STANDARD_CALL_MILLIS = 10_000;

	/** Largest length of names and keys, in characters. */
	private static final int LONGEST = 200;

	/**
	 * Reads the headers of a completion request.
	 * @param exchange the exchange
	 * @return the headers
	 * @throws RequestException if a header is missing or wrong
	 */
	static CallerHeaders forGeneration(HttpServerExchange exchange) throws RequestException {
		return read(exchange, MOST_GENERATION_MILLIS, MOST_GENERATION_MILLIS);
	}

	/**
	 * Reads the headers of a call.
	 * @param exchange the exchange
	 * @return the headers
	 * @throws RequestException if a header is missing or wrong
	 */
	static CallerHeaders forCall(HttpServerExchange exchange) throws RequestException {
		return read(exchange, STANDARD_CALL_MILLIS, MOST_CALL_MILLIS);
	}

	private static CallerHeaders read(HttpServerExchange exchange, long standardMillis, long mostMillis)
			throws RequestException {
		String workspace = text(exchange, "Workspace");
		if (workspace.isBlank()) {
			throw wrong("the Workspace header is missing");
		}
		return new CallerHeaders(workspace, Priority.parse(exchange.getRequestHeaders().getFirst("Priority")),
				text(exchange, "Idempotency-Key"), text(exchange, "Last-Event-ID"),
				deadline(exchange, standardMillis, mostMillis));
	}

	private static String text(HttpServerExchange exchange, String name) throws RequestException {
		String value = exchange.getRequestHeaders().getFirst(name);
		if (value != null && value.length() > LONGEST) {
			throw wrong(name + " is longer than " + LONGEST + " characters");
		}
		return (value != null) ? value : "";
	}

	private static long deadline(HttpServerExchange exchange, long standardMillis, long mostMillis)
			throws RequestException {
		String value = exchange.getRequestHeaders().getFirst("Deadline-Millis");
		if (value == null) {
			return standardMillis;
		}
		if (!value.matches("[1-9][0-9]{0,8}") || Long.parseLong(value) > mostMillis) {
			throw wrong("Deadline-Millis must be a whole number from 1 to " + mostMillis);
		}
		return Long.parseLong(value);
	}

	private static RequestException wrong(String message) {
		return Failure.notRun(ResultCode.INVALID_REQUEST, message).toException();
	}

}
