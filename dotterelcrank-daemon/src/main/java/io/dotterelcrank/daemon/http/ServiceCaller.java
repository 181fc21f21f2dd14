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
 * The caller of a plain service. Thread-safe.
 */
final class ServiceCaller implements CallListener {

	/** Headers that belong to one connection and are not passed on. */
	static final Set<String> CONNECTION_HEADERS = Set.of("connection", "keep-alive", "transfer-encoding", "te",
			"trailer", "upgrade", "content-length", "host", "expect", "proxy-authorization", "proxy-authenticate");

	/** The exchange. */
	private final HttpServerExchange exchange;

	ServiceCaller(HttpServerExchange exchange) {
		this.exchange = exchange;
	}

	@Override
	public void responseReceived(ServiceResponse reply) {
		this.exchange.dispatch(this.exchange.getIoThread(), () -> {
			this.exchange.setStatusCode(reply.status());
			reply.headers().forEach(this::pass);
			this.exchange.getResponseSender().send(ByteBuffer.wrap(reply.body()));
		});
	}

	private void pass(Header header) {
		if (!CONNECTION_HEADERS.contains(header.name().toLowerCase(Locale.ROOT))) {
			this.exchange.getResponseHeaders().add(HttpString.tryFromString(header.name()), header.value());
		}
	}

	@Override
	public void failed(Failure failure) {
		this.exchange.dispatch(this.exchange.getIoThread(), () -> ErrorBody.send(this.exchange, failure));
	}

}
