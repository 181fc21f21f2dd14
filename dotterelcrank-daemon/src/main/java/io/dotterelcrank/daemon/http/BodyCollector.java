package io.dotterelcrank.daemon.http;

import java.io.ByteArrayOutputStream;

/**
 * Collects a request body up to the largest size, and discards the rest, so that a caller
 * can send its whole body before it reads the refusal. Belongs to one exchange.
 */
final class BodyCollector {

	/** Bytes kept. */
	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	/** Whether the body is larger than the largest size. */
	private boolean tooLarge;

	/**
	 * Takes in a part of the body.
	 * @param part the part
	 */
	void add(byte[] part) {
		this.tooLarge |= this.bytes.size() + part.length > HttpServer.MAX_BODY_BYTES;
		if (this.tooLarge) {
			this.bytes.reset();
		}
		else {
			this.bytes.writeBytes(part);
		}
	}

	/**
	 * Tells whether the body is too large.
	 * @return {@code true} if it must be refused
	 */
	boolean tooLarge() {
		return this.tooLarge;
	}

	/**
	 * Returns the body.
	 * @return the bytes
	 */
	byte[] body() {
		return this.bytes.toByteArray();
	}

}
