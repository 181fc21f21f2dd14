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
 * Handles the requests of operators: {@code GET /state}, {@code /metrics} and {@code
 * /health}. If an operator token is set, state and metrics require it as bearer token.
 * Thread-safe.
 */
public final class OperatorHandler implements HttpHandler {

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final Supplier<Object> dumpSupplier;

	private final MetricRegistry metrics;

	private final BooleanSupplier ready;

	/** Empty if no token is required. */
	private final String token;

	private OperatorHandler(Supplier<Object> dumpSupplier, MetricRegistry metrics, BooleanSupplier ready,
			String token) {
		this.dumpSupplier = dumpSupplier;
		this.metrics = metrics;
		this.ready = ready;
		this.token = token;
	}

	/**
	 * Creates a handler.
	 * @param dumpSupplier returns the state as an object to serialize; may wait for the
	 * control thread
	 * @param metrics metrics of the process
	 * @param ready returns whether the process is ready
	 * @param token token that operators must send; empty if none is required
	 * @return a new handler
	 */
	public static OperatorHandler of(Supplier<Object> dumpSupplier, MetricRegistry metrics, BooleanSupplier ready,
			String token) {
		return new OperatorHandler(dumpSupplier, metrics, ready, token);
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		if (exchange.getRequestPath().equals("/health")) {
			boolean isReady = this.ready.getAsBoolean();
			exchange.setStatusCode(isReady ? 200 : SERVICE_UNAVAILABLE)
				.getResponseSender()
				.send(isReady ? "ready" : "not ready");
			return;
		}
		if (!authorized(exchange)) {
			exchange.setStatusCode(UNAUTHORIZED).getResponseSender().send("missing or wrong operator token");
			return;
		}
		switch (exchange.getRequestPath()) {
			case "/state" -> exchange.dispatch(() -> sendJson(exchange, this.dumpSupplier.get()));
			case "/metrics" -> exchange.dispatch(() -> sendJson(exchange, metricValues()));
			default -> exchange.setStatusCode(NOT_FOUND).getResponseSender().send("no such path");
		}
	}

	private boolean authorized(HttpServerExchange exchange) {
		String authorization = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
		byte[] expected = ("Bearer " + this.token).getBytes(StandardCharsets.UTF_8);
		return this.token.isEmpty() || authorization != null
				&& MessageDigest.isEqual(expected, authorization.getBytes(StandardCharsets.UTF_8));
	}

	private TreeMap<String, Object> metricValues() {
		TreeMap<String, Object> values = new TreeMap<>();
		this.metrics.getGauges().forEach((name, gauge) -> values.put(name, gauge.getValue()));
		this.metrics.getCounters().forEach((name, counter) -> values.put(name, counter.getCount()));
		return values;
	}

	private static void sendJson(HttpServerExchange exchange, Object value) {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(ByteBuffer.wrap(ErrorBody.toJson(value)));
	}

}
