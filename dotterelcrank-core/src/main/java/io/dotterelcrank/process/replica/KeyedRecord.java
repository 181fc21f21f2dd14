package io.dotterelcrank.process.replica;

/**
 * Newest record of a key in a keyed table. The value array is not modified after
 * construction.
 *
 * @param key the key
 * @param offset offset of the record in the table's log, its version
 * @param value content, or {@code null} if the key was dropped
 */
public record KeyedRecord(String key, long offset, byte[] value) {

	/**
	 * Tells whether the key was dropped.
	 * @return {@code true} if the record has no value
	 */
	public boolean deleted() {
		return this.value == null;
	}

}
