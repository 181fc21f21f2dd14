package io.dotterelcrank.connection;

/**
 * Newest record of a key in a keyed table. The value array is not modified after
 * construction.
 *
 * @param key the key
 * @param offset offset of the record in the table's log; of two records of a key, the one
 * with the larger offset is newer
 * @param value content; {@code null} for a tombstone, that is, if the key was deleted
 */
public record KeyedRecord(String key, long offset, byte[] value) {

	/**
	 * Returns whether the key was deleted.
	 * @return {@code true} if the record is a tombstone
	 */
	public boolean deleted() {
		return this.value == null;
	}

	/**
	 * Returns the size of the content.
	 * @return size in bytes; 0 for a tombstone
	 */
	public long bytes() {
		return deleted() ? 0 : this.value.length;
	}

}
