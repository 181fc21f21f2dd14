package io.dotterelcrank.process.relay;

/**
 * Bounds the memory that incomplete responses of all targets hold together. Addresses
 * targets that send bytes without end on many connections at once, which would end a
 * small process. Invariant: all responses of more than {@link #ALWAYS_HELD_BYTES}
 * together hold at most the limit. Confined to the traffic thread.
 */
final class ResponseMemory {

	/** Size up to which a response is held whatever the others hold, in bytes. */
	static final int ALWAYS_HELD_BYTES = 16 * 1024;

	private final long maxBytes;

	private long heldBytes;

	private ResponseMemory(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Creates an empty memory.
	 * @param maxBytes limit of all responses together, in bytes
	 * @return a new memory
	 */
	static ResponseMemory of(long maxBytes) {
		return new ResponseMemory(maxBytes);
	}

	/**
	 * Changes what a response holds.
	 * @param fromBytes bytes that it held
	 * @param toBytes bytes that it holds now
	 * @return {@code false} if it has to be given up, as the limit is exceeded
	 */
	boolean resize(int fromBytes, int toBytes) {
		this.heldBytes += toBytes - fromBytes;
		return toBytes <= Math.max(fromBytes, ALWAYS_HELD_BYTES) || this.heldBytes <= this.maxBytes;
	}

	/**
	 * Returns what all responses hold.
	 * @return number of bytes
	 */
	long heldBytes() {
		return this.heldBytes;
	}

}
