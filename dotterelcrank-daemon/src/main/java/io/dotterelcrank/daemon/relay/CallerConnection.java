package io.dotterelcrank.daemon.relay;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import io.dotterelcrank.daemon.http.ErrorBody;
import io.dotterelcrank.process.relay.CallerChannel;
import io.dotterelcrank.process.relay.RelayedRequest;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * One caller's connection. Invariant: one request at a time; bytes of later requests wait
 * until its answer has ended. Belongs to the traffic thread.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {

	/** Decoded pieces of later requests that may wait before reading stops. */
	private static final int MAX_EARLY_PIECES = 64;

	/**
	 * Time for which the rest of a refused request is read, so that its answer is not
	 * lost in a reset, in milliseconds.
	 */
	private static final long LINGER_MILLIS = 500;

	/** The server. */
	private final CallerServer server;

	/** The channel. */
	private final Channel channel;

	/** Pieces of later requests. */
	private final Queue<HttpObject> early = new ArrayDeque<>();

	/** Body of the request that is being read. */
	private ByteArrayOutputStream body = new ByteArrayOutputStream();

	/** Head of the request that is being read, or {@code null}. */
	private HttpRequest head;

	/** When the first byte of the request arrived, in milliseconds. */
	private long arrivedMillis;

	/** Since when the connection has waited for a request, in milliseconds. */
	private long idleSinceMillis;

	/** Whether bytes of a next request have arrived. */
	private boolean arriving;

	/** The answer under way, or {@code null}. */
	private Answer answer;

	/** Whether nothing more is read. */
	private boolean ended;

	CallerConnection(CallerServer server, Channel channel) {
		super(false);
		this.server = server;
		this.channel = channel;
		this.idleSinceMillis = server.clock().millis();
	}

	/**
	 * Returns a handler that notes when the bytes of a request begin to arrive.
	 * @return a handler to put before the decoder
	 */
	ChannelHandler arrivals() {
		return new ChannelInboundHandlerAdapter() {

			@Override
			public void channelRead(ChannelHandlerContext context, Object message) {
				if (!CallerConnection.this.arriving) {
					CallerConnection.this.arriving = true;
					CallerConnection.this.arrivedMillis = CallerConnection.this.server.clock().millis();
				}
				context.fireChannelRead(message);
			}

		};
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.server.opened(this);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.server.closed(this);
		this.ended = true;
		this.early.forEach(ReferenceCountUtil::release);
		this.early.clear();
		if (this.answer != null) {
			this.answer.gone();
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (this.ended) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.answer != null || !this.early.isEmpty()) {
			this.early.add(message);
			if (this.early.size() >= MAX_EARLY_PIECES) {
				this.channel.config().setAutoRead(false);
			}
			return;
		}
		take(message);
	}

	private void take(HttpObject message) {
		try {
			if (message.decoderResult().isFailure()) {
				malformed(message.decoderResult().cause());
				return;
			}
			if (message instanceof HttpRequest request) {
				begin(request);
			}
			if (message instanceof HttpContent content && this.head != null) {
				content(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void malformed(Throwable cause) {
		ResultCode code = (cause instanceof TooLongFrameException) ? ResultCode.HEAD_TOO_LARGE
				: ResultCode.INVALID_REQUEST;
		refuseUnread(Failure.notRun(code, String.valueOf(cause.getMessage())));
	}

	private void begin(HttpRequest request) {
		this.head = request;
		this.body = new ByteArrayOutputStream();
		if (HttpUtil.getContentLength(request, 0L) > this.server.limits().maxBodyBytes()) {
			tooLarge();
		}
		else if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private void tooLarge() {
		refuseUnread(Failure.notRun(ResultCode.REQUEST_TOO_LARGE,
				"body larger than " + this.server.limits().maxBodyBytes() + " bytes"));
	}

	private void content(HttpContent content) {
		this.body.writeBytes(ByteBufUtil.getBytes(content.content()));
		if (this.body.size() > this.server.limits().maxBodyBytes()) {
			tooLarge();
			return;
		}
		if (content instanceof LastHttpContent) {
			serve();
		}
	}

	private void refuseUnread(Failure failure) {
		this.ended = true;
		new Answer(this.head, false).sendError(failure);
		this.head = null;
		this.channel.eventLoop().schedule(() -> this.channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void serve() {
		HttpRequest request = this.head;
		this.head = null;
		this.arriving = false;
		Answer started = new Answer(request, HttpUtil.isKeepAlive(request));
		this.answer = started;
		try {
			started.relay = this.server.service()
				.accept(this.server.dialect().request(request, this.body.toByteArray(), this.arrivedMillis), started);
		}
		catch (RequestException ex) {
			started.sendError(ex.failure());
		}
	}

	private void answered(boolean keep) {
		this.answer = null;
		this.idleSinceMillis = this.server.clock().millis();
		if (!keep) {
			this.ended = true;
			this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
			return;
		}
		this.channel.eventLoop().execute(this::takeEarly);
	}

	private void takeEarly() {
		while (this.answer == null && !this.ended && !this.early.isEmpty()) {
			take(this.early.poll());
		}
		this.channel.config().setAutoRead(true);
	}

	/**
	 * Closes the connection if it has been idle, or its request's head arriving, for too
	 * long.
	 */
	void look() {
		if (this.answer != null || this.ended) {
			return;
		}
		long nowMillis = this.server.clock().millis();
		boolean slow = this.arriving && this.head == null
				&& nowMillis - this.arrivedMillis > this.server.limits().headerTimeoutMillis();
		boolean idle = !this.arriving && nowMillis - this.idleSinceMillis > this.server.limits().idleTimeoutMillis();
		if (slow || idle) {
			this.channel.close();
		}
	}

	/**
	 * Closes the connection if no request is under way on it.
	 */
	void closeIfIdle() {
		if (this.answer == null && !this.arriving) {
			this.channel.close();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.answer != null && this.answer.relay != null) {
			this.answer.relay.callerWritabilityChanged(context.channel().isWritable());
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	/**
	 * The answer to one request.
	 */
	private final class Answer implements CallerChannel {

		/** Whether the request's method is HEAD, whose answer has no body. */
		private final boolean headOnly;

		/** Whether the caller keeps the connection. */
		private final boolean keepAlive;

		/** The request under way, or {@code null}. */
		private RelayedRequest relay;

		/** Whether the answer has ended. */
		private boolean over;

		Answer(HttpRequest request, boolean keepAlive) {
			this.headOnly = request != null && HttpMethod.HEAD.equals(request.method());
			this.keepAlive = keepAlive;
		}

		private void gone() {
			this.over = true;
			if (this.relay != null) {
				this.relay.callerDisconnected();
			}
		}

		private boolean keep() {
			return this.keepAlive && !CallerConnection.this.server.closing();
		}

		@Override
		public void sendResponse(int status, List<Header> headers, byte[] body) {
			if (this.over) {
				return;
			}
			this.over = true;
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(this.headOnly ? new byte[0] : body));
			copy(headers, response.headers());
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
			boolean keep = connection(response);
			CallerConnection.this.channel.writeAndFlush(response);
			answered(keep);
		}

		private static void copy(List<Header> headers, HttpHeaders into) {
			headers.forEach((header) -> into.add(header.name(), header.value()));
		}

		private boolean connection(HttpResponse response) {
			boolean keep = keep();
			if (!keep) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			return keep;
		}

		@Override
		public void startResponse(int status, List<Header> headers) {
			if (this.over) {
				return;
			}
			HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
			copy(headers, response.headers());
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
			connection(response);
			CallerConnection.this.channel.writeAndFlush(response);
		}

		@Override
		public void write(byte[] piece) {
			if (!this.over) {
				CallerConnection.this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(piece)));
			}
		}

		@Override
		public void end() {
			if (!this.over) {
				this.over = true;
				CallerConnection.this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
				answered(keep());
			}
		}

		@Override
		public void sendError(Failure failure) {
			sendResponse(failure.code().httpStatus(), CallerConnection.this.server.dialect().failureHeaders(failure),
					ErrorBody.bytes(failure));
		}

		@Override
		public void abort() {
			this.over = true;
			CallerConnection.this.ended = true;
			CallerConnection.this.channel.close();
		}

		@Override
		public boolean writable() {
			return CallerConnection.this.channel.isWritable();
		}

	}

}
