package io.dotterelcrank.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import io.dotterelcrank.process.platform.SharedJsonMapper;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Ran;

/**
 * Error as callers see it. Immutable.
 *
 * @param error the error
 */
public record ErrorBody(Detail error) {

	/** Milliseconds in a second. */
	private static final long MILLIS_PER_SECOND = 1_000;

	/**
	 * Describes a failure.
	 * @param failure the failure
	 * @return the body
	 */
	public static ErrorBody of(Failure failure) {
		return new ErrorBody(new Detail(failure.code().number(), failure.code().name(), failure.message(),
				failure.ran(), failure.retryAfterMillis(), failure.code().advice()));
	}

	/**
	 * Answers with a failure.
	 * @param exchange the exchange
	 * @param failure the failure
	 */
	static void send(HttpServerExchange exchange, Failure failure) {
		if (exchange.isResponseStarted()) {
			exchange.endExchange();
			return;
		}
		exchange.setStatusCode(failure.code().httpStatus());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		if (failure.retryAfterMillis() > 0) {
			long seconds = (failure.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
		}
		exchange.getResponseSender().send(ByteBuffer.wrap(json(of(failure))));
	}

	/**
	 * Writes the body that describes a failure.
	 * @param failure the failure
	 * @return the bytes, as JSON
	 */
	public static byte[] bytes(Failure failure) {
		return json(of(failure));
	}

	/**
	 * Writes a value as JSON.
	 * @param value the value
	 * @return the bytes
	 */
	static byte[] json(Object value) {
		try {
			return SharedJsonMapper.mapper().writeValueAsBytes(value);
		}
		catch (IOException ex) {
			throw new IllegalStateException("bodies can always be written", ex);
		}
	}

	/**
	 * The error itself. Immutable.
	 *
	 * @param number number of the result code
	 * @param name name of the result code
	 * @param message what happened
	 * @param ran whether the target ran the request
	 * @param retryAfterMillis when a new try makes sense, in milliseconds; 0 for no
	 * advice
	 * @param advice what the caller can do
	 */
	public record Detail(int number, String name, String message, Ran ran, long retryAfterMillis, String advice) {
	}

}
