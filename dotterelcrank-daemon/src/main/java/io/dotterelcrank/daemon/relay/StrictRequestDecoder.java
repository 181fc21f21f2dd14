package io.dotterelcrank.daemon.relay;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Decodes requests and refuses those whose end a target could see elsewhere: with a
 * length besides chunks, with several lengths, or with another transfer encoding. Not
 * thread-safe; one for each connection.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	/** Largest first line, in bytes. */
	static final int MAX_LINE_BYTES = 8 * 1024;

	/** Largest piece of a body that is passed on at once, in bytes. */
	private static final int MAX_PIECE_BYTES = 64 * 1024;

	StrictRequestDecoder(int headerBytes) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(Math.max(MAX_LINE_BYTES, headerBytes))
			.setMaxHeaderSize(headerBytes)
			.setMaxChunkSize(MAX_PIECE_BYTES)
			.setAllowDuplicateContentLengths(false));
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		int before = out.size();
		super.decode(context, buffer, out);
		for (int i = before; i < out.size(); i++) {
			if (out.get(i) instanceof HttpMessage message && message.decoderResult().isSuccess()) {
				check(message);
			}
		}
	}

	private static void check(HttpMessage message) {
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
		throw new IllegalArgumentException("both a length and chunks");
	}

}
