package io.dotterelcrank.daemon.http;

import io.undertow.server.HttpServerExchange;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * Request headers of a caller. Immutable.
 *
 * @param workspace workspace of the caller
 * @param priority admission priority
 * @param idempotencyKey idempotency key, or an empty string
 * @param lastEventId id of the last event received, or an empty string
 * @param deadlineMillis time until the caller gives up, in milliseconds
 */
record CallerHeaders(String workspace, Priority priority, String idempotencyKey, String lastEventId,
		long deadlineMillis) {

	/** Maximum deadline of a generation, which is also its default, in milliseconds. */
	static final long MAX_GENERATION_DEADLINE_MILLIS = 7_200_000;

	/** Maximum deadline of a service call, in milliseconds. */
	static final long MAX_CALL_DEADLINE_MILLIS = 600_000;

	/** Deadline of a service call that does not set one, in milliseconds. */
	private static final long DEFAULT_CALL_DEADLINE_MILLIS = 10_000;

	/** Maximum length of the workspace, key and event id, in characters. */
	private static final int MAX_HEADER_VALUE_LENGTH = 200;

	/**
	 * Reads the headers of a completion request.
	 * @param exchange the exchange
	 * @return the headers
	 * @throws RequestException if a header is missing or invalid
	 */
	static CallerHeaders forGeneration(HttpServerExchange exchange) throws RequestException {
		return read(exchange, MAX_GENERATION_DEADLINE_MILLIS, MAX_GENERATION_DEADLINE_MILLIS);
	}

	/**
	 * Reads the headers of a service call.
	 * @param exchange the exchange
	 * @return the headers
	 * @throws RequestException if a header is missing or invalid
	 */
	static CallerHeaders forServiceCall(HttpServerExchange exchange) throws RequestException {
		return read(exchange, DEFAULT_CALL_DEADLINE_MILLIS, MAX_CALL_DEADLINE_MILLIS);
	}

	private static CallerHeaders read(HttpServerExchange exchange, long defaultMillis, long maxMillis)
			throws RequestException {
		String workspace = header(exchange, "Workspace");
		if (workspace.isBlank()) {
			throw invalidRequest("the Workspace header is missing");
		}
		return new CallerHeaders(workspace, Priority.parse(exchange.getRequestHeaders().getFirst("Priority")),
				header(exchange, "Idempotency-Key"), header(exchange, "Last-Event-ID"),
				deadline(exchange, defaultMillis, maxMillis));
	}

	private static String header(HttpServerExchange exchange, String name) throws RequestException {
		String value = exchange.getRequestHeaders().getFirst(name);
		if (value != null && value.length() > MAX_HEADER_VALUE_LENGTH) {
			throw invalidRequest(name + " is longer than " + MAX_HEADER_VALUE_LENGTH + " characters");
		}
		return (value != null) ? value : "";
	}

	private static long deadline(HttpServerExchange exchange, long defaultMillis, long maxMillis)
			throws RequestException {
		String value = exchange.getRequestHeaders().getFirst("Deadline-Millis");
		if (value == null) {
			return defaultMillis;
		}
		if (!value.matches("[1-9][0-9]{0,8}") || Long.parseLong(value) > maxMillis) {
			throw invalidRequest("Deadline-Millis must be an integer from 1 to " + maxMillis);
		}
		return Long.parseLong(value);
	}

	private static RequestException invalidRequest(String message) {
		return Failure.notRun(ResultCode.INVALID_REQUEST, message).toException();
	}

}
