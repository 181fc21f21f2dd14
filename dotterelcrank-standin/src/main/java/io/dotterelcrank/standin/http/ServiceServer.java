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
 * A stand-in plain service behind HTTP. Any path books what the body says; {@code GET
 * /ran} tells how often each call ran; {@code POST /faults/NAME} switches a fault on.
 * Thread-safe.
 */
public final class ServiceServer implements AutoCloseable {

	/** Time that a call takes, in milliseconds. */
	private static final long LATENCY_MILLIS = 5;

	/** Length told for an answer that breaks in the middle. */
	private static final int LONGER_THAN_SENT = 4_096;

	/** The service. */
	private final StandinService service;

	/** Runs delayed answers. */
	private final Scheduler scheduler;

	/** The server. */
	private final Undertow server;

	private ServiceServer(StandinService service, Scheduler scheduler, int port) throws IOException {
		this.service = service;
		this.scheduler = scheduler;
		this.server = Exchanges.start(port, this::handle);
	}

	/**
	 * Starts a server.
	 * @param service the service
	 * @param scheduler runs delayed answers
	 * @param port port, or 0 for a free one
	 * @return a running server
	 * @throws IOException if the port cannot be bound
	 */
	public static ServiceServer start(StandinService service, Scheduler scheduler, int port) throws IOException {
		return new ServiceServer(service, scheduler, port);
	}

	private void handle(HttpServerExchange exchange) throws IOException {
		switch (Exchanges.part(exchange, 0)) {
			case "ran" -> Exchanges.send(exchange, this.service.runCounts());
			case "faults" -> {
				this.service.injectFault(ServiceFault.valueOf(Exchanges.part(exchange, 1).toUpperCase(Locale.ROOT)));
				Exchanges.send(exchange, "done");
			}
			default -> Exchanges.withBody(exchange, (body) -> run(exchange, body));
		}
	}

	private void run(HttpServerExchange exchange, byte[] body) throws IOException {
		ServiceFault fault = this.service.fault();
		if (fault == ServiceFault.BREAK_BEFORE_RUN || fault == ServiceFault.REFUSE_CONNECTION) {
			exchange.getConnection().close();
			return;
		}
		ServiceResponse reply = this.service.run(exchange.getRequestMethod().toString(), exchange.getRequestURI(),
				body);
		Exchanges.later(exchange, () -> this.scheduler.schedule(LATENCY_MILLIS, () -> answer(exchange, reply, fault)));
	}

	private void answer(HttpServerExchange exchange, ServiceResponse reply, ServiceFault fault) {
		switch (fault) {
			case NONE -> {
				exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
				exchange.getResponseSender().send(ByteBuffer.wrap(reply.body()));
			}
			case BREAK_MID_ANSWER -> {
				exchange.setResponseContentLength(LONGER_THAN_SENT);
				exchange.getResponseSender().send(ByteBuffer.wrap(reply.body()));
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
