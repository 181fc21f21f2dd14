package io.dotterelcrank.daemon.relay;

import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.daemon.http.ErrorBody;
import io.dotterelcrank.process.relay.CallerChannel;
import io.dotterelcrank.process.relay.RelayedRequest;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * One request on a caller's connection and its response. Confined to the traffic thread.
 */
final class CallerExchange implements CallerChannel {

	private static final Logger logger = LoggerFactory.getLogger(CallerExchange.class);

	private final CallerConnection connection;

	private final Channel channel;

	/** Id of the request; empty if it has none or its head was not read. */
	private final String requestId;

	/** Whether the method is HEAD, whose response has no body. */
	private final boolean headOnly;

	private final boolean keepAlive;

	/** Time at which the first bytes of the request arrived, in milliseconds. */
	private final long arrivedMillis;

	/** {@code null} if the request was rejected before it was relayed. */
	private RelayedRequest relayedRequest;

	/** Whether the head of a response whose body follows in pieces was written. */
	private boolean started;

	/** Whether the head of the response says that the connection is kept. */
	private boolean keepsConnection;

	/** Whether the response has ended or the caller has disconnected. */
	private boolean ended;

	/**
	 * Creates an exchange without a response.
	 * @param connection the caller's connection
	 * @param request head of the request; {@code null} if it was not read
	 * @param keepAlive whether the connection may be kept
	 * @param arrivedMillis time at which the first bytes arrived, in milliseconds
	 */
	CallerExchange(CallerConnection connection, HttpRequest request, boolean keepAlive, long arrivedMillis) {
		this.connection = connection;
		this.channel = connection.channel();
		this.requestId = connection.server().requestId(request);
		this.headOnly = request != null && HttpMethod.HEAD.equals(request.method());
		this.keepAlive = keepAlive;
		this.arrivedMillis = arrivedMillis;
	}

	String requestId() {
		return this.requestId;
	}

	long arrivedMillis() {
		return this.arrivedMillis;
	}

	/**
	 * Relays the request, unless its caller has left.
	 * @param head head of the request
	 * @param body whole body
	 */
	void relay(HttpRequest head, byte[] body) {
		CallerRequest read;
		try {
			if (!readArrived()) {
				return;
			}
			OriginForm.apply(head);
			read = this.connection.server().messageMapper().readRequest(head, body, this.arrivedMillis);
		}
		catch (RequestException ex) {
			sendError(ex.failure());
			return;
		}
		catch (RuntimeException | Error ex) {
			endAfterDefect(Ran.NO, ex);
			return;
		}
		try {
			this.relayedRequest = this.connection.server().service().accept(read, this);
		}
		catch (RuntimeException | Error ex) {
			endAfterDefect(Ran.UNKNOWN, ex);
		}
	}

	void callerDisconnected() {
		this.ended = true;
		if (this.relayedRequest != null) {
			this.relayedRequest.callerDisconnected();
		}
	}

	void callerWritabilityChanged(boolean writable) {
		if (this.relayedRequest != null) {
			this.relayedRequest.callerWritabilityChanged(writable);
		}
	}

	@Override
	public void sendResponse(int status, List<Header> headers, byte[] body) {
		if (this.ended) {
			return;
		}
		try {
			sendWhole(status, headers, body);
		}
		catch (RuntimeException | Error ex) {
			endAfterDefect(Ran.UNKNOWN, ex);
		}
	}

	private void sendWhole(int status, List<Header> headers, byte[] body) {
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(this.headOnly ? new byte[0] : body));
		addHeaders(headers, response.headers());
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		setConnectionHeader(response);
		this.ended = true;
		this.connection.responseEnded(this.keepsConnection, this.connection.write(response));
	}

	private static void addHeaders(List<Header> headers, HttpHeaders target) {
		headers.forEach((header) -> target.add(header.name(), header.value()));
	}

	/**
	 * Announces that the connection will be closed, unless it is kept.
	 * @param response response to set the header of
	 */
	private void setConnectionHeader(HttpResponse response) {
		this.keepsConnection = this.keepAlive && this.connection.mayServeNext();
		if (!this.keepsConnection) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	@Override
	public void startResponse(int status, List<Header> headers) {
		if (this.ended) {
			return;
		}
		try {
			HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
			addHeaders(headers, response.headers());
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
			setConnectionHeader(response);
			this.started = true;
			this.connection.write(response);
		}
		catch (RuntimeException | Error ex) {
			endAfterDefect(Ran.UNKNOWN, ex);
		}
	}

	@Override
	public void write(byte[] chunk) {
		if (this.ended) {
			return;
		}
		try {
			this.connection.write(new DefaultHttpContent(Unpooled.wrappedBuffer(chunk)));
		}
		catch (RuntimeException | Error ex) {
			endAfterDefect(Ran.UNKNOWN, ex);
		}
	}

	@Override
	public void end() {
		if (!this.ended) {
			this.ended = true;
			this.connection.responseEnded(this.keepsConnection,
					this.connection.write(LastHttpContent.EMPTY_LAST_CONTENT));
		}
	}

	@Override
	public void sendError(Failure failure) {
		if (this.ended) {
			return;
		}
		try {
			sendWhole(failure.code().httpStatus(), this.connection.server().messageMapper().failureHeaders(failure),
					ErrorBody.bytes(failure));
		}
		catch (RuntimeException | Error ex) {
			endAfterDefect(failure.ran(), ex);
		}
	}

	/**
	 * Ends the exchange after a defect: with an error, or if the response has begun, by
	 * breaking it off. The error depends on no mapper, which may be what has failed.
	 * @param ran whether a target has run the request
	 * @param defect what the exchange has met
	 */
	void endAfterDefect(Ran ran, Throwable defect) {
		try {
			if (!this.ended && !this.started) {
				Failure failure = new Failure(ResultCode.INTERNAL, ran, 0, "internal error");
				sendWhole(failure.code().httpStatus(), List.of(), ErrorBody.bytes(failure));
			}
		}
		catch (RuntimeException | Error ex) {
			defect.addSuppressed(ex);
		}
		if (!this.ended || this.connection.serves(this)) {
			this.ended = true;
			this.connection.abortResponse();
		}
		if (this.relayedRequest != null) {
			this.channel.eventLoop().execute(this.relayedRequest::callerDisconnected);
		}
		LogEvent.REQUEST_DEFECT.log(logger, this.requestId, defect.toString(), defect);
	}

	@Override
	public void abort() {
		if (this.ended) {
			return;
		}
		if (!this.started) {
			sendError(Failure.mayHaveRun(ResultCode.INTERNAL, "internal error"));
			return;
		}
		this.ended = true;
		this.connection.abortResponse();
	}

	@Override
	public boolean readArrived() {
		this.connection.readArrived();
		return this.channel.isOpen();
	}

	@Override
	public boolean writable() {
		return this.channel.isWritable();
	}

}
