package io.dotterelcrank.daemon.relay;

import java.util.List;
import java.util.function.IntSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Decodes requests and rejects ambiguous framing, which enables request smuggling: both
 * Content-Length and chunked encoding, several lengths, or another transfer encoding.
 * Invariants: the limit in force when a head is complete applies to it, whenever the
 * connection was opened; no part of a request that is not passed on, as a head or
 * trailers, holds more bytes than a head may have. Not thread-safe; one instance per
 * connection.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	/**
	 * Minimum limit for the length of the request line, in bytes; a larger header limit
	 * raises it.
	 */
	static final int MIN_LINE_LIMIT_BYTES = 8 * 1024;

	/** Maximum size of a body chunk passed to the next handler, in bytes. */
	private static final int MAX_CHUNK_BYTES = 64 * 1024;

	private static final int LINE_END_BYTES = 2;

	/** Maximum size of all headers of a request, in bytes. */
	private final IntSupplier maxHeaderBytes;

	/** Bytes decoded since a message was last passed on. */
	private long pendingBytes;

	/** Whether a request was too large, so that its rest is discarded. */
	private boolean discards;

	/**
	 * Creates a decoder. The codec reads its limits once, so that it gets none.
	 * @param maxHeaderBytes supplies the maximum size of all headers of a request, in
	 * bytes, line ends not counted
	 */
	StrictRequestDecoder(IntSupplier maxHeaderBytes) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(Integer.MAX_VALUE)
			.setMaxHeaderSize(Integer.MAX_VALUE)
			.setMaxChunkSize(MAX_CHUNK_BYTES)
			.setAllowDuplicateContentLengths(false));
		this.maxHeaderBytes = maxHeaderBytes;
	}

	/**
	 * Decodes as usual, then marks requests with a too large head or with another
	 * transfer encoding than chunked as failed.
	 */
	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.discards) {
			buffer.skipBytes(buffer.readableBytes());
			return;
		}
		int before = out.size();
		int start = buffer.readerIndex();
		super.decode(context, buffer, out);
		int decodedBytes = buffer.readerIndex() - start;
		this.pendingBytes += decodedBytes;
		if (out.size() == before) {
			boolean awaitsMore = decodedBytes == 0;
			checkPending(this.pendingBytes + (awaitsMore ? buffer.readableBytes() : 0), buffer, out);
			return;
		}
		for (int i = before; i < out.size(); i++) {
			if (out.get(i) instanceof HttpRequest request && request.decoderResult().isSuccess()) {
				checkTransferEncoding(request);
				checkHead(request);
			}
		}
		this.pendingBytes = 0;
	}

	/**
	 * Returns whether bytes of a message were read that is not passed on yet.
	 * @return {@code false} also after an empty line, which may precede a request
	 */
	boolean holdsPartOfRequest() {
		return this.pendingBytes > LINE_END_BYTES || actualReadableBytes() > 0;
	}

	private int maxLineBytes() {
		return Math.max(MIN_LINE_LIMIT_BYTES, this.maxHeaderBytes.getAsInt());
	}

	private void checkPending(long bytes, ByteBuf buffer, List<Object> out) {
		if (bytes > (long) maxLineBytes() + this.maxHeaderBytes.getAsInt()) {
			HttpMessage incomplete = createInvalidMessage();
			incomplete.setDecoderResult(tooLarge());
			out.add(incomplete);
			this.discards = true;
			buffer.skipBytes(buffer.readableBytes());
		}
	}

	private void checkHead(HttpRequest request) {
		int lineBytes = request.method().name().length() + 1 + request.uri().length() + 1
				+ request.protocolVersion().text().length();
		int lineEnds = 1 + request.headers().size() + 1;
		long headerBytes = this.pendingBytes - lineBytes - (long) LINE_END_BYTES * lineEnds;
		if (lineBytes > maxLineBytes() || headerBytes > this.maxHeaderBytes.getAsInt()) {
			request.setDecoderResult(tooLarge());
			this.discards = true;
		}
	}

	private DecoderResult tooLarge() {
		return DecoderResult
			.failure(new TooLongFrameException("head larger than " + this.maxHeaderBytes.getAsInt() + " bytes"));
	}

	/**
	 * Marks a message as failed if it has another transfer encoding than chunked: its
	 * body would be taken for what is encoded.
	 * @param message the message, whose head is complete
	 */
	static void checkTransferEncoding(HttpMessage message) {
		List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
		boolean chunked = encodings.size() == 1
				&& HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0).trim());
		if (!encodings.isEmpty() && (!chunked || HttpVersion.HTTP_1_0.equals(message.protocolVersion()))) {
			message.setDecoderResult(
					DecoderResult.failure(new IllegalArgumentException("transfer encoding other than chunked")));
		}
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both Content-Length and chunked encoding");
	}

}
