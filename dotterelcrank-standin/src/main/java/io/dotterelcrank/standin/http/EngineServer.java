package io.dotterelcrank.standin.http;

import java.io.IOException;
import java.util.Locale;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;

import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.process.platform.SharedJsonMapper;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.standin.engine.EngineFault;
import io.dotterelcrank.standin.engine.StandinEngine;
import io.dotterelcrank.version.Placement;

/**
 * A stand-in engine behind HTTP: {@code POST /generations}, {@code GET} and {@code DELETE
 * /generations/ID}, {@code GET /report}, {@code POST /orders}, {@code POST
 * /faults/NAME?value=N}. Thread-safe.
 */
public final class EngineServer implements AutoCloseable {

	/** Status of a refused order. */
	private static final int CONFLICT = 409;

	/** The engine. */
	private final StandinEngine engine;

	/** The server. */
	private final Undertow server;

	private EngineServer(StandinEngine engine, int port) throws IOException {
		this.engine = engine;
		this.server = Exchanges.start(port, this::handle);
	}

	/**
	 * Starts a server.
	 * @param engine the engine
	 * @param port port, or 0 for a free one
	 * @return a running server
	 * @throws IOException if the port cannot be bound
	 */
	public static EngineServer start(StandinEngine engine, int port) throws IOException {
		return new EngineServer(engine, port);
	}

	private void handle(HttpServerExchange exchange) throws IOException {
		String call = exchange.getRequestMethod() + " " + Exchanges.part(exchange, 0);
		switch (call) {
			case "POST generations" -> Exchanges.withBody(exchange, (body) -> generate(exchange, body));
			case "GET generations" -> resume(exchange);
			case "DELETE generations" -> {
				this.engine.cancel(Exchanges.part(exchange, 1));
				Exchanges.send(exchange, "cancelled");
			}
			case "GET report" -> Exchanges.blocking(exchange, () -> Exchanges.send(exchange, this.engine.report()));
			case "POST orders" -> Exchanges.withBody(exchange, (body) -> order(exchange, body));
			case "POST faults" -> fault(exchange);
			default -> exchange.setStatusCode(404).endExchange();
		}
	}

	private void generate(HttpServerExchange exchange, byte[] body) throws IOException {
		Generation generation = SharedJsonMapper.mapper().readValue(body, Generation.class);
		Exchanges.later(exchange, () -> this.engine.generate(generation, new LineStream(exchange)));
	}

	private void resume(HttpServerExchange exchange) {
		int from = (int) Exchanges.number(exchange, "from", 0);
		Exchanges.later(exchange,
				() -> this.engine.resume(Exchanges.part(exchange, 1), from, new LineStream(exchange)));
	}

	private void order(HttpServerExchange exchange, byte[] body) throws IOException {
		try {
			this.engine.order(SharedJsonMapper.mapper().readValue(body, Placement.class));
			Exchanges.send(exchange, "done");
		}
		catch (PlatformException ex) {
			exchange.setStatusCode(CONFLICT).getResponseSender().send(ex.getMessage());
		}
	}

	private void fault(HttpServerExchange exchange) throws IOException {
		String name = Exchanges.part(exchange, 1).toUpperCase(Locale.ROOT);
		this.engine.injectFault(EngineFault.valueOf(name), Exchanges.number(exchange, "value", 0));
		Exchanges.send(exchange, "done");
	}

	/**
	 * Returns the port.
	 * @return port bound
	 */
	public int port() {
		return Exchanges.port(this.server);
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
