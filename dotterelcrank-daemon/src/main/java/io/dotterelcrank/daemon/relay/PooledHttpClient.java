package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import jdk.net.ExtendedSocketOptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.connection.ConnectTimeout;

/**
 * HTTP client with a connection pool, for targets, engines and the platform's store. A
 * connection carries one request at a time. Invariants: no request is ever sent twice; a
 * connection is reused only after a complete response with no bytes behind it, only for
 * requests that allow it, and not if bytes or its close have arrived since; a server that
 * has written bytes that belong to no request gets a connection for each request for
 * {@link #STUTTERING_MILLIS}, as a copy of a response that arrives while the next one is
 * awaited cannot be told from it. Confined to the traffic thread.
 */
public final class PooledHttpClient {

	/** Maximum idle time of a pooled connection, in milliseconds. */
	static final long MAX_IDLE_MILLIS = 1_500;

	/**
	 * Fraction of the server's keep-alive timeout for which a connection may be reused.
	 */
	static final double KEEP_ALIVE_FRACTION = 0.5;

	/**
	 * Time for which no connection is kept to a server that has written bytes that belong
	 * to no request, in milliseconds.
	 */
	static final long STUTTERING_MILLIS = 600_000;

	private static final Logger logger = LoggerFactory.getLogger(PooledHttpClient.class);

	private static final int MAX_STATUS_LINE_BYTES = 8 * 1024;

	private static final int MAX_HEADER_BYTES = 64 * 1024;

	/** Maximum size of a body chunk passed to the listener, in bytes. */
	private static final int MAX_CHUNK_BYTES = 64 * 1024;

	/**
	 * Idle time before the first TCP keep-alive probe, and time between probes, in
	 * seconds.
	 */
	private static final int TCP_PROBE_SECONDS = 1;

	/** Unanswered TCP keep-alive probes after which the connection is closed. */
	private static final int MAX_UNANSWERED_PROBES = 3;

	private final EventLoop loop;

	/** Idle connections by address; the last one was used most recently. */
	private final Map<InetSocketAddress, Deque<HttpConnection>> idleConnections = new HashMap<>();

	/** Until when no connection is kept, in milliseconds, by address. */
	private final Map<InetSocketAddress, Long> stutteringUntilMillis = new HashMap<>();

	private final Clock clock = Clock.system();

	/** Creates the channels of new connections. */
	private final ChannelFactory<? extends Channel> channels;

	private PooledHttpClient(EventLoop loop, ChannelFactory<? extends Channel> channels) {
		this.loop = loop;
		this.channels = channels;
	}

	/**
	 * Creates a client and starts closing expired connections.
	 * @param loop the traffic thread
	 * @return a new client
	 */
	public static PooledHttpClient create(EventLoop loop) {
		return create(loop, NioSocketChannel::new);
	}

	static PooledHttpClient create(EventLoop loop, ChannelFactory<? extends Channel> channels) {
		PooledHttpClient client = new PooledHttpClient(loop, channels);
		new EventLoopScheduler(loop).scheduleWithFixedDelay(MAX_IDLE_MILLIS, client::closeExpired);
		return client;
	}

	/**
	 * Sends a request on a pooled or a new connection.
	 * @param request the request
	 * @param listener notified of the response, on the traffic thread
	 * @return handle to cancel the request or to pause reading
	 */
	public RequestHandle send(Request request, ResponseListener listener) {
		if (!request.keepsConnection() || !this.idleConnections.containsKey(request.address())) {
			return sendOnNewConnection(request, listener);
		}
		RequestAwaitingConnection awaiting = new RequestAwaitingConnection(request, listener);
		this.loop.execute(awaiting::send);
		return awaiting;
	}

	private HttpConnection sendOnNewConnection(Request request, ResponseListener listener) {
		HttpConnection connection = new HttpConnection(this, request.address());
		connection.assign(request, listener);
		try {
			connect(connection, request);
		}
		catch (RuntimeException | Error ex) {
			connection.cancel();
			throw ex;
		}
		return connection;
	}

	private Optional<HttpConnection> acquireIdle(InetSocketAddress address) {
		Deque<HttpConnection> idle = this.idleConnections.getOrDefault(address, new ArrayDeque<>());
		HttpConnection connection = idle.pollLast();
		while (connection != null && !connection.reusableAfterReading()) {
			connection.close();
			connection = idle.pollLast();
		}
		return Optional.ofNullable(connection);
	}

