package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;

/**
 * One connection of {@link HttpExchanges}. Invariant: bytes that arrive while no call is
 * under way close the connection. Belongs to the traffic thread.
 */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> implements HttpExchanges.Handle {

	/** Start of the time in a keep-alive header. */
	private static final String TIMEOUT_PARAMETER = "timeout=";

	/** Milliseconds in a second. */
	private static final long MILLIS_PER_SECOND = 1_000;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(HttpConnection.class);

	/** Clock of the process. */
	private final Clock clock = Clock.system();

	/** The client. */
	private final HttpExchanges exchanges;

	/** Address of the server. */
	private final InetSocketAddress address;

	/** The channel, or {@code null} before it is open. */
	private Channel channel;

	/** The call under way, or {@code null}. */
	private HttpExchanges.Call call;

	/** Hears of the answer, or {@code null}. */
	private HttpExchanges.Answer answer;

	/** Head of the answer, or {@code null} before it arrived. */
	private HttpResponse response;

	/** Whether the interim answer that is being read is to be skipped. */
	private boolean interim;

	/** Whether the call's bytes may have left. */
	private boolean written;

	/** Whether all of the call's bytes have left. */
	private boolean flushed;

	/** Whether the connection has served a call before. */
	private boolean reused;

	/** Whether the owner gave the connection up. */
	private boolean closed;

	/** Until when the connection may be used again, in milliseconds. */
	private long usableUntilMillis;

	HttpConnection(HttpExchanges exchanges, InetSocketAddress address) {
		this.exchanges = exchanges;
		this.address = address;
	}

	InetSocketAddress address() {
		return this.address;
	}

	boolean usable() {
		return !this.closed && this.channel != null && this.channel.isActive()
				&& this.clock.millis() < this.usableUntilMillis;
	}

	void begin(HttpExchanges.Call next, HttpExchanges.Answer listener) {
		this.call = next;
		this.answer = listener;
		this.response = null;
		this.written = false;
		this.flushed = false;
	}

	/**
	 * Writes the call that has begun.
	 */
	void write() {
		if (this.closed || this.call == null) {
			return;
		}
		if (!this.channel.isActive()) {
			fail("connection closed before the request was sent");
			return;
		}
		this.written = true;
		this.channel.writeAndFlush(this.call.message()).addListener((future) -> {
			this.flushed = future.isSuccess();
			if (!future.isSuccess()) {
				fail("request not sent: " + future.cause().getMessage());
			}
		});
	}

	void unconnected(Throwable cause) {
		fail("no connection: " + cause.getMessage());
	}

	void close() {
		this.closed = true;
		if (this.channel != null) {
			this.channel.close();
		}
	}

	@Override
	public void cancel() {
		this.answer = null;
		close();
	}

	@Override
	public void read(boolean reading) {
		if (this.channel != null) {
			this.channel.config().setAutoRead(reading);
		}
	}

	@Override
	public boolean written() {
		return this.written;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.channel = context.channel();
		if (this.closed) {
			context.close();
			return;
		}
		write();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (this.answer == null) {
			if (!this.closed) {
				LogEvent.UNEXPECTED_BYTES.log(logger, this.address);
				close();
				this.exchanges.forget(this);
			}
			return;
		}
		if (message.decoderResult().isFailure()) {
			fail("answer malformed: " + message.decoderResult().cause().getMessage());
			return;
		}
		if (message instanceof HttpResponse head) {
			this.interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
			if (!this.interim) {
				this.response = head;
				this.answer.head(head, this.reused);
			}
		}
		if (message instanceof HttpContent content && !this.interim) {
			take(content);
		}
	}

	private void take(HttpContent content) {
		if (this.answer != null && content.content().isReadable()) {
			this.answer.body(ByteBufUtil.getBytes(content.content()));
		}
		if (this.answer != null && content instanceof LastHttpContent) {
			finish();
		}
	}

	private void finish() {
		HttpExchanges.Answer listener = this.answer;
		this.answer = null;
		this.call = null;
		boolean framed = HttpUtil.isContentLengthSet(this.response)
				|| HttpUtil.isTransferEncodingChunked(this.response);
		if (framed && this.flushed && HttpUtil.isKeepAlive(this.response)) {
			this.reused = true;
			this.usableUntilMillis = this.clock.millis() + keepMillis();
			read(true);
			this.exchanges.keep(this);
		}
		else {
			close();
		}
		listener.complete();
	}

	private long keepMillis() {
		String text = this.response.headers().get(HttpHeaderValues.KEEP_ALIVE);
		int start = (text != null) ? text.indexOf(TIMEOUT_PARAMETER) : -1;
		if (start < 0) {
			return HttpExchanges.IDLE_MILLIS;
		}
		String digits = text.substring(start + TIMEOUT_PARAMETER.length()).split("\\D", 2)[0];
		boolean number = !digits.isEmpty() && digits.length() < 7;
		long toldMillis = number ? Long.parseLong(digits) * MILLIS_PER_SECOND : 0;
		return Math.min(HttpExchanges.IDLE_MILLIS, (long) (toldMillis * HttpExchanges.KEEP_ALIVE_PART));
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.exchanges.forget(this);
		fail("connection closed by the server");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		fail(String.valueOf(cause.getMessage()));
	}

	private void fail(String reason) {
		HttpExchanges.Answer listener = this.answer;
		this.answer = null;
		close();
		this.exchanges.forget(this);
		if (listener != null) {
			listener.failed(this.written, reason);
		}
	}

}
