package io.dotterelcrank.standin.http;

import java.io.IOException;
import java.util.List;
import java.util.Locale;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.SharedJsonMapper;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.standin.platform.LogFault;
import io.dotterelcrank.standin.platform.StandinHostList;
import io.dotterelcrank.standin.platform.StandinLog;
import io.dotterelcrank.standin.platform.StandinTables;
import io.dotterelcrank.standin.platform.StandinWeightStore;

/**
 * HTTP server of log, host list and weight store: {@code POST} and {@code GET
 * /streams/NAME/records}, {@code GET /hosts}, {@code PUT} and {@code DELETE /hosts/NAME},
 * {@code POST /permits/MODEL}, {@code POST /faults/NAME}. Thread-safe.
 */
public final class PlatformServer implements AutoCloseable {

	/** Status of a host list that matches the client's ETag. */
	private static final int NOT_MODIFIED = 304;

	private final StandinLog log;

	private final StandinHostList hostList;

	private final StandinWeightStore weightStore;

	private final StandinTables tables;

	private final Undertow server;

	private PlatformServer(StandinLog log, StandinHostList hostList, StandinWeightStore weightStore,
			StandinTables tables, int port) throws IOException {
		this.tables = tables;
		this.log = log;
		this.hostList = hostList;
		this.weightStore = weightStore;
		this.server = ExchangeSupport.start(port, this::handle);
	}

	/**
	 * Starts a server.
	 * @param log log to serve
	 * @param hostList host list to serve
	 * @param weightStore weight store to serve
	 * @param port port to bind on the loopback address, or 0 for a free one
	 * @return a running server
	 * @throws IOException if the port cannot be bound
	 */
	public static PlatformServer start(StandinLog log, StandinHostList hostList, StandinWeightStore weightStore,
			int port) throws IOException {
		return start(log, hostList, weightStore, StandinTables.empty(), port);
	}

	/**
	 * Starts a server.
	 * @param log log to serve
	 * @param hostList host list to serve
	 * @param weightStore weight store to serve
	 * @param tables keyed tables to serve
	 * @param port port to bind on the loopback address, or 0 for a free one
	 * @return a running server
	 * @throws IOException if the port cannot be bound
	 */
	public static PlatformServer start(StandinLog log, StandinHostList hostList, StandinWeightStore weightStore,
			StandinTables tables, int port) throws IOException {
		return new PlatformServer(log, hostList, weightStore, tables, port);
	}

	private void handle(HttpServerExchange exchange) throws IOException {
		String name = ExchangeSupport.pathSegment(exchange, 1);
		String operation = exchange.getRequestMethod() + " " + ExchangeSupport.pathSegment(exchange, 0);
		switch (operation) {
			case "POST streams" -> ExchangeSupport.receiveBody(exchange,
					(body) -> ExchangeSupport.sendJson(exchange, this.log.append(name, body)));
			case "GET streams" -> sendRecords(exchange, name);
			case "GET hosts" -> ExchangeSupport.dispatchBlocking(exchange, () -> sendHosts(exchange));
			case "PUT hosts" -> ExchangeSupport.receiveBody(exchange, (body) -> {
				this.hostList.put(SharedJsonMapper.mapper().readValue(body, HostList.Host.class));
				ExchangeSupport.sendJson(exchange, "done");
			});
			case "DELETE hosts" -> {
				this.hostList.remove(name);
				ExchangeSupport.sendJson(exchange, "done");
			}
			case "POST permits" -> ExchangeSupport.dispatchBlocking(exchange,
					() -> ExchangeSupport.sendJson(exchange, this.weightStore.requestPermit(name)));
			case "GET tables" -> ExchangeSupport.sendJson(exchange, this.tables.list(name).join());
			case "POST tables" -> ExchangeSupport.receiveBody(exchange, (body) -> {
				String key = exchange.getQueryParameters().get("key").getFirst();
				byte[] value = SharedJsonMapper.mapper().readValue(body, byte[].class);
				long endOffset = ExchangeSupport.longParameter(exchange, "at", 0);
				ExchangeSupport.sendJson(exchange, this.tables.tryAppend(name, endOffset, key, value).join());
			});
			case "POST faults" -> {
				this.log.injectFault(LogFault.valueOf(name.toUpperCase(Locale.ROOT)));
				ExchangeSupport.sendJson(exchange, "done");
			}
			default -> exchange.setStatusCode(404).endExchange();
		}
	}

	private void sendHosts(HttpServerExchange exchange) throws IOException, PlatformException {
		List<HostList.Host> hostEntries = this.hostList.hosts();
		String etag = Integer.toHexString(hostEntries.hashCode());
		if (etag.equals(exchange.getRequestHeaders().getFirst(Headers.IF_NONE_MATCH))) {
			exchange.setStatusCode(NOT_MODIFIED).endExchange();
			return;
		}
		exchange.getResponseHeaders().put(Headers.ETAG, etag);
		ExchangeSupport.sendJson(exchange, hostEntries);
	}

	private void sendRecords(HttpServerExchange exchange, String stream) {
		long fromOffset = ExchangeSupport.longParameter(exchange, "from", 1);
		long waitMillis = ExchangeSupport.longParameter(exchange, "wait", 0);
		ExchangeSupport.dispatchBlocking(exchange,
				() -> ExchangeSupport.sendJson(exchange, this.log.read(stream, fromOffset, waitMillis)));
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
