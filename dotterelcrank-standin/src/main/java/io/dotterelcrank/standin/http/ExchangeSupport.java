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

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.SharedJsonMapper;

/**
 * Shared request handling of the stand-in servers. Stateless.
 */
final class ExchangeSupport {

	/** Status of a malformed request. */
	private static final int BAD_REQUEST = 400;

	/** Worker threads, for requests that block. */
	private static final int WORKER_THREADS = 24;

	/** Status when the simulated system is down. */
	private static final int UNAVAILABLE = 503;

	private ExchangeSupport() {
	}

	/**
	 * Starts a server on a loopback address.
	 * @param port port to bind, or 0 for a free one
	 * @param handler handles the requests, on the I/O thread
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
	 * @param server running server
	 * @return the port bound
	 */
	static int port(Undertow server) {
		return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
	}

	/**
	 * Sends a value as JSON with status 200.
	 * @param exchange exchange to respond to
	 * @param value value to serialise
	 * @throws IOException if the value cannot be serialised
	 */
	static void sendJson(HttpServerExchange exchange, Object value) throws IOException {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(ByteBuffer.wrap(SharedJsonMapper.mapper().writeValueAsBytes(value)));
	}

	/**
	 * Receives the whole request body without blocking, then runs an action.
	 * @param exchange exchange to read
	 * @param action receives the body and responds
	 */
	static void receiveBody(HttpServerExchange exchange, BodyAction action) {
		exchange.getRequestReceiver()
			.receiveFullBytes((receivedExchange, body) -> run(receivedExchange, () -> action.accept(body)));
	}

	/**
	 * Runs a blocking action on a worker thread.
	 * @param exchange exchange to respond to
	 * @param action responds to the exchange
	 */
	static void dispatchBlocking(HttpServerExchange exchange, Action action) {
		exchange.dispatch(() -> run(exchange, action));
	}

	/**
	 * Runs an action that responds asynchronously, from any thread.
	 * @param exchange exchange to respond to
	 * @param action starts the asynchronous work
	 */
	static void respondAsync(HttpServerExchange exchange, Runnable action) {
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
	 * Returns an integer query parameter.
	 * @param exchange exchange to read
	 * @param name name of the parameter
	 * @param defaultValue value of a missing parameter
	 * @return the first value, or the default
	 */
	static long longParameter(HttpServerExchange exchange, String name, long defaultValue) {
		Deque<String> values = exchange.getQueryParameters().get(name);
		return (values != null) ? Long.parseLong(values.getFirst()) : defaultValue;
	}

	/**
	 * Returns a segment of the request path.
	 * @param exchange exchange to read
	 * @param index position of the segment, from 0
	 * @return the segment, or an empty string if the path is shorter
	 */
	static String pathSegment(HttpServerExchange exchange, int index) {
		String[] segments = exchange.getRequestPath().split("/");
		return (index + 1 < segments.length) ? segments[index + 1] : "";
	}

	/**
	 * Handles an exchange.
	 */
	interface Action {

		/**
		 * Responds to the exchange.
		 * @throws IOException if the request is malformed
		 * @throws PlatformException if the simulated system is down
		 */
		void run() throws IOException, PlatformException;

	}

	/**
	 * Handles a request body.
	 */
	interface BodyAction {

		/**
		 * Responds to the exchange of the body.
		 * @param body the whole request body
		 * @throws IOException if the body is malformed
		 * @throws PlatformException if the simulated system is down
		 */
		void accept(byte[] body) throws IOException, PlatformException;

	}

}
