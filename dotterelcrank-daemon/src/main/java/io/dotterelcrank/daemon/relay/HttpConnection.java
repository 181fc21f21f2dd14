package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Defects;
import io.dotterelcrank.common.LogEvent;

/**
 * One connection of {@link PooledHttpClient}. Invariant: bytes that arrive while no
 * response is awaited close the connection and are never decoded. Confined to the traffic
 * thread.
 */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> implements PooledHttpClient.RequestHandle {

	/**
	 * Max number of informational (1xx) responses before a response. A server sends one
	 * or two at most of what it is asked here; one that sends them without end keeps the
	 * thread busy.
	 */
	static final int MAX_INTERIM_RESPONSES = 8;

	private static final String TIMEOUT_PARAMETER = "timeout=";

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final Logger logger = LoggerFactory.getLogger(HttpConnection.class);

	private final Clock clock = Clock.system();

	private final PooledHttpClient client;

	private final InetSocketAddress address;

	/** {@code null} until the connection is open. */
	private Channel channel;

	/** {@code null} until the connection is open. */
	private StrictResponseDecoder decoder;

	/** Request under way, or {@code null}. */
	private PooledHttpClient.Request request;

	/** {@code null} if no request is under way or it was cancelled. */
	private PooledHttpClient.ResponseListener listener;

	/** {@code null} until it has arrived. */
	private HttpResponse responseHead;

	/** Whether an informational (1xx) response is being read, which is skipped. */
	private boolean interimResponse;

	/** Number of informational responses to the request under way. */
	private int interimResponses;

	/** Whether bytes of the request may have been sent, so that the server may run it. */
	private boolean writeStarted;

	/**
	 * Whether the whole request has been sent; if not, the connection is not reused after
	 * the response.
	 */
	private boolean writeCompleted;

	/** Whether this side has closed the connection. */
	private boolean closed;

	/** Time until which the connection may be reused, in milliseconds. */
	private long reusableUntilMillis;

	HttpConnection(PooledHttpClient client, InetSocketAddress address) {
		this.client = client;
		this.address = address;
	}

	/**
	 * Creates the decoder of this connection.
	 * @param maxStatusLineBytes limit for the length of a status line, in bytes
	 * @param maxHeaderBytes limit for the length of all headers of a response, in bytes
	 * @param maxChunkBytes maximum size of a body chunk passed on, in bytes
	 * @return the decoder, to be placed before this handler
	 */
	StrictResponseDecoder newDecoder(int maxStatusLineBytes, int maxHeaderBytes, int maxChunkBytes) {
		this.decoder = new StrictResponseDecoder(this, maxStatusLineBytes, maxHeaderBytes, maxChunkBytes);
		return this.decoder;
	}

	/**
	 * Returns whether the response under way has no body, as that to a HEAD request.
	 * @return {@code false} if no request is under way
	 */
	boolean awaitsHeadOnly() {
		return this.request != null && HttpMethod.HEAD.equals(this.request.method());
	}

	/**
	 * Returns whether bytes that arrive can be part of the response under way.
	 * @return {@code false} before the request is written and after its response has
	 * ended
	 */
	boolean awaitsResponse() {
		return this.listener != null && this.writeStarted;
	}

	/** Closes the connection, as bytes have arrived that belong to no request. */
	void rejectUnexpectedBytes() {
		if (!this.closed) {
			LogEvent.UNEXPECTED_BYTES.log(logger, this.address);
			this.client.recordStutter(this.address);
			fail("bytes received before the request was sent");
		}
	}

	InetSocketAddress address() {
		return this.address;
	}

	boolean reusable() {
		return !this.closed && this.channel != null && this.channel.isActive()
				&& this.clock.millis() < this.reusableUntilMillis;
	}

	/**
	 * Reads what has arrived; bytes or a close end the reuse. Not to be called in a read
	 * of this connection.
	 * @return whether the connection may be reused
	 */
	boolean reusableAfterReading() {
		if (reusable()) {
			readArrived();
		}
		return reusable();
	}

	private void readArrived() {
		if (this.channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
			unsafe.read();
		}
	}

	void assign(PooledHttpClient.Request nextRequest, PooledHttpClient.ResponseListener nextListener) {
		this.request = nextRequest;
		this.listener = nextListener;
		this.responseHead = null;
		this.interimResponses = 0;
		this.writeStarted = false;
		this.writeCompleted = false;
	}

	/**
	 * Sends the assigned request.
	 */
	void write() {
		if (this.closed || this.request == null) {
			return;
		}
		if (!this.channel.isActive()) {
			fail("connection closed before the request was sent");
			return;
		}
		this.listener.beforeWrite();
		if (this.closed) {
			return;
		}
		this.writeStarted = true;
		this.channel.writeAndFlush(this.request.toNettyRequest()).addListener((future) -> {
			this.writeCompleted = future.isSuccess();
			if (!future.isSuccess()) {
				fail("request not sent: " + future.cause().getMessage());
			}
		});
	}

	void connectFailed(Throwable cause) {
		fail("connection failed: " + cause.getMessage());
	}

	void close() {
		this.closed = true;
		if (this.channel != null) {
			this.channel.close();
		}
	}

	@Override
	public void cancel() {
		this.listener = null;
		close();
	}

	@Override
	public void setReadEnabled(boolean enabled) {
		if (this.channel != null) {
			this.channel.config().setAutoRead(enabled);
		}
	}

	@Override
	public boolean writeStarted() {
		return this.writeStarted;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.channel = context.channel();
		if (this.closed) {
			context.close();
			return;
		}
		// A request that is not written to a server that has closed is known not to run.
		readArrived();
		write();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (this.listener == null) {
			rejectUnexpectedBytes();
			return;
		}
		if (message.decoderResult().isFailure()) {
			if (!(message.decoderResult().cause() instanceof PrematureChannelClosureException)) {
				this.client.recordStutter(this.address);
			}
			reject("malformed response: " + message.decoderResult().cause().getMessage());
			return;
		}
		if (message instanceof HttpResponse head) {
			this.interimResponse = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
			if (this.interimResponse) {
				countInterimResponse();
			}
			else {
				this.responseHead = head;
				this.listener.head(head);
			}
		}
		if (message instanceof HttpContent content && !this.interimResponse) {
			handleContent(content);
		}
	}

	private void countInterimResponse() {
		this.interimResponses++;
		if (this.interimResponses > MAX_INTERIM_RESPONSES) {
			this.client.recordStutter(this.address);
			reject("more than " + MAX_INTERIM_RESPONSES + " informational responses");
		}
	}

	private void handleContent(HttpContent content) {
		if (this.listener != null && content.content().isReadable()) {
			this.listener.body(ByteBufUtil.getBytes(content.content()));
		}
		if (this.listener != null && content instanceof LastHttpContent) {
			completeResponse();
		}
	}

	private void completeResponse() {
		PooledHttpClient.ResponseListener endedListener = this.listener;
		PooledHttpClient.Request endedRequest = this.request;
		this.listener = null;
		this.request = null;
		Defects.runAll(() -> releaseAfter(endedRequest), endedListener::complete);
	}

	private void releaseAfter(PooledHttpClient.Request endedRequest) {
		int surplusBytes = this.decoder.undecodedBytes();
		if (surplusBytes > 0) {
			LogEvent.SURPLUS_BYTES.log(logger, this.address, endedRequest.uri(), surplusBytes);
			this.client.recordStutter(this.address);
		}
		boolean framed = HttpUtil.isContentLengthSet(this.responseHead)
				|| HttpUtil.isTransferEncodingChunked(this.responseHead);
		if (endedRequest.keepsConnection() && framed && surplusBytes == 0 && this.writeCompleted
				&& HttpUtil.isKeepAlive(this.responseHead)) {
			this.reusableUntilMillis = this.clock.millis() + maxIdleMillis();
			setReadEnabled(true);
			this.client.release(this);
		}
		else {
			close();
		}
	}

	private long maxIdleMillis() {
		String keepAlive = this.responseHead.headers().get(HttpHeaderValues.KEEP_ALIVE);
		int start = (keepAlive != null) ? keepAlive.indexOf(TIMEOUT_PARAMETER) : -1;
		if (start < 0) {
			return PooledHttpClient.MAX_IDLE_MILLIS;
		}
		String digits = keepAlive.substring(start + TIMEOUT_PARAMETER.length()).split("\\D", 2)[0];
		boolean valid = !digits.isEmpty() && digits.length() < 7;
		long serverTimeoutMillis = valid ? Long.parseLong(digits) * MILLIS_PER_SECOND : 0;
		return Math.min(PooledHttpClient.MAX_IDLE_MILLIS,
				(long) (serverTimeoutMillis * PooledHttpClient.KEEP_ALIVE_FRACTION));
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.client.remove(this);
		// Fails no response that ends with the connection: the decoder has completed it.
		fail("connection closed by the server");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		fail(String.valueOf(cause.getMessage()));
	}

	private void reject(String reason) {
		PooledHttpClient.ResponseListener endedListener = endResponse();
		if (endedListener != null) {
			endedListener.rejected(reason);
		}
	}

	private PooledHttpClient.ResponseListener endResponse() {
		PooledHttpClient.ResponseListener endedListener = this.listener;
		this.listener = null;
		close();
		this.client.remove(this);
		return endedListener;
	}

	private void fail(String reason) {
		PooledHttpClient.ResponseListener endedListener = endResponse();
		if (endedListener != null) {
			endedListener.failed(this.writeStarted, reason);
		}
	}

}
