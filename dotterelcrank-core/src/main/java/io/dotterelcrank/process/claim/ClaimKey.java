package io.dotterelcrank.process.claim;

/**
 * Digest of workspace, service and idempotency key. Immutable.
 *
 * @param high upper 64 bits of the digest
 * @param low lower 64 bits of the digest; decides the partition
 */
public record ClaimKey(long high, long low) {

	/** Number of partitions, each with its own stream of the log. */
	public static final int PARTITIONS = 32;

	/** Length of a digest in hexadecimal digits. */
	private static final int DIGEST_DIGITS = 32;

	private static final int HEX_RADIX = 16;

	/**
	 * Parses a digest.
	 * @param digest at least 32 hexadecimal digits; further ones are ignored
	 * @return the key
	 */
	public static ClaimKey of(String digest) {
		long high = Long.parseUnsignedLong(digest.substring(0, DIGEST_DIGITS / 2), HEX_RADIX);
		long low = Long.parseUnsignedLong(digest.substring(DIGEST_DIGITS / 2, DIGEST_DIGITS), HEX_RADIX);
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
	 * @param partition number of the partition, from 0
	 * @return name of the stream
	 */
	public static String stream(int partition) {
		return "claims-" + partition;
	}

}
