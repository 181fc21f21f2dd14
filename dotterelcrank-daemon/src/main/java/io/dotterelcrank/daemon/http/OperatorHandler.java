package io.dotterelcrank.daemon.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

/**
 * Serves operators: {@code GET /state}, {@code /metrics} and {@code /health}. With a
 * token set, state and metrics are given only to those who send it as bearer token.
 * Thread-safe.
 */
public final class OperatorHandler implements HttpHandler {

	/** Status of a request without the token. */
	private static final int UNAUTHORIZED = 401;

	/** Status of an unknown path. */
	private static final int NOT_FOUND = 404;

	/** Status of a process that is not ready. */
	private static final int UNAVAILABLE = 503;

	/** Supplies the dump. */
	private final Supplier<Object> state;

	/** Metrics of the process. */
	private final MetricRegistry metrics;

	/** Tells whether the process is ready. */
	private final BooleanSupplier healthy;

	/** Token, or an empty string. */
	private final String token;

	private OperatorHandler(Supplier<Object> state, MetricRegistry metrics, BooleanSupplier healthy, String token) {
		this.state = state;
		this.metrics = metrics;
		this.healthy = healthy;
		this.token = token;
	}

	/**
	 * Creates a handler.
	 * @param state supplies the dump; may wait for the control thread
	 * @param metrics metrics of the process
	 * @param healthy tells whether the process is ready
	 * @param token token that operators send, or an empty string
	 * @return a new handler
	 */
	public static OperatorHandler of(Supplier<Object> state, MetricRegistry metrics, BooleanSupplier healthy,
			String token) {
		return new OperatorHandler(state, metrics, healthy, token);
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		if (exchange.getRequestPath().equals("/health")) {
			boolean ready = this.healthy.getAsBoolean();
			exchange.setStatusCode(ready ? 200 : UNAVAILABLE).getResponseSender().send(ready ? "ready" : "not ready");
			return;
		}
		if (!authorized(exchange)) {
			exchange.setStatusCode(UNAUTHORIZED).getResponseSender().send("send the operator token");
			return;
		}
		switch (exchange.getRequestPath()) {
			case "/state" -> exchange.dispatch(() -> send(exchange, this.state.get()));
			case "/metrics" -> exchange.dispatch(() -> send(exchange, values()));
			default -> exchange.setStatusCode(NOT_FOUND).getResponseSender().send("no such path");
		}
	}

	private boolean authorized(HttpServerExchange exchange) {
		String sent = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
		byte[] expected = ("Bearer " + this.token).getBytes(StandardCharsets.UTF_8);
		return this.token.isEmpty()
				|| sent != null && MessageDigest.isEqual(expected, sent.getBytes(StandardCharsets.UTF_8));
	}

	private TreeMap<String, Object> values() {
		TreeMap<String, Object> values = new TreeMap<>();
		this.metrics.getGauges().forEach((name, gauge) -> values.put(name, gauge.getValue()));
		this.metrics.getCounters().forEach((name, counter) -> values.put(name, counter.getCount()));
		return values;
	}

	private static void send(HttpServerExchange exchange, Object value) {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(ByteBuffer.wrap(ErrorBody.json(value)));
	}

}
