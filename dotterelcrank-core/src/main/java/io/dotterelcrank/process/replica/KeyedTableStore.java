package io.dotterelcrank.process.replica;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.dotterelcrank.connection.KeyedRecord;

/**
 * The platform's store of keyed tables. Each call completes within a few seconds: with a
 * result, or with a {@link io.dotterelcrank.process.platform.PlatformException}.
 * Implementations are thread-safe.
 */
public interface KeyedTableStore {

	/**
	 * Lists the newest record of each key. The listing is not a snapshot: it may contain
	 * records at or after its {@link Batch#nextOffset}.
	 * @param table name of the table
	 * @return the records, without tombstones, or an {@link Batch#expired} batch if the
	 * store came back from an older copy meanwhile
	 */
	CompletableFuture<Batch> list(String table);

	/**
	 * Reads records in the order of their offsets.
	 * @param table name of the table
	 * @param fromOffset first offset to read
	 * @param waitMillis maximum wait for a record if there is none, in milliseconds
	 * @return the records, which may be none, or an {@link Batch#expired} batch
	 */
	CompletableFuture<Batch> read(String table, long fromOffset, long waitMillis);

	/**
	 * Appends a record. If the response is lost, the record may have been appended; since
	 * the newest record of a key wins, a retry is harmless.
	 * @param table name of the table
	 * @param key the key
	 * @param value content
	 * @return completes when the record is stored
	 */
	CompletableFuture<Void> put(String table, String key, byte[] value);

	/**
	 * Appends a record if the table ends at an offset. If the response is lost, the
	 * record may have been appended, or may be appended later if the table still ends
	 * there.
	 * @param table name of the table
	 * @param endOffset offset after the last record that the table must have
	 * @param key the key
	 * @param value content
	 * @return completes with whether the record was appended; fails if that is not known
	 */
	CompletableFuture<Boolean> tryAppend(String table, long endOffset, String key, byte[] value);

	/**
	 * Records of a table. Immutable.
	 *
	 * @param records records in the order of their offsets; in a listing, of their keys
	 * @param nextOffset offset after the last record that the batch covers
	 * @param expired whether records at and after the first offset to read have expired,
	 * so that the table must be listed again
	 * @param partial whether the table had more records, which did not fit into a
	 * response
	 * @param epoch epoch of the store that the offsets belong to: a store that comes back
	 * from an older copy gives offsets out again, in a larger epoch; 0 if the store does
	 * not say
	 */
	record Batch(List<KeyedRecord> records, long nextOffset, boolean expired, boolean partial, long epoch) {

		/**
		 * Creates a batch that brings the table up to date, or has expired.
		 * @param records the records
		 * @param nextOffset offset after the last record of the table
		 * @param expired whether the table must be listed again
		 */
		public Batch(List<KeyedRecord> records, long nextOffset, boolean expired) {
			this(records, nextOffset, expired, false, 0);
		}

		/**
		 * Returns this batch as of an epoch of the store.
		 * @param newEpoch epoch that the offsets belong to; 0 if the store does not say
		 * @return a batch with the same records
		 */
		public Batch withEpoch(long newEpoch) {
			return new Batch(this.records, this.nextOffset, this.expired, this.partial, newEpoch);
		}

	}

}
