package io.dotterelcrank.daemon.relay;

import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the responses on one connection. Addresses targets that write a response twice:
 * without an end, the second copy would become the beginning of the next response.
 * Invariants: no byte that arrives while no response is awaited is decoded; no head that
 * contains two status lines, and none of another transfer encoding than chunked, is
 * passed on as a response. Confined to the traffic thread.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] [0-9]{3}");

	/**
	 * What the protocol permits; the codec takes any number, also one with a sign.
	 */
	private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

	private final HttpConnection connection;

	private final HeadLineCheck headLines = new HeadLineCheck();

	/** Whether a body or trailers are being decoded. */
	private boolean behindHead;

	StrictResponseDecoder(HttpConnection connection, int maxStatusLineBytes, int maxHeaderBytes, int maxChunkBytes) {
		super(maxStatusLineBytes, maxHeaderBytes, maxChunkBytes);
		this.connection = connection;
	}

	/**
	 * Returns how many bytes have arrived that are part of no decoded message.
	 * @return number of bytes
	 */
	int undecodedBytes() {
		return actualReadableBytes();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		if (this.connection.awaitsResponse()) {
			super.channelRead(context, message);
			return;
		}
		ReferenceCountUtil.release(message);
		this.connection.rejectUnexpectedBytes();
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.connection.awaitsResponse()) {
			int before = out.size();
			int start = buffer.readerIndex();
			super.decode(context, buffer, out);
			if (!this.behindHead) {
				this.headLines.read(buffer, start, buffer.readerIndex());
			}
			for (int i = before; i < out.size(); i++) {
				check(out.get(i));
			}
			return;
		}
		buffer.skipBytes(buffer.readableBytes());
		this.connection.rejectUnexpectedBytes();
	}

	private void check(Object decoded) {
		if (decoded instanceof HttpResponse response) {
			this.behindHead = true;
			if (this.headLines.endHead() && response.decoderResult().isSuccess()) {
				response.setDecoderResult(
						DecoderResult.failure(new IllegalArgumentException("a line without a colon in the head")));
			}
			if (response.decoderResult().isSuccess()) {
				checkHead(response);
				StrictRequestDecoder.checkTransferEncoding(response);
			}
		}
		if (decoded instanceof LastHttpContent) {
			this.behindHead = false;
		}
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		if (!STATUS.matcher(initialLine[1]).matches()) {
			throw new IllegalArgumentException("status " + initialLine[1]);
		}
		return super.createMessage(initialLine);
	}

	/**
	 * Marks a response as failed if its head contains the status line of another one, or
	 * ends the protocol. A header may name a protocol, but one with a whole status line
	 * is taken for two heads.
	 * @param response the response, whose head is complete
	 */
	private static void checkHead(HttpResponse response) {
		if (response.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
			response.setDecoderResult(
					DecoderResult.failure(new IllegalArgumentException("another protocol, which nobody asked for")));
			return;
		}
		boolean nested = containsStatusLine(response.status().reasonPhrase());
		for (Map.Entry<String, String> header : response.headers()) {
			nested |= containsStatusLine(header.getValue());
		}
		if (nested) {
			response
				.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("a status line inside the head")));
		}
	}

	private static boolean containsStatusLine(String text) {
		return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.connection.awaitsHeadOnly() || super.isContentAlwaysEmpty(message);
	}

}
