package io.dotterelcrank.daemon.relay;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.daemon.http.ErrorBody;
import io.dotterelcrank.process.relay.CallerChannel;
import io.dotterelcrank.process.relay.RelayedRequest;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * One caller's connection. Invariants: one request at a time; pipelined requests are
 * buffered until the response has ended; a complete response is sent to its last byte
 * whatever becomes of the next one, while the caller reads. Confined to the traffic
 * thread.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {

	private static final Logger logger = LoggerFactory.getLogger(CallerConnection.class);

	/** Buffered messages of pipelined requests at which reading pauses. */
	private static final int MAX_PIPELINED_MESSAGES = 64;

	/**
	 * Time between the last byte of the last response and the closing of the connection,
	 * unless the caller closes it before, in milliseconds. Until then what arrives is
	 * read and discarded: closing at once would reset the connection, and the caller
	 * could lose the response.
	 */
	private static final long LINGER_MILLIS = 500;

	private final CallerServer server;

	private final Channel channel;

	/** Buffered messages of pipelined requests. */
	private final Queue<HttpObject> pipelined = new ArrayDeque<>();

	private ByteArrayOutputStream requestBody = new ByteArrayOutputStream();

	/** Head of the request whose body is being read, or {@code null}. */
	private HttpRequest requestHead;

	/**
	 * Time at which the first bytes arrived after the last request was dispatched, in
	 * milliseconds.
	 */
	private long arrivedMillis;

	/**
	 * Time at which the connection was opened or the last response ended, in
	 * milliseconds.
	 */
	private long idleSinceMillis;

	/** Whether bytes have arrived since the last request was dispatched. */
	private boolean receivingRequest;

	/** Completed once all bytes of the responses so far are sent. */
	private ChannelFuture lastWrite;

	/** Bytes of responses that were not yet sent at the last check. */
	private long lastUnsentBytes;

	/** Exchange whose response has not ended, or {@code null}. */
	private CallerExchange currentExchange;

	/** Whether the connection reads no further request and discards what arrives. */
	private boolean discardsInput;

	CallerConnection(CallerServer server, Channel channel) {
		super(false);
		this.server = server;
		this.channel = channel;
		this.idleSinceMillis = server.clock().millis();
		this.lastWrite = channel.newSucceededFuture();
	}

	/**
	 * Returns a handler that records when the first bytes of a request arrive.
	 * @return handler, to be placed before the decoder
	 */
	ChannelHandler arrivalRecorder() {
		return new ChannelInboundHandlerAdapter() {

			@Override
			public void channelRead(ChannelHandlerContext context, Object message) {
				if (!CallerConnection.this.receivingRequest) {
					CallerConnection.this.receivingRequest = true;
					CallerConnection.this.arrivedMillis = CallerConnection.this.server.clock().millis();
				}
				context.fireChannelRead(message);
			}

		};
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.server.add(this);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.server.remove(this);
		this.discardsInput = true;
		this.pipelined.forEach(ReferenceCountUtil::release);
		this.pipelined.clear();
		if (this.currentExchange != null) {
			this.currentExchange.callerDisconnected();
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (this.discardsInput) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.currentExchange != null || !this.pipelined.isEmpty()) {
			this.pipelined.add(message);
			if (this.pipelined.size() >= MAX_PIPELINED_MESSAGES) {
				this.channel.config().setAutoRead(false);
			}
			return;
		}
		handle(message);
	}

	private void handle(HttpObject message) {
		try {
			if (message.decoderResult().isFailure()) {
				rejectMalformed(message.decoderResult().cause());
				return;
			}
			if (message instanceof HttpRequest request) {
				beginRequest(request);
			}
			if (message instanceof HttpContent content && this.requestHead != null) {
				receiveContent(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void rejectMalformed(Throwable cause) {
		String message = String.valueOf(cause.getMessage());
		rejectIncomplete((cause instanceof TooLongFrameException)
				? this.server.service().limitExceeded(ResultCode.HEAD_TOO_LARGE, message)
				: Failure.notRun(ResultCode.INVALID_REQUEST, message));
	}

	private void beginRequest(HttpRequest request) {
		this.requestHead = request;
		this.requestBody = new ByteArrayOutputStream();
		if (HttpUtil.getContentLength(request, 0L) > this.server.limits().maxBodyBytes()) {
			rejectTooLarge();
		}
		else if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private void rejectTooLarge() {
		rejectIncomplete(this.server.service()
			.limitExceeded(ResultCode.REQUEST_TOO_LARGE,
					"body larger than " + this.server.limits().maxBodyBytes() + " bytes"));
	}

	private void receiveContent(HttpContent content) {
		this.requestBody.writeBytes(ByteBufUtil.getBytes(content.content()));
		if (this.requestBody.size() > this.server.limits().maxBodyBytes()) {
			rejectTooLarge();
			return;
		}
		if (content instanceof LastHttpContent) {
			dispatch();
		}
	}

	private void rejectIncomplete(Failure failure) {
		LogEvent.REQUEST_UNREAD.log(logger, this.channel.remoteAddress(), failure.code().name(), failure.message());
		this.discardsInput = true;
		new CallerExchange(this.requestHead, false).sendError(failure);
		this.requestHead = null;
	}

	private void dispatch() {
		HttpRequest request = this.requestHead;
		this.requestHead = null;
		this.receivingRequest = false;
		CallerExchange dispatched = new CallerExchange(request, HttpUtil.isKeepAlive(request));
		this.currentExchange = dispatched;
		try {
			dispatched.relayedRequest = this.server.service()
				.accept(this.server.messageMapper()
					.readRequest(request, this.requestBody.toByteArray(), this.arrivedMillis), dispatched);
		}
		catch (RequestException ex) {
			dispatched.sendError(ex.failure());
		}
	}

	private void responseEnded(boolean keepAlive, ChannelFuture write) {
		this.currentExchange = null;
		this.lastWrite = write;
		write.addListener((sent) -> this.idleSinceMillis = this.server.clock().millis());
		if (!keepAlive) {
			this.discardsInput = true;
			write.addListener((sent) -> closeAfterLastResponse());
			return;
		}
		this.channel.eventLoop().execute(this::handlePipelined);
	}

	/**
	 * Ends the output at once, and closes the connection once the caller does or has had
	 * time to read.
	 */
	private void closeAfterLastResponse() {
		((DuplexChannel) this.channel).shutdownOutput();
		this.channel.config().setAutoRead(true);
		this.channel.eventLoop().schedule(() -> this.channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void handlePipelined() {
		while (this.currentExchange == null && !this.discardsInput && !this.pipelined.isEmpty()) {
			handle(this.pipelined.poll());
		}
		this.channel.config().setAutoRead(true);
	}

	/**
	 * Closes the connection if it exceeds the idle timeout, the timeout for request
	 * headers or, before its body is complete, the deadline of the request. One that only
	 * has responses left to send is idle while none of their bytes is sent.
	 */
	void closeIfTimedOut() {
		if (this.currentExchange != null) {
			return;
		}
		long nowMillis = this.server.clock().millis();
		boolean awaitsRequest = this.receivingRequest && !this.discardsInput;
		boolean headersLate = awaitsRequest && this.requestHead == null
				&& nowMillis - this.arrivedMillis > this.server.limits().headerTimeoutMillis();
		ChannelOutboundBuffer outbound = this.channel.unsafe().outboundBuffer();
		long unsentBytes = (outbound != null) ? outbound.totalPendingWriteBytes() : 0;
		if (unsentBytes != this.lastUnsentBytes) {
			this.lastUnsentBytes = unsentBytes;
			this.idleSinceMillis = nowMillis;
		}
		boolean idle = !awaitsRequest && nowMillis - this.idleSinceMillis > this.server.limits().idleTimeoutMillis();
		boolean bodyLate = this.requestHead != null
				&& nowMillis - this.arrivedMillis > this.server.messageMapper().deadlineMillis(this.requestHead);
		if (bodyLate) {
			rejectIncomplete(Failure.notRun(ResultCode.OVERLOADED, "the body was not complete before the deadline"));
		}
		else if (headersLate || idle) {
			this.channel.close();
		}
	}

	/**
	 * Closes the connection unless a request is being read or served, or a response is
	 * not yet sent to its last byte.
	 * @return whether it is closed
	 */
	boolean closeIfIdle() {
		if (this.currentExchange == null && !this.receivingRequest && this.lastWrite.isDone()) {
			this.channel.close();
		}
		return !this.channel.isOpen();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.currentExchange != null && this.currentExchange.relayedRequest != null) {
			this.currentExchange.relayedRequest.callerWritabilityChanged(context.channel().isWritable());
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	/**
	 * One request and its response.
	 */
	private final class CallerExchange implements CallerChannel {

		/** Whether the method is HEAD, whose response has no body. */
		private final boolean headOnly;

		private final boolean keepAlive;

		/** {@code null} if the request was rejected before it was relayed. */
		private RelayedRequest relayedRequest;

		/** Whether the response has ended or the caller has disconnected. */
		private boolean ended;

		CallerExchange(HttpRequest request, boolean keepAlive) {
			this.headOnly = request != null && HttpMethod.HEAD.equals(request.method());
			this.keepAlive = keepAlive;
		}

		private void callerDisconnected() {
			this.ended = true;
			if (this.relayedRequest != null) {
				this.relayedRequest.callerDisconnected();
			}
		}

		private boolean mayKeepConnection() {
			return this.keepAlive && !CallerConnection.this.server.closing();
		}

		@Override
		public void sendResponse(int status, List<Header> headers, byte[] body) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(this.headOnly ? new byte[0] : body));
			addHeaders(headers, response.headers());
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
			boolean keepConnection = setConnectionHeader(response);
			responseEnded(keepConnection, CallerConnection.this.channel.writeAndFlush(response));
		}

		private static void addHeaders(List<Header> headers, HttpHeaders target) {
			headers.forEach((header) -> target.add(header.name(), header.value()));
		}

		/**
		 * Announces that the connection will be closed, unless it is kept.
		 * @param response response to set the header of
		 * @return whether the connection is kept
		 */
		private boolean setConnectionHeader(HttpResponse response) {
			boolean keepConnection = mayKeepConnection();
			if (!keepConnection) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			return keepConnection;
		}

		@Override
		public void startResponse(int status, List<Header> headers) {
			if (this.ended) {
				return;
			}
			HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
			addHeaders(headers, response.headers());
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
			setConnectionHeader(response);
			CallerConnection.this.channel.writeAndFlush(response);
		}

		@Override
		public void write(byte[] chunk) {
			if (!this.ended) {
				CallerConnection.this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(chunk)));
			}
		}

		@Override
		public void end() {
			if (!this.ended) {
				this.ended = true;
				responseEnded(mayKeepConnection(),
						CallerConnection.this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
			}
		}

		@Override
		public void sendError(Failure failure) {
			sendResponse(failure.code().httpStatus(),
					CallerConnection.this.server.messageMapper().failureHeaders(failure), ErrorBody.bytes(failure));
		}

		@Override
		public void abort() {
			if (this.ended) {
				return;
			}
			this.ended = true;
			CallerConnection.this.currentExchange = null;
			CallerConnection.this.discardsInput = true;
			CallerConnection.this.lastWrite.addListener((sent) -> CallerConnection.this.channel.close());
		}

		@Override
		public boolean writable() {
			return CallerConnection.this.channel.isWritable();
		}

	}

}
