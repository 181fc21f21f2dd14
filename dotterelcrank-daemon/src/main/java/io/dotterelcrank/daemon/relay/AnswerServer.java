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
 * Answers the balancer's and operators' questions. Belongs to the traffic thread.
 */
final class AnswerServer {

	private AnswerServer() {
	}

	/**
	 * Starts a server.
	 * @param loop the traffic thread
	 * @param address address to bind
	 * @param answers returns the answer to a path
	 * @throws IOException if the address cannot be bound
	 */
	static void start(EventLoop loop, InetSocketAddress address, Function<String, Reply> answers) throws IOException {
		ChannelFuture bound = new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childHandler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline().addLast(new HttpServerCodec()).addLast(new QuestionHandler(answers));
				}

			})
			.bind(address)
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("cannot bind " + address + ": " + bound.cause().getMessage(), bound.cause());
		}
	}

	/**
	 * An answer. Immutable.
	 *
	 * @param status HTTP status
	 * @param text body
	 */
	record Reply(int status, String text) {
	}

	/**
	 * Answers the questions of one connection.
	 */
	private static final class QuestionHandler extends SimpleChannelInboundHandler<HttpObject> {

		/** Returns the answer to a path. */
		private final Function<String, Reply> answers;

		QuestionHandler(Function<String, Reply> answers) {
			this.answers = answers;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
			if (!(message instanceof HttpRequest request)) {
				return;
			}
			Reply reply = this.answers.apply(request.uri());
			byte[] body = reply.text().getBytes(StandardCharsets.UTF_8);
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(body));
			response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
			boolean keep = HttpUtil.isKeepAlive(request);
			if (!keep) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			ChannelFuture sent = context.writeAndFlush(response);
			if (!keep) {
				sent.addListener(ChannelFutureListener.CLOSE);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
