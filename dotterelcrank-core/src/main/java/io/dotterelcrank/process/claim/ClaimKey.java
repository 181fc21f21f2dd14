package io.dotterelcrank.process.claim;

/**
 * Digest of workspace, service and idempotency key. Immutable.
 *
 * @param high upper 64 bits
 * @param low lower 64 bits
 */
public record ClaimKey(long high, long low) {

	/** Number of partitions of the claim streams. */
	public static final int PARTITIONS = 32;

	/** Length of a digest in hexadecimal digits. */
	private static final int DIGITS = 32;

	/** Base of the digits. */
	private static final int HEXADECIMAL = 16;

	/**
	 * Reads a digest.
	 * @param digest 32 hexadecimal digits
	 * @return the key
	 */
	public static ClaimKey of(String digest) {
		long high = Long.parseUnsignedLong(digest.substring(0, DIGITS / 2), HEXADECIMAL);
		long low = Long.parseUnsignedLong(digest.substring(DIGITS / 2, DIGITS), HEXADECIMAL);
		return new ClaimKey(high, low);
	}

	/**
	 * Returns the partition that holds the claims on this key.
	 * @return a number from 0 to {@link #PARTITIONS} - 1
	 */
	public int partition() {
		return Math.floorMod(this.low, PARTITIONS);
	}

	/**
	 * Returns the stream that holds the claims of a partition.
	 * @param partition number of the partition
	 * @return name of the stream
	 */
	public static String stream(int partition) {
		return "claims-" + partition;
	}

}