	/**
	 * Returns the event loop of all connections.
	 * @return the traffic thread
	 */
	public EventLoop loop() {
		return this.loop;
	}

	/**
	 * Keeps a connection for a later request, or closes it if its server writes bytes
	 * that belong to no request.
	 * @param connection connection without a request
	 */
	void release(HttpConnection connection) {
		if (this.stutteringUntilMillis.containsKey(connection.address())) {
			connection.close();
			return;
		}
		this.idleConnections.computeIfAbsent(connection.address(), (address) -> new ArrayDeque<>()).addLast(connection);
	}

	void remove(HttpConnection connection) {
		Deque<HttpConnection> idle = this.idleConnections.get(connection.address());
		if (idle != null) {
			idle.remove(connection);
		}
	}

	/**
	 * Keeps no connection to a server for a while, as it writes bytes that belong to no
	 * request.
	 * @param address address of the server
	 */
	void recordStutter(InetSocketAddress address) {
		if (this.stutteringUntilMillis.put(address, this.clock.millis() + STUTTERING_MILLIS) == null) {
			LogEvent.SERVER_STUTTERS.log(logger, address, STUTTERING_MILLIS);
		}
		Optional.ofNullable(this.idleConnections.remove(address))
			.ifPresent((idle) -> idle.forEach(HttpConnection::close));
	}

	private void closeExpired() {
		long nowMillis = this.clock.millis();
		this.stutteringUntilMillis.values().removeIf((untilMillis) -> untilMillis <= nowMillis);
		this.idleConnections.values().forEach((idle) -> idle.removeIf((connection) -> {
			boolean expired = !connection.reusable();
			if (expired) {
				connection.close();
			}
			return expired;
		}));
		this.idleConnections.values().removeIf(Deque::isEmpty);
	}

