package io.dotterelcrank.daemon.http;

import java.io.IOException;
import java.net.InetSocketAddress;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;

/**
 * HTTP server bound to one address. Thread-safe.
 */
public final class HttpServer implements AutoCloseable {

	/** Maximum size of a request body, in bytes. */
	public static final long MAX_BODY_BYTES = 2L * 1024 * 1024;

	/**
	 * Maximum size of a rejected body that is read to its end, so that the caller can
	 * read the response; a larger one is cut off.
	 */
	private static final long MAX_DISCARDED_BYTES = 64L * 1024 * 1024;

	private static final int MAX_HEADER_BYTES = 16 * 1024;

	/**
	 * Time after which a connection without an open request is closed, in milliseconds.
	 */
	private static final int IDLE_TIMEOUT_MILLIS = 120_000;

	private static final int IO_THREADS = 2;

	/** Threads for requests whose handling may block. */
	private static final int WORKER_THREADS = 4;

	private final Undertow server;

	private HttpServer(Undertow server) {
		this.server = server;
	}

	/**
	 * Starts a server.
	 * @param address the IP address to bind
	 * @param port port to bind, or 0 for a free one
	 * @param handler called on an I/O thread for each request; must not block
	 * @return a running server
	 * @throws IOException if the address cannot be bound
	 */
	public static HttpServer start(String address, int port, HttpHandler handler) throws IOException {
		Undertow server = Undertow.builder()
			.addHttpListener(port, address)
			.setIoThreads(IO_THREADS)
			.setWorkerThreads(WORKER_THREADS)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_DISCARDED_BYTES)
			.setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
			.setHandler(handler)
			.build();
		try {
			server.start();
		}
		catch (RuntimeException ex) {
			throw new IOException("cannot bind " + address + ":" + port + ": " + ex.getMessage(), ex);
		}
		return new HttpServer(server);
	}

	/**
	 * Returns the port that the server is bound to.
	 * @return the port, also if it was chosen by the operating system
	 */
	public int port() {
		return ((InetSocketAddress) this.server.getListenerInfo().get(0).getAddress()).getPort();
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
