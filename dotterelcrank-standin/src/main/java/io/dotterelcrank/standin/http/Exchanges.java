package io.dotterelcrank.standin.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Deque;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;

import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.process.platform.SharedJsonMapper;

/**
 * What the stand-in servers do alike. Stateless.
 */
final class Exchanges {

	/** Status of a request that cannot be understood. */
	private static final int BAD_REQUEST = 400;

	/** Threads for requests that wait. */
	private static final int WORKER_THREADS = 24;

	/** Status of a system that is down. */
	private static final int UNAVAILABLE = 503;

	private Exchanges() {
	}

	/**
	 * Starts a server on a loopback address.
	 * @param port port, or 0 for a free one
	 * @param handler serves the requests
	 * @return a running server
	 * @throws IOException if the port cannot be bound
	 */
	static Undertow start(int port, HttpHandler handler) throws IOException {
		Undertow server = Undertow.builder()
			.addHttpListener(port, "127.0.0.1")
			.setIoThreads(1)
			.setWorkerThreads(WORKER_THREADS)
			.setHandler(handler)
			.build();
		try {
			server.start();
			return server;
		}
		catch (RuntimeException ex) {
			throw new IOException("cannot bind port " + port + ": " + ex.getMessage(), ex);
		}
	}

	/**
	 * Returns the port of a server.
	 * @param server the server
	 * @return port bound
	 */
	static int port(Undertow server) {
		return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
	}

	/**
	 * Answers with a value as JSON.
	 * @param exchange the exchange
	 * @param value the value
	 * @throws IOException if the value cannot be written
	 */
	static void send(HttpServerExchange exchange, Object value) throws IOException {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(ByteBuffer.wrap(SharedJsonMapper.mapper().writeValueAsBytes(value)));
	}

	/**
	 * Reads the body, then acts.
	 * @param exchange the exchange
	 * @param action takes the body
	 */
	static void withBody(HttpServerExchange exchange, BodyAction action) {
		exchange.getRequestReceiver().receiveFullBytes((received, body) -> run(received, () -> action.take(body)));
	}

	/**
	 * Acts on a worker thread, since the action blocks.
	 * @param exchange the exchange
	 * @param action the action
	 */
	static void blocking(HttpServerExchange exchange, Action action) {
		exchange.dispatch(() -> run(exchange, action));
	}

	/**
	 * Hands the exchange over to an action that answers later, from any thread.
	 * @param exchange the exchange
	 * @param action the action
	 */
	static void later(HttpServerExchange exchange, Runnable action) {
		exchange.dispatch(SameThreadExecutor.INSTANCE, action);
	}

	private static void run(HttpServerExchange exchange, Action action) {
		try {
			action.run();
		}
		catch (PlatformException ex) {
			exchange.setStatusCode(UNAVAILABLE).getResponseSender().send(ex.getMessage());
		}
		catch (IOException | RuntimeException ex) {
			exchange.setStatusCode(BAD_REQUEST).getResponseSender().send(String.valueOf(ex.getMessage()));
		}
	}

	/**
	 * Reads a query parameter.
	 * @param exchange the exchange
	 * @param name name of the parameter
	 * @param standard value if it is missing
	 * @return the value
	 */
	static long number(HttpServerExchange exchange, String name, long standard) {
		Deque<String> values = exchange.getQueryParameters().get(name);
		return (values != null) ? Long.parseLong(values.getFirst()) : standard;
	}

	/**
	 * Returns a part of the path.
	 * @param exchange the exchange
	 * @param index position of the part, from 0
	 * @return the part, or an empty string
	 */
	static String part(HttpServerExchange exchange, int index) {
		String[] parts = exchange.getRequestPath().split("/");
		return (index + 1 < parts.length) ? parts[index + 1] : "";
	}

	/**
	 * Something to do with an exchange.
	 */
	interface Action {

		/**
		 * Does it.
		 * @throws IOException if the request cannot be understood
		 * @throws PlatformException if the system behind is down
		 */
		void run() throws IOException, PlatformException;

	}

	/**
	 * Something to do with a body.
	 */
	interface BodyAction {

		/**
		 * Does it.
		 * @param body the body
		 * @throws IOException if the body cannot be understood
		 * @throws PlatformException if the system behind is down
		 */
		void take(byte[] body) throws IOException, PlatformException;

	}

}