	private void connect(HttpConnection connection, Request request) {
		ChannelFuture connect = new Bootstrap().group(this.loop)
			.channelFactory(this.channels)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), TCP_PROBE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), TCP_PROBE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_UNANSWERED_PROBES)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
			.handler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(connection.newDecoder(MAX_STATUS_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
						.addLast(new RequestEncoder())
						.addLast(connection);
				}

			})
			.connect(request.address());
		connect.addListener((future) -> {
			if (!future.isSuccess()) {
				// Without a channel, Netty reports the failure on a thread of its own.
				this.loop.execute(() -> connection.connectFailed(future.cause()));
			}
		});
		ConnectTimeout.limit(connect, request.connectTimeoutMillis(), connection::connectFailed);
	}

	/**
	 * A request that is to be sent on an idle connection, or a new one. The task that
	 * sends it first reads what has arrived on the connection: the caller may be handling
	 * a read of it.
	 */
	private final class RequestAwaitingConnection implements RequestHandle {

		private final Request request;

		private final ResponseListener listener;

		/** {@code null} until there is one. */
		private HttpConnection connection;

		private boolean cancelled;

		RequestAwaitingConnection(Request request, ResponseListener listener) {
			this.request = request;
			this.listener = listener;
		}

		void send() {
			if (this.cancelled) {
				return;
			}
			Optional<HttpConnection> idle;
			try {
				idle = acquireIdle(this.request.address());
				this.connection = idle.isPresent() ? idle.get() : sendOnNewConnection(this.request, this.listener);
			}
			catch (RuntimeException | Error ex) {
				this.listener.failed(false, "connection failed: " + ex.getMessage());
				return;
			}
			if (idle.isPresent()) {
				this.connection.assign(this.request, this.listener);
				this.connection.write();
			}
		}

		@Override
		public void cancel() {
			this.cancelled = true;
			if (this.connection != null) {
				this.connection.cancel();
			}
		}

		@Override
		public void setReadEnabled(boolean enabled) {
			if (this.connection != null) {
				this.connection.setReadEnabled(enabled);
			}
		}

		@Override
		public boolean writeStarted() {
			return this.connection != null && this.connection.writeStarted();
		}

	}

	/**
	 * Encodes requests. The codec decodes each byte of a path as one character, but
	 * writes those above ASCII as two bytes.
	 */
	private static final class RequestEncoder extends HttpRequestEncoder {

		@Override
		protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) {
			buffer.writeCharSequence(
					request.method().name() + ' ' + request.uri() + ' ' + request.protocolVersion().text() + "\r\n",
					StandardCharsets.ISO_8859_1);
		}

	}

	/**
	 * An HTTP request. The body array is not modified after construction.
	 *
	 * @param address address of the server
	 * @param method method of the request
	 * @param uri path and query
	 * @param headers headers; Host and Content-Length are added, Host only if absent
	 * @param body body
	 * @param keepsConnection whether a connection that served an earlier request may be
	 * used, and serves later ones
	 * @param connectTimeoutMillis connection timeout, in milliseconds
	 */
	public record Request(InetSocketAddress address, HttpMethod method, String uri, HttpHeaders headers, byte[] body,
			boolean keepsConnection, int connectTimeoutMillis) {

		/**
		 * Creates a request whose connection is kept after the response.
		 * @param address address of the server
		 * @param method method of the request
		 * @param uri path and query
		 * @param headers headers
		 * @param body body
		 * @param connectTimeoutMillis connection timeout, in milliseconds
		 * @return request that may use any idle connection
		 */
		public static Request keepingConnection(InetSocketAddress address, HttpMethod method, String uri,
				HttpHeaders headers, byte[] body, int connectTimeoutMillis) {
			return new Request(address, method, uri, headers, body, true, connectTimeoutMillis);
		}

		/**
		 * Creates a request that has a connection of its own, for a response that does
		 * not name its request: on a connection that is used again, a late copy of
		 * another response could be taken for it.
		 * @param address address of the server
		 * @param method method of the request
		 * @param uri path and query
		 * @param headers headers
		 * @param body body
		 * @param connectTimeoutMillis connection timeout, in milliseconds
		 * @return request that uses a new connection, which is closed after the response
		 */
		public static Request onNewConnection(InetSocketAddress address, HttpMethod method, String uri,
				HttpHeaders headers, byte[] body, int connectTimeoutMillis) {
			return new Request(address, method, uri, headers, body, false, connectTimeoutMillis);
		}

		DefaultFullHttpRequest toNettyRequest() {
			DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.method, this.uri,
					Unpooled.wrappedBuffer(this.body), this.headers, EmptyHttpHeaders.INSTANCE);
			if (!this.headers.contains(HttpHeaderNames.HOST)) {
				this.headers.set(HttpHeaderNames.HOST, this.address.getHostString() + ':' + this.address.getPort());
			}
			if (this.body.length > 0 || HttpMethod.POST.equals(this.method) || HttpMethod.PUT.equals(this.method)) {
				this.headers.set(HttpHeaderNames.CONTENT_LENGTH, this.body.length);
			}
			return request;
		}

	}

	/**
	 * Handle of a request under way.
	 */
	public interface RequestHandle {

		/**
		 * Cancels the request and closes its connection. The listener is not called any
		 * more.
		 */
		void cancel();

		/**
		 * Pauses or resumes reading of the response.
		 * @param enabled whether to read
		 */
		void setReadEnabled(boolean enabled);

		/**
		 * Returns whether the server may have received the request.
		 * @return {@code false} until writing of the first byte starts
		 */
		boolean writeStarted();

	}

	/**
	 * Receives the response to one request: {@link #head}, any number of {@link #body},
	 * then {@link #complete}. {@link #failed} can replace any of these and is the last
	 * call.
	 */
	public interface ResponseListener {

		/**
		 * Called right before the first byte of the request is written. Nothing is
		 * written if the request is cancelled meanwhile.
		 */
		default void beforeWrite() {
		}

		/**
		 * Called when the response head has arrived.
		 * @param response status and headers
		 */
		void head(HttpResponse response);

		/**
		 * Called for each chunk of the body.
		 * @param chunk bytes, not modified afterwards
		 */
		void body(byte[] chunk);

		/**
		 * Called when the response is complete.
		 */
		void complete();

		/**
		 * Called when the response is missing or incomplete.
		 * @param writeStarted whether the server may have received the request
		 * @param reason description of the error
		 */
		void failed(boolean writeStarted, String reason);

		/**
		 * Called in place of {@link #failed} when this side rejects bytes that are no
		 * response, which says nothing of what the server goes on to do.
		 * @param reason description of the error
		 */
		default void rejected(String reason) {
			failed(true, reason);
		}

	}

}
