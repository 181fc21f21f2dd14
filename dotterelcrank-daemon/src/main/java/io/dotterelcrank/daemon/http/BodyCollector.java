package io.dotterelcrank.daemon.http;

import java.io.ByteArrayOutputStream;

/**
 * Collects a request body. Once it exceeds {@link HttpServer#MAX_BODY_BYTES}, its content
 * is discarded but still read, so that the caller can send the whole body before it reads
 * the error response. Confined to one exchange.
 */
final class BodyCollector {

	private final ByteArrayOutputStream collected = new ByteArrayOutputStream();

	private boolean tooLarge;

	/**
	 * Adds the next bytes of the body, or discards all bytes if it is too large.
	 * @param chunk the bytes received
	 */
	void add(byte[] chunk) {
		this.tooLarge |= this.collected.size() + chunk.length > HttpServer.MAX_BODY_BYTES;
		if (this.tooLarge) {
			this.collected.reset();
		}
		else {
			this.collected.writeBytes(chunk);
		}
	}

	/**
	 * Returns whether the body exceeds the maximum size.
	 * @return {@code true} if the request must be rejected
	 */
	boolean tooLarge() {
		return this.tooLarge;
	}

	/**
	 * Returns the bytes received.
	 * @return the body; empty if it is too large
	 */
	byte[] body() {
		return this.collected.toByteArray();
	}

}
