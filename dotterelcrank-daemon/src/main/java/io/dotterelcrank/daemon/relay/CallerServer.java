package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.process.relay.RelayService;
import io.dotterelcrank.version.plan.CallerLimits;

/**
 * Serves callers over HTTP/1.1. Belongs to the traffic thread, but for {@link #start}.
 */
public final class CallerServer {

	/** Connections that wait to be accepted. */
	private static final int BACKLOG = 1_024;

	/** Time between two looks for slow and idle connections, in milliseconds. */
	private static final long SWEEP_MILLIS = 250;

	/** Serves the requests. */
	private final RelayService service;

	/** Names of headers. */
	private final HttpDialect dialect;

	/** Supplies the limits in force. */
	private final Supplier<CallerLimits> limits;

	/** Clock of the process. */
	private final Clock clock;

	/** Open connections. */
	private final Set<CallerConnection> connections = new LinkedHashSet<>();

	/** Whether connections are closed after their next answer. */
	private boolean closing;

	private CallerServer(RelayService service, HttpDialect dialect, Supplier<CallerLimits> limits, Clock clock) {
		this.service = service;
		this.dialect = dialect;
		this.limits = limits;
		this.clock = clock;
	}

	/**
	 * Starts a server.
	 * @param loop the traffic thread
	 * @param address address to bind
	 * @param service serves the requests
	 * @param dialect names of headers
	 * @param limits supplies the limits in force
	 * @param clock clock of the process
	 * @return the server
	 * @throws IOException if the address cannot be bound
	 */
	public static CallerServer start(EventLoop loop, InetSocketAddress address, RelayService service,
			HttpDialect dialect, Supplier<CallerLimits> limits, Clock clock) throws IOException {
		CallerServer server = new CallerServer(service, dialect, limits, clock);
		ChannelFuture bound = new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childHandler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					CallerConnection connection = new CallerConnection(server, channel);
					channel.pipeline()
						.addLast(connection.arrivals())
						.addLast(new StrictRequestDecoder(limits.get().maxHeaderBytes()))
						.addLast(new HttpResponseEncoder())
						.addLast(connection);
				}

			})
			.bind(address)
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("cannot bind " + address + ": " + bound.cause().getMessage(), bound.cause());
		}
		loop.scheduleWithFixedDelay(server::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
		return server;
	}

	private void sweep() {
		List.copyOf(this.connections).forEach(CallerConnection::look);
	}

	/**
	 * Closes each connection after its next answer.
	 */
	public void closeAfterAnswers() {
		this.closing = true;
	}

	/**
	 * Closes connections on which no request is under way.
	 */
	public void closeIdle() {
		List.copyOf(this.connections).forEach(CallerConnection::closeIfIdle);
	}

	void opened(CallerConnection connection) {
		this.connections.add(connection);
	}

	void closed(CallerConnection connection) {
		this.connections.remove(connection);
	}

	boolean closing() {
		return this.closing;
	}

	RelayService service() {
		return this.service;
	}

	HttpDialect dialect() {
		return this.dialect;
	}

	CallerLimits limits() {
		return this.limits.get();
	}

	Clock clock() {
		return this.clock;
	}

}
