package io.dotterelcrank.standin.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Locale;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.request.ServiceResponse;
import io.dotterelcrank.standin.service.ServiceFault;
import io.dotterelcrank.standin.service.StandinService;

/**
 * HTTP server of a stand-in plain service. A request to any other path is a booking;
 * {@code GET /ran} returns how often each call was executed; {@code POST /faults/NAME}
 * injects a fault. Thread-safe.
 */
public final class ServiceServer implements AutoCloseable {

	/** Time from execution to response, in milliseconds. */
	private static final long LATENCY_MILLIS = 5;

	/** Content length announced for a response that breaks in the middle. */
	private static final int OVERSTATED_CONTENT_LENGTH = 4_096;

	private final StandinService service;

	private final Scheduler scheduler;

	private final Undertow server;

	private ServiceServer(StandinService service, Scheduler scheduler, int port) throws IOException {
		this.service = service;
		this.scheduler = scheduler;
		this.server = ExchangeSupport.start(port, this::handle);
	}

	/**
	 * Starts a server.
	 * @param service service to serve
	 * @param scheduler sends the delayed responses
	 * @param port port to bind on the loopback address, or 0 for a free one
	 * @return a running server
	 * @throws IOException if the port cannot be bound
	 */
	public static ServiceServer start(StandinService service, Scheduler scheduler, int port) throws IOException {
		return new ServiceServer(service, scheduler, port);
	}

	private void handle(HttpServerExchange exchange) throws IOException {
		switch (ExchangeSupport.pathSegment(exchange, 0)) {
			case "ran" -> ExchangeSupport.sendJson(exchange, this.service.runCounts());
			case "faults" -> {
				this.service.injectFault(
						ServiceFault.valueOf(ExchangeSupport.pathSegment(exchange, 1).toUpperCase(Locale.ROOT)));
				ExchangeSupport.sendJson(exchange, "done");
			}
			default -> ExchangeSupport.receiveBody(exchange, (body) -> run(exchange, body));
		}
	}

	private void run(HttpServerExchange exchange, byte[] body) throws IOException {
		ServiceFault fault = this.service.fault();
		if (fault == ServiceFault.BREAK_BEFORE_RUN || fault == ServiceFault.REFUSE_CONNECTION) {
			exchange.getConnection().close();
			return;
		}
		ServiceResponse response = this.service.run(exchange.getRequestMethod().toString(), exchange.getRequestURI(),
				body);
		ExchangeSupport.respondAsync(exchange,
				() -> this.scheduler.schedule(LATENCY_MILLIS, () -> respond(exchange, response, fault)));
	}

	private void respond(HttpServerExchange exchange, ServiceResponse response, ServiceFault fault) {
		switch (fault) {
			case NONE -> {
				exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
				exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
			}
			case BREAK_MID_ANSWER -> {
				exchange.setResponseContentLength(OVERSTATED_CONTENT_LENGTH);
				exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
				this.scheduler.schedule(LATENCY_MILLIS, () -> close(exchange));
			}
			case NO_ANSWER -> {
			}
			default -> close(exchange);
		}
	}

	private static void close(HttpServerExchange exchange) {
		try {
			exchange.getConnection().close();
		}
		catch (IOException ex) {
			exchange.endExchange();
		}
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
