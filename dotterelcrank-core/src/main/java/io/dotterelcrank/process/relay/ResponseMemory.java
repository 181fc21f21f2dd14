package io.dotterelcrank.process.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the memory that incomplete responses of all targets hold together. Addresses
 * targets that send bytes without end on many connections at once, which would end a
 * small process. Invariant: after each change, all responses of more than
 * {@link #ALWAYS_HELD_BYTES} together hold at most the limit; the largest is given up
 * first. Confined to the traffic thread.
 */
final class ResponseMemory {

	/** Size up to which a response is held whatever the others hold, in bytes. */
	static final int ALWAYS_HELD_BYTES = 16 * 1024;

	private final long maxBytes;

	/** Bytes that each response holds. */
	private final Map<Holder, Integer> held = new HashMap<>();

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
	 * Changes what a response holds, and gives up others or this one if that is too much.
	 * @param holder the response
	 * @param bytes bytes that it holds now
	 */
	void hold(Holder holder, int bytes) {
		release(holder);
		if (bytes > ALWAYS_HELD_BYTES) {
			this.held.put(holder, bytes);
			this.heldBytes += bytes;
		}
		while (this.heldBytes > this.maxBytes) {
			Holder largest = this.held.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
			largest.giveUp();
			release(largest);
		}
	}

	/**
	 * Records that a response holds nothing any more.
	 * @param holder the response
	 */
	void release(Holder holder) {
		Integer bytes = this.held.remove(holder);
		this.heldBytes -= (bytes != null) ? bytes : 0;
	}

	/**
	 * Returns what all responses hold.
	 * @return number of bytes, without responses of up to {@link #ALWAYS_HELD_BYTES}
	 */
	long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Returns what a response holds.
	 * @param holder the response
	 * @return number of bytes; 0 for one of up to {@link #ALWAYS_HELD_BYTES}
	 */
	int heldBytes(Holder holder) {
		return this.held.getOrDefault(holder, 0);
	}

	/**
	 * A response whose bytes are held.
	 */
	interface Holder {

		/**
		 * Gives the response up.
		 */
		void giveUp();

	}

}
