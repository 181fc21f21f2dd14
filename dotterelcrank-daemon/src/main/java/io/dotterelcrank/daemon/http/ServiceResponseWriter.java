package io.dotterelcrank.daemon.http;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Set;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;

import io.dotterelcrank.process.entry.CallListener;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.ServiceResponse;

/**
 * Writes the response of a plain service to its caller. Thread-safe.
 */
final class ServiceResponseWriter implements CallListener {

	/** Headers that apply to one connection and are not forwarded, in lower case. */
	static final Set<String> CONNECTION_HEADERS = Set.of("connection", "keep-alive", "transfer-encoding", "te",
			"trailer", "upgrade", "content-length", "host", "expect", "proxy-authorization", "proxy-authenticate");

	private final HttpServerExchange exchange;

	ServiceResponseWriter(HttpServerExchange exchange) {
		this.exchange = exchange;
	}

	@Override
	public void responseReceived(ServiceResponse response) {
		this.exchange.dispatch(this.exchange.getIoThread(), () -> {
			this.exchange.setStatusCode(response.status());
			response.headers().forEach(this::addResponseHeader);
			this.exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
		});
	}

	private void addResponseHeader(Header header) {
		if (!CONNECTION_HEADERS.contains(header.name().toLowerCase(Locale.ROOT))) {
			this.exchange.getResponseHeaders().add(HttpString.tryFromString(header.name()), header.value());
		}
	}

	@Override
	public void failed(Failure failure) {
		this.exchange.dispatch(this.exchange.getIoThread(), () -> ErrorBody.send(this.exchange, failure));
	}

}
