package io.dotterelcrank.daemon.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import io.dotterelcrank.common.SharedJsonMapper;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Ran;

/**
 * Body of an error response. Immutable.
 *
 * @param error description of the failure, with advice for the caller
 */
public record ErrorBody(Detail error) {

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final JsonFactory FACTORY = new JsonFactory();

	/**
	 * Creates the body of the response to a failed request.
	 * @param failure the failure
	 * @return the body
	 */
	public static ErrorBody of(Failure failure) {
		return new ErrorBody(new Detail(failure.code().number(), failure.code().name(), failure.message(),
				failure.ran(), failure.retryAfterMillis(), failure.code().advice()));
	}

	/**
	 * Responds with an error. Ends the exchange without a body if the response has
	 * already started.
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
			long retryAfterSeconds = (failure.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterSeconds);
		}
		exchange.getResponseSender().send(ByteBuffer.wrap(toJson(of(failure))));
	}

	/**
	 * Serializes the body of the response to a failed request, without a mapper: a
	 * process that creates none starts faster.
	 * @param failure the failure
	 * @return the body as JSON
	 */
	public static byte[] bytes(Failure failure) {
		Detail detail = of(failure).error();
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
			generator.writeStartObject();
			generator.writeObjectFieldStart("error");
			generator.writeNumberField("number", detail.number());
			generator.writeStringField("name", detail.name());
			generator.writeStringField("message", detail.message());
			generator.writeStringField("ran", detail.ran().word());
			generator.writeNumberField("retryAfterMillis", detail.retryAfterMillis());
			generator.writeStringField("advice", detail.advice());
			generator.writeEndObject();
			generator.writeEndObject();
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot serialize a response body as JSON", ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Serializes a value as JSON.
	 * @param value a value that Jackson can serialize
	 * @return the bytes
	 */
	static byte[] toJson(Object value) {
		try {
			return SharedJsonMapper.mapper().writeValueAsBytes(value);
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot serialize a response body as JSON", ex);
		}
	}

	/**
	 * Description of an error. Immutable.
	 *
	 * @param number number of the result code
	 * @param name name of the result code
	 * @param message cause of the failure
	 * @param ran whether the target executed the request
	 * @param retryAfterMillis delay before a retry, in milliseconds; 0 if none is advised
	 * @param advice what the caller can do
	 */
	public record Detail(int number, String name, String message, Ran ran, long retryAfterMillis, String advice) {
	}

}
