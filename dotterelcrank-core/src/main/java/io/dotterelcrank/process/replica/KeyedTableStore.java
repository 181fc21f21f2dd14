package io.dotterelcrank.process.replica;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Keyed tables of the platform's log. Each call ends within a few seconds: with a result,
 * or with a {@link io.dotterelcrank.process.platform.PlatformException}. Implementations
 * are thread-safe.
 */
public interface KeyedTableStore {

	/**
	 * Lists the newest record of each key. The listing is no snapshot: a record may be
	 * newer than its end.
	 * @param table name of the table
	 * @return the records; none is dropped
	 */
	CompletableFuture<Batch> list(String table);

	/**
	 * Reads records.
	 * @param table name of the table
	 * @param fromOffset first offset wanted
	 * @param waitMillis how long to wait for a record if there is none, in milliseconds
	 * @return the records, or an {@link Batch#expired} batch
	 */
	CompletableFuture<Batch> read(String table, long fromOffset, long waitMillis);

	/**
	 * Appends a record. If the answer is lost the record may have been appended; since
	 * the newest record of a key wins, appending it again is harmless.
	 * @param table name of the table
	 * @param key the key
	 * @param value content
	 * @return ends when the record is stored
	 */
	CompletableFuture<Void> put(String table, String key, byte[] value);

	/**
	 * Records of a table. Immutable.
	 *
	 * @param records records in the order of their offsets; in a listing, of their keys
	 * @param nextOffset offset after the last record of the table
	 * @param expired whether records between the first offset wanted and the first one
	 * kept are missing
	 */
	record Batch(List<KeyedRecord> records, long nextOffset, boolean expired) {
	}

}
