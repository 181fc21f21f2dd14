package io.dotterelcrank.daemon.relay;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Queue;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.connection.EventLoopTimer;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;

/**
 * One caller's connection. Invariants: one request at a time; pipelined requests are
 * buffered until the response has ended; a complete response is sent to its last byte
 * whatever becomes of the next one, while the caller reads; a defect that a request meets
 * is answered. Confined to the traffic thread.
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

	private final StrictRequestDecoder decoder;

	private final Channel channel;

	/** Address of the caller, which the channel forgets once it is closed. */
	private final SocketAddress address;

	/** Buffered messages of pipelined requests. */
	private final Queue<HttpObject> pipelined = new ArrayDeque<>();

	private ByteArrayOutputStream requestBody = new ByteArrayOutputStream();

	/** Head of the request whose body is being read, or {@code null}. */
	private HttpRequest requestHead;

	/**
	 * Time at which the first bytes arrived after no request was being read, in
	 * milliseconds.
	 */
	private long arrivedMillis;

	private final ArrivedBytes arrivedBytes;

	private final IdleTime idleTime;

	/** Completed once all bytes of the responses so far are sent. */
	private ChannelFuture lastWrite;

	/** Exchange whose response has not ended, or {@code null}. */
	private CallerExchange currentExchange;

	/** Whether the connection reads no further request and discards what arrives. */
	private boolean discardsInput;

	/** Whether the end of a request without a response is logged already. */
	private boolean unansweredLogged;

	CallerConnection(CallerServer server, Channel channel, StrictRequestDecoder decoder) {
		super(false);
		this.server = server;
		this.decoder = decoder;
		this.channel = channel;
		this.address = channel.remoteAddress();
		this.arrivedBytes = new ArrivedBytes(channel, this::recordArrival);
		this.idleTime = IdleTime.startingNow(server.clock(), () -> server.limits().idleTimeoutMillis());
		this.lastWrite = channel.newSucceededFuture();
	}

	/**
	 * Returns the handler to be placed before the decoder.
	 * @return handler that reads on demand
	 */
	ChannelHandler arrivedBytes() {
		return this.arrivedBytes;
	}

	private void recordArrival() {
		if (!readingRequest()) {
			this.arrivedMillis = this.server.clock().millis();
		}
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.server.add(this);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.server.remove(this);
		logUnanswered("the caller closed it");
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
			if (message instanceof HttpRequest request) {
				logUnanswered(this.server.requestId(request), "head", this.arrivedMillis,
						"arrived after the last response");
			}
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
			write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
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
		new CallerExchange(this, this.requestHead, false, this.arrivedMillis).sendError(failure);
		this.requestHead = null;
	}

	private void dispatch() {
		HttpRequest request = this.requestHead;
		this.requestHead = null;
		CallerExchange dispatched = new CallerExchange(this, request, HttpUtil.isKeepAlive(request),
				this.arrivedMillis);
		this.currentExchange = dispatched;
		try {
			byte[] body = this.requestBody.toByteArray();
			this.channel.eventLoop().execute(() -> dispatched.relay(request, body));
		}
		catch (RuntimeException | Error ex) {
			dispatched.endAfterDefect(Ran.NO, ex);
		}
	}

	/**
	 * Writes a part of a response. The connection is closed if that fails: what is
	 * written later would be taken for the missing part.
	 * @param message what to write
	 * @return completed once it is sent
	 */
	ChannelFuture write(HttpObject message) {
		ChannelFuture written = this.channel.writeAndFlush(message);
		written.addListener((sent) -> {
			if (!sent.isSuccess() && this.channel.isOpen()) {
				close("cannot write a response: " + sent.cause());
			}
		});
		return written;
	}

	/**
	 * Goes on with the next request, or closes the connection once all is sent.
	 * @param keepAlive whether the connection is kept
	 * @param write completed once the response is sent
	 */
	void responseEnded(boolean keepAlive, ChannelFuture write) {
		this.currentExchange = null;
		this.lastWrite = write;
		write.addListener((sent) -> this.idleTime.restart());
		if (!keepAlive || this.discardsInput) {
			logUnanswered("the response before it was the last one");
			this.discardsInput = true;
			write.addListener((sent) -> closeAfterLastResponse());
			return;
		}
		this.channel.eventLoop().execute(this::handlePipelined);
	}

	/**
	 * Closes the connection without the rest of the response, once those before it are
	 * sent.
	 */
	void abortResponse() {
		logUnanswered("its response was broken off");
		this.currentExchange = null;
		this.discardsInput = true;
		this.lastWrite.addListener((sent) -> this.channel.close());
	}

	/**
	 * Ends the output at once, and closes the connection once the caller does or has had
	 * time to read.
	 */
	private void closeAfterLastResponse() {
		((DuplexChannel) this.channel).shutdownOutput();
		this.channel.config().setAutoRead(true);
		EventLoopTimer.schedule(this.channel.eventLoop(), LINGER_MILLIS, this.channel::close);
	}

	private void handlePipelined() {
		try {
			while (this.currentExchange == null && !this.discardsInput && !this.pipelined.isEmpty()) {
				handle(this.pipelined.poll());
			}
		}
		catch (RuntimeException | Error ex) {
			endAfterDefect(ex);
		}
		this.channel.config().setAutoRead(true);
	}

	/**
	 * Closes the connection if it exceeds the idle timeout, the timeout for request
	 * headers or, before its body is complete, the deadline of the request. One that only
	 * has responses left to send is idle while none of their bytes is sent. What has
	 * arrived is read before: the event loop may have been busy.
	 */
	void closeIfTimedOut() {
		if (this.currentExchange != null) {
			return;
		}
		ChannelOutboundBuffer outbound = this.channel.unsafe().outboundBuffer();
		this.idleTime.recordUnsent((outbound != null) ? outbound.totalPendingWriteBytes() : 0);
		boolean due = bodyLate() || headersLate() || idle();
		if (!due || !staysUnused()) {
			return;
		}
		if (bodyLate()) {
			rejectIncomplete(Failure.notRun(ResultCode.OVERLOADED, "the body was not complete before the deadline"));
		}
		else if (headersLate()) {
			close("its head was not complete in time");
		}
		else if (idle()) {
			close("the connection was idle");
		}
	}

	private boolean bodyLate() {
		return this.requestHead != null && this.server.clock().millis()
				- this.arrivedMillis > this.server.messageMapper().deadlineMillis(this.requestHead);
	}

	private boolean headersLate() {
		return readingRequest() && !this.discardsInput && this.requestHead == null && this.pipelined.isEmpty()
				&& this.server.clock().millis() - this.arrivedMillis > this.server.limits().headerTimeoutMillis();
	}

	private boolean idle() {
		return (!readingRequest() || this.discardsInput) && this.idleTime.exceeded();
	}

	/**
	 * Reads what has arrived, the close of the connection included.
	 */
	void readArrived() {
		this.arrivedBytes.read();
	}

	/**
	 * Reads what has arrived before the connection is closed.
	 * @return whether the connection is still open and serves no request
	 */
	private boolean staysUnused() {
		readArrived();
		return this.channel.isOpen() && this.currentExchange == null;
	}

	/**
	 * Closes the connection unless a request is being read or served, a response is not
	 * yet sent to its last byte, or it is about to be closed after its last response.
	 * What has arrived is read before.
	 * @return whether it is closed
	 */
	boolean closeIfIdle() {
		if (closableNow() && staysUnused() && closableNow()) {
			close("the server closes");
		}
		return !this.channel.isOpen();
	}

	private boolean closableNow() {
		return this.currentExchange == null && !readingRequest() && !this.discardsInput && this.lastWrite.isDone();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.currentExchange != null) {
			this.currentExchange.callerWritabilityChanged(context.channel().isWritable());
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (cause instanceof IOException) {
			close(cause.toString());
			return;
		}
		endAfterDefect(cause);
	}

	/**
	 * Reads nothing more after a defect. The request that is served goes on; one that was
	 * read in part is rejected.
	 * @param defect what the connection has met
	 */
	void endAfterDefect(Throwable defect) {
		String requestId = (this.currentExchange != null) ? this.currentExchange.requestId()
				: this.server.requestId(this.requestHead);
		if (this.currentExchange != null) {
			this.discardsInput = true;
		}
		else if (!this.discardsInput && readingRequest()) {
			rejectIncomplete(Failure.notRun(ResultCode.INTERNAL, "internal error"));
		}
		else if (!this.discardsInput) {
			close(defect.toString());
		}
		LogEvent.REQUEST_DEFECT.log(logger, requestId, defect.toString(), defect);
	}

	/**
	 * Returns whether the response of an exchange has not ended.
	 * @param exchange an exchange of this connection
	 * @return {@code false} also if its request was rejected before it was read
	 */
	boolean serves(CallerExchange exchange) {
		return this.currentExchange == exchange;
	}

	private void close(String cause) {
		logUnanswered(cause);
		this.channel.close();
	}

	/**
	 * Logs why a request ends without a response, if one was read, even in part.
	 * @param cause why the connection is closed or the request is not answered
	 */
	private void logUnanswered(String cause) {
		if (this.currentExchange != null) {
			logUnanswered(this.currentExchange.requestId(), "whole", this.currentExchange.arrivedMillis(), cause);
		}
		else if (this.discardsInput) {
			return;
		}
		else if (this.requestHead != null) {
			logUnanswered(this.server.requestId(this.requestHead),
					"head and " + this.requestBody.size() + " bytes of the body", this.arrivedMillis, cause);
		}
		else if (this.pipelined.peek() instanceof HttpRequest request) {
			logUnanswered(this.server.requestId(request), "pipelined", this.arrivedMillis, cause);
		}
		else if (readingRequest()) {
			logUnanswered("", "part of the head", this.arrivedMillis, cause);
		}
	}

	private void logUnanswered(String requestId, String read, long requestArrivedMillis, String cause) {
		if (!this.unansweredLogged) {
			this.unansweredLogged = true;
			LogEvent.CALLER_CLOSED.log(logger, requestId, String.valueOf(this.address), read, cause,
					this.server.clock().millis() - requestArrivedMillis);
		}
	}

	/**
	 * Returns whether a request that is not yet dispatched was read, at least in part.
	 * @return {@code true} also if it waits for the response before it
	 */
	private boolean readingRequest() {
		return this.requestHead != null || !this.pipelined.isEmpty() || this.decoder.holdsPartOfRequest();
	}

	/**
	 * Returns whether a further request may be served after the present one.
	 * @return {@code true} while the server closes only if one was read already
	 */
	boolean mayServeNext() {
		return !this.discardsInput && (!this.server.closing() || readingRequest());
	}

	Channel channel() {
		return this.channel;
	}

	CallerServer server() {
		return this.server;
	}

}
