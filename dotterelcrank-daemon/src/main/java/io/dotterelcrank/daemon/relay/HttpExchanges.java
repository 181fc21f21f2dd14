package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import jdk.net.ExtendedSocketOptions;

/**
 * HTTP calls to targets, engines and the platform's store, each on a connection that
 * serves one call at a time. Invariants: no call is ever sent twice; a connection is used
 * again only after a whole answer with nothing behind it, and only for calls that allow
 * it. Belongs to the traffic thread.
 */
public final class HttpExchanges {

	/** Longest time that a connection waits for its next call, in milliseconds. */
	static final long IDLE_MILLIS = 1_500;

	/** Part of a server's keep-alive time for which a connection is used again. */
	static final double KEEP_ALIVE_PART = 0.5;

	/** Longest first line and largest head of an answer, in bytes. */
	private static final int MAX_LINE_BYTES = 8 * 1024;

	/** Largest head of an answer, in bytes. */
	private static final int MAX_HEAD_BYTES = 64 * 1024;

	/** Largest piece that is passed on at once, in bytes. */
	private static final int MAX_PIECE_BYTES = 64 * 1024;

	/** Time after which a silent connection is probed, and between probes, in seconds. */
	private static final int PROBE_SECONDS = 1;

	/** Probes without an answer after which a connection is dead. */
	private static final int PROBES = 3;

	/** The traffic thread. */
	private final EventLoop loop;

	/** Connections that wait for a call, by address; the last one waits shortest. */
	private final Map<InetSocketAddress, Deque<HttpConnection>> idle = new HashMap<>();

	private HttpExchanges(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Creates a client without connections.
	 * @param loop the traffic thread
	 * @return a new client
	 */
	public static HttpExchanges on(EventLoop loop) {
		HttpExchanges exchanges = new HttpExchanges(loop);
		loop.scheduleWithFixedDelay(exchanges::closeIdle, IDLE_MILLIS, IDLE_MILLIS, TimeUnit.MILLISECONDS);
		return exchanges;
	}

	/**
	 * Sends a call.
	 * @param call the call
	 * @param answer hears of the answer, on the traffic thread
	 * @return a handle of the call
	 */
	public Handle send(Call call, Answer answer) {
		Optional<HttpConnection> reused = call.reusable() ? takeIdle(call.address()) : Optional.empty();
		HttpConnection connection = reused.orElseGet(() -> new HttpConnection(this, call.address()));
		connection.begin(call, answer);
		if (reused.isPresent()) {
			this.loop.execute(connection::write);
		}
		else {
			connect(connection, call);
		}
		return connection;
	}

	private Optional<HttpConnection> takeIdle(InetSocketAddress address) {
		Deque<HttpConnection> waiting = this.idle.getOrDefault(address, new ArrayDeque<>());
		HttpConnection connection = waiting.pollLast();
		while (connection != null && !connection.usable()) {
			connection.close();
			connection = waiting.pollLast();
		}
		return Optional.ofNullable(connection);
	}

	/**
	 * Returns the thread of the connections.
	 * @return the traffic thread
	 */
	public EventLoop loop() {
		return this.loop;
	}

	void keep(HttpConnection connection) {
		this.idle.computeIfAbsent(connection.address(), (address) -> new ArrayDeque<>()).addLast(connection);
	}

	void forget(HttpConnection connection) {
		Deque<HttpConnection> waiting = this.idle.get(connection.address());
		if (waiting != null) {
			waiting.remove(connection);
		}
	}

	private void closeIdle() {
		this.idle.values().forEach((waiting) -> waiting.removeIf((connection) -> {
			boolean old = !connection.usable();
			if (old) {
				connection.close();
			}
			return old;
		}));
		this.idle.values().removeIf(Deque::isEmpty);
	}

	private void connect(HttpConnection connection, Call call) {
		new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, call.connectMillis())
			.handler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_PIECE_BYTES, false))
						.addLast(connection);
				}

			})
			.connect(call.address())
			.addListener((ChannelFuture future) -> {
				if (!future.isSuccess()) {
					connection.unconnected(future.cause());
				}
			});
	}

	/**
	 * One call. The body array is not modified after construction.
	 *
	 * @param address where it goes
	 * @param method HTTP method
	 * @param uri path and query
	 * @param headers headers, without length and host unless given
	 * @param body body
	 * @param reusable whether a connection that served an earlier call may be used
	 * @param connectMillis longest time until the connection is open, in milliseconds
	 */
	public record Call(InetSocketAddress address, HttpMethod method, String uri, HttpHeaders headers, byte[] body,
			boolean reusable, int connectMillis) {

		DefaultFullHttpRequest message() {
			DefaultFullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.method, this.uri,
					Unpooled.wrappedBuffer(this.body), this.headers, EmptyHttpHeaders.INSTANCE);
			if (!this.headers.contains(HttpHeaderNames.HOST)) {
				this.headers.set(HttpHeaderNames.HOST, this.address.getHostString() + ':' + this.address.getPort());
			}
			if (this.body.length > 0 || HttpMethod.POST.equals(this.method) || HttpMethod.PUT.equals(this.method)) {
				this.headers.set(HttpHeaderNames.CONTENT_LENGTH, this.body.length);
			}
			return message;
		}

	}

	/**
	 * A call that was sent.
	 */
	public interface Handle {

		/**
		 * Gives the call up. Its answer hears nothing more.
		 */
		void cancel();

		/**
		 * Stops or continues reading.
		 * @param reading whether to read
		 */
		void read(boolean reading);

		/**
		 * Tells whether the server may have received the call.
		 * @return {@code false} until the first byte is written
		 */
		boolean written();

	}

	/**
	 * Hears of the answer to one call: {@link #head}, any number of {@link #body}, then
	 * {@link #complete}; {@link #failed} instead of any of these ends it.
	 */
	public interface Answer {

		/**
		 * The head of the answer arrived.
		 * @param response the head
		 * @param reused whether the connection had served an earlier call
		 */
		void head(HttpResponse response, boolean reused);

		/**
		 * A piece of the body arrived.
		 * @param piece bytes, not modified afterwards
		 */
		void body(byte[] piece);

		/**
		 * The answer is whole.
		 */
		void complete();

		/**
		 * No answer, or no whole one, will come.
		 * @param written whether the server may have received the call
		 * @param reason what happened
		 */
		void failed(boolean written, String reason);

	}

}
