package io.dotterelcrank.standin.http;

import java.io.IOException;
import java.util.Locale;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.SharedJsonMapper;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.standin.engine.EngineFault;
import io.dotterelcrank.standin.engine.StandinEngine;
import io.dotterelcrank.version.Placement;

/**
 * HTTP server of a stand-in engine: {@code POST /generations}, {@code GET} and
 * {@code DELETE /generations/ID}, {@code GET /report}, {@code POST /orders},
 * {@code POST /faults/NAME?value=N}. Thread-safe.
 */
public final class EngineServer implements AutoCloseable {

	/** Status of an order that the engine refuses. */
	private static final int CONFLICT = 409;

	private final StandinEngine engine;

	private final Undertow server;

	private EngineServer(StandinEngine engine, int port) throws IOException {
		this.engine = engine;
		this.server = ExchangeSupport.start(port, this::handle);
	}

	/**
	 * Starts a server.
	 * @param engine engine to serve
	 * @param port port to bind on the loopback address, or 0 for a free one
	 * @return a running server
	 * @throws IOException if the port cannot be bound
	 */
	public static EngineServer start(StandinEngine engine, int port) throws IOException {
		return new EngineServer(engine, port);
	}

	private void handle(HttpServerExchange exchange) throws IOException {
		String operation = exchange.getRequestMethod() + " " + ExchangeSupport.pathSegment(exchange, 0);
		switch (operation) {
			case "POST generations" -> ExchangeSupport.receiveBody(exchange, (body) -> generate(exchange, body));
			case "GET generations" -> resume(exchange);
			case "DELETE generations" -> {
				this.engine.cancel(ExchangeSupport.pathSegment(exchange, 1));
				ExchangeSupport.sendJson(exchange, "cancelled");
			}
			case "GET report" -> ExchangeSupport.dispatchBlocking(exchange,
					() -> ExchangeSupport.sendJson(exchange, this.engine.report()));
			case "POST orders" -> ExchangeSupport.receiveBody(exchange, (body) -> order(exchange, body));
			case "POST faults" -> injectFault(exchange);
			default -> exchange.setStatusCode(404).endExchange();
		}
	}

	private void generate(HttpServerExchange exchange, byte[] body) throws IOException {
		Generation generation = SharedJsonMapper.mapper().readValue(body, Generation.class);
		ExchangeSupport.respondAsync(exchange, () -> this.engine.generate(generation, new LineStream(exchange)));
	}

	private void resume(HttpServerExchange exchange) {
		int fromIndex = (int) ExchangeSupport.longParameter(exchange, "from", 0);
		ExchangeSupport.respondAsync(exchange, () -> this.engine.resume(ExchangeSupport.pathSegment(exchange, 1),
				fromIndex, new LineStream(exchange)));
	}

	private void order(HttpServerExchange exchange, byte[] body) throws IOException {
		try {
			this.engine.order(SharedJsonMapper.mapper().readValue(body, Placement.class));
			ExchangeSupport.sendJson(exchange, "done");
		}
		catch (PlatformException ex) {
			exchange.setStatusCode(CONFLICT).getResponseSender().send(ex.getMessage());
		}
	}

	private void injectFault(HttpServerExchange exchange) throws IOException {
		String name = ExchangeSupport.pathSegment(exchange, 1).toUpperCase(Locale.ROOT);
		this.engine.injectFault(EngineFault.valueOf(name), ExchangeSupport.longParameter(exchange, "value", 0));
		ExchangeSupport.sendJson(exchange, "done");
	}

	/**
	 * Returns the port of the server.
	 * @return the port bound
	 */
	public int port() {
		return ExchangeSupport.port(this.server);
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
