package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * HTTP server for readiness checks of the load balancer, metrics and state dumps.
 * Invariant: a connection gets one response for each request, in order, and none for
 * bytes that are no request, which close it. Confined to the traffic thread, except
 * {@link #start}.
 */
final class StatusServer {

	private StatusServer() {
	}

	/**
	 * Starts a server.
	 * @param loop the traffic thread
	 * @param address address to bind
	 * @param responder returns the response to a path
	 * @throws IOException if the address cannot be bound
	 */
	static void start(EventLoop loop, InetSocketAddress address, Function<String, TextResponse> responder)
			throws IOException {
		ChannelFuture bindFuture = new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childHandler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline().addLast(new HttpServerCodec()).addLast(new ConnectionHandler(responder));
				}

			})
			.bind(address)
			.awaitUninterruptibly();
		if (!bindFuture.isSuccess()) {
			throw new IOException("cannot bind " + address + ": " + bindFuture.cause().getMessage(),
					bindFuture.cause());
		}
	}

	/**
	 * A plain-text response. Immutable.
	 *
	 * @param status HTTP status
	 * @param body text of the body
	 */
	record TextResponse(int status, String body) {
	}

	/**
	 * Serves the requests of one connection.
	 */
	private static final class ConnectionHandler extends SimpleChannelInboundHandler<HttpObject> {

		private final Function<String, TextResponse> responder;

		ConnectionHandler(Function<String, TextResponse> responder) {
			this.responder = responder;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
			if (message.decoderResult().isFailure()) {
				context.close();
				return;
			}
			if (!(message instanceof HttpRequest request)) {
				return;
			}
			TextResponse text = this.responder.apply(request.uri());
			byte[] body = text.body().getBytes(StandardCharsets.UTF_8);
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(text.status()), Unpooled.wrappedBuffer(body));
			response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
			boolean keepAlive = HttpUtil.isKeepAlive(request);
			if (!keepAlive) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			ChannelFuture written = context.writeAndFlush(response);
			if (!keepAlive) {
				written.addListener(ChannelFutureListener.CLOSE);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
