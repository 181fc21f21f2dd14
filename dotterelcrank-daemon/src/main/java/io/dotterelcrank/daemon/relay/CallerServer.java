package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.process.relay.RelayService;
import io.dotterelcrank.version.plan.CallerLimits;

/**
 * Serves callers over HTTP/1.1. Confined to the traffic thread, except {@link #start}.
 */
public final class CallerServer {

	/** Maximum number of connections that wait to be accepted. */
	private static final int BACKLOG = 1_024;

	/** Interval between checks for timed-out connections, in milliseconds. */
	private static final long SWEEP_MILLIS = 250;

	private final RelayService service;

	private final HttpMessageMapper messageMapper;

	private final Supplier<CallerLimits> limits;

	private final Clock clock;

	private final Set<CallerConnection> connections = new LinkedHashSet<>();

	/** Accepts connections; set before the first one. */
	private Channel acceptor;

	/** Whether connections are closed after their next response. */
	private boolean closing;

	private CallerServer(RelayService service, HttpMessageMapper messageMapper, Supplier<CallerLimits> limits,
			Clock clock) {
		this.service = service;
		this.messageMapper = messageMapper;
		this.limits = limits;
		this.clock = clock;
	}

	/**
	 * Binds the address and starts to serve.
	 * @param loop the traffic thread
	 * @param address address to bind
	 * @param service relays the requests
	 * @param messageMapper converts requests and error responses
	 * @param limits supplies the current limits
	 * @param clock clock of the process
	 * @return the server
	 * @throws IOException if the address cannot be bound
	 */
	public static CallerServer start(EventLoop loop, InetSocketAddress address, RelayService service,
			HttpMessageMapper messageMapper, Supplier<CallerLimits> limits, Clock clock) throws IOException {
		CallerServer server = new CallerServer(service, messageMapper, limits, clock);
		ChannelFuture bindFuture = new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childHandler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					StrictRequestDecoder decoder = new StrictRequestDecoder(() -> limits.get().maxHeaderBytes());
					CallerConnection connection = new CallerConnection(server, channel, decoder);
					channel.pipeline()
						.addLast(connection.arrivedBytes())
						.addLast(decoder)
						.addLast(new ResponseEncoder())
						.addLast(connection);
				}

			})
			.bind(address)
			.awaitUninterruptibly();
		if (!bindFuture.isSuccess()) {
			throw new IOException("cannot bind " + address + ": " + bindFuture.cause().getMessage(),
					bindFuture.cause());
		}
		server.acceptor = bindFuture.channel();
		new EventLoopScheduler(loop).scheduleWithFixedDelay(SWEEP_MILLIS, server::closeTimedOut);
		return server;
	}

	void closeTimedOut() {
		for (CallerConnection connection : List.copyOf(this.connections)) {
			try {
				connection.closeIfTimedOut();
			}
			catch (RuntimeException | Error ex) {
				connection.endAfterDefect(ex);
			}
		}
	}

	/**
	 * Makes the server close each connection after its next response.
	 */
	public void closeAfterResponses() {
		this.closing = true;
	}

	/**
	 * Closes the connections on which no request is being read or served, and stops
	 * accepting new ones if none is left. What has arrived is accepted and read before.
	 * @return whether the server was closed already: the kernel accepts connections until
	 * the event loop has selected after the call that stops it
	 */
	public boolean closeIfIdle() {
		boolean accepting = this.acceptor.isOpen();
		acceptArrived();
		boolean idle = true;
		for (CallerConnection connection : List.copyOf(this.connections)) {
			idle &= connection.closeIfIdle();
		}
		if (idle) {
			this.acceptor.close();
		}
		return idle && !accepting;
	}

	/**
	 * Accepts the connections that have arrived, and no further ones; those that are open
	 * are served as before.
	 */
	public void stopAccepting() {
		acceptArrived();
		this.acceptor.close();
	}

	private void acceptArrived() {
		int before = -1;
		while (this.acceptor.isOpen() && this.connections.size() > before) {
			before = this.connections.size();
			read(this.acceptor);
		}
	}

	/**
	 * Reads what has arrived at a channel, as the event loop does after a select.
	 * @param channel channel of the event loop that runs this thread
	 */
	static void read(Channel channel) {
		((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
	}

	void add(CallerConnection connection) {
		this.connections.add(connection);
	}

	void remove(CallerConnection connection) {
		this.connections.remove(connection);
	}

	boolean closing() {
		return this.closing;
	}

	RelayService service() {
		return this.service;
	}

	HttpMessageMapper messageMapper() {
		return this.messageMapper;
	}

	/**
	 * Returns the id of a request.
	 * @param request head of the request; {@code null} if it was not read
	 * @return the id; empty if it has none or its head was not read
	 */
	String requestId(HttpRequest request) {
		return (request != null) ? this.messageMapper.requestId(request) : "";
	}

	CallerLimits limits() {
		return this.limits.get();
	}

	Clock clock() {
		return this.clock;
	}

	/**
	 * Encodes responses. The codec leaves out the body of a response with status 205,
	 * which has one if its target says so.
	 */
	private static final class ResponseEncoder extends HttpResponseEncoder {

		@Override
		protected boolean isContentAlwaysEmpty(HttpResponse response) {
			return response.status().code() != HttpResponseStatus.RESET_CONTENT.code()
					&& super.isContentAlwaysEmpty(response);
		}

	}

}
