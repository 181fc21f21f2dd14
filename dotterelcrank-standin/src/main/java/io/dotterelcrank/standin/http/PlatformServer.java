package io.dotterelcrank.standin.http;

import java.io.IOException;
import java.util.List;
import java.util.Locale;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.process.platform.SharedJsonMapper;
import io.dotterelcrank.standin.platform.LogFault;
import io.dotterelcrank.standin.platform.StandinHostList;
import io.dotterelcrank.standin.platform.StandinLog;
import io.dotterelcrank.standin.platform.StandinWeightStore;

/**
 * Log, host list and weight store behind HTTP: {@code POST} and {@code GET
 * /streams/NAME/records}, {@code GET /hosts}, {@code PUT} and {@code DELETE /hosts/NAME},
 * {@code POST /permits/MODEL}, {@code POST /faults/NAME}. Thread-safe.
 */
public final class PlatformServer implements AutoCloseable {

	/** Status of a list that has not changed. */
	private static final int NOT_MODIFIED = 304;

	/** The log. */
	private final StandinLog log;

	/** The host list. */
	private final StandinHostList hosts;

	/** The weight store. */
	private final StandinWeightStore weights;

	/** The server. */
	private final Undertow server;

	private PlatformServer(StandinLog log, StandinHostList hosts, StandinWeightStore weights, int port)
			throws IOException {
		this.log = log;
		this.hosts = hosts;
		this.weights = weights;
		this.server = Exchanges.start(port, this::handle);
	}

	/**
	 * Starts a server.
	 * @param log the log
	 * @param hosts the host list
	 * @param weights the weight store
	 * @param port port, or 0 for a free one
	 * @return a running server
	 * @throws IOException if the port cannot be bound
	 */
	public static PlatformServer start(StandinLog log, StandinHostList hosts, StandinWeightStore weights, int port)
			throws IOException {
		return new PlatformServer(log, hosts, weights, port);
	}

	private void handle(HttpServerExchange exchange) throws IOException {
		String name = Exchanges.part(exchange, 1);
		String call = exchange.getRequestMethod() + " " + Exchanges.part(exchange, 0);
		switch (call) {
			case "POST streams" ->
				Exchanges.withBody(exchange, (body) -> Exchanges.send(exchange, this.log.append(name, body)));
			case "GET streams" -> read(exchange, name);
			case "GET hosts" -> Exchanges.blocking(exchange, () -> sendHosts(exchange));
			case "PUT hosts" -> Exchanges.withBody(exchange, (body) -> {
				this.hosts.put(SharedJsonMapper.mapper().readValue(body, HostList.Host.class));
				Exchanges.send(exchange, "done");
			});
			case "DELETE hosts" -> {
				this.hosts.remove(name);
				Exchanges.send(exchange, "done");
			}
			case "POST permits" ->
				Exchanges.blocking(exchange, () -> Exchanges.send(exchange, this.weights.requestPermit(name)));
			case "POST faults" -> {
				this.log.injectFault(LogFault.valueOf(name.toUpperCase(Locale.ROOT)));
				Exchanges.send(exchange, "done");
			}
			default -> exchange.setStatusCode(404).endExchange();
		}
	}

	private void sendHosts(HttpServerExchange exchange) throws IOException, PlatformException {
		List<HostList.Host> listed = this.hosts.hosts();
		String tag = Integer.toHexString(listed.hashCode());
		if (tag.equals(exchange.getRequestHeaders().getFirst(Headers.IF_NONE_MATCH))) {
			exchange.setStatusCode(NOT_MODIFIED).endExchange();
			return;
		}
		exchange.getResponseHeaders().put(Headers.ETAG, tag);
		Exchanges.send(exchange, listed);
	}

	private void read(HttpServerExchange exchange, String stream) {
		long from = Exchanges.number(exchange, "from", 1);
		long waitMillis = Exchanges.number(exchange, "wait", 0);
		Exchanges.blocking(exchange, () -> Exchanges.send(exchange, this.log.read(stream, from, waitMillis)));
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
