package io.dotterelcrank.process.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.dotterelcrank.connection.KeyedRecord;

/**
 * Newest record of each key of a table. Invariants: the offset of a key never falls, so
 * stale reads and stale records of peers change nothing; every deletion at or after
 * {@link #deletionsKnownFrom} has a tombstone or was followed by a newer record. Not
 * thread-safe.
 */
public final class KeyedTable {

	/** Number of tombstones above which the oldest are discarded, down to half of it. */
	static final int MAX_TOMBSTONES = 2_000;

	/** Newest record by key, tombstones included. */
	private final Map<String, KeyedRecord> records = new HashMap<>();

	/** Offset after the last record applied. */
	private long nextOffset;

	/** A listing has no tombstones, so deletions before it are not known. */
	private long deletionsKnownFrom;

	private int tombstones;

	private KeyedTable() {
	}

	/**
	 * Creates an empty table.
	 * @return a table that starts at offset 0
	 */
	public static KeyedTable empty() {
		return new KeyedTable();
	}

	/**
	 * Applies records, and advances the offset to read next.
	 * @param batch the records; those that are not newer than the held ones are ignored
	 * @param batchNextOffset offset after the last record that the batch covers
	 * @return records that changed the table
	 */
	public List<KeyedRecord> apply(List<KeyedRecord> batch, long batchNextOffset) {
		List<KeyedRecord> changes = new ArrayList<>();
		for (KeyedRecord record : batch) {
			if (putIfNewer(record)) {
				changes.add(record);
			}
		}
		this.nextOffset = Math.max(this.nextOffset, batchNextOffset);
		discardOldTombstones();
		return changes;
	}

	/**
	 * Applies a listing of all keys. Keys missing from it were deleted, unless the
	 * listing is older than their record.
	 * @param listing the newest record of each key
	 * @param listingNextOffset offset after the last record that the listing covers
	 * @return records that changed the table, tombstones of missing keys included
	 */
	public List<KeyedRecord> applyListing(List<KeyedRecord> listing, long listingNextOffset) {
		Set<String> listedKeys = new HashSet<>();
		listing.forEach((record) -> listedKeys.add(record.key()));
		List<KeyedRecord> deletions = new ArrayList<>();
		for (KeyedRecord current : this.records.values()) {
			if (!current.deleted() && !listedKeys.contains(current.key()) && current.offset() < listingNextOffset - 1) {
				deletions.add(new KeyedRecord(current.key(), listingNextOffset - 1, null));
			}
		}
		List<KeyedRecord> changes = new ArrayList<>(apply(listing, listingNextOffset));
		changes.addAll(apply(deletions, listingNextOffset));
		this.deletionsKnownFrom = Math.max(this.deletionsKnownFrom, listingNextOffset);
		return changes;
	}

	private boolean putIfNewer(KeyedRecord record) {
		KeyedRecord current = this.records.get(record.key());
		if (current != null && current.offset() >= record.offset()) {
			return false;
		}
		if (current == null && record.offset() < this.deletionsKnownFrom) {
			// The key was deleted before the listing, or its tombstone was discarded.
			return false;
		}
		this.records.put(record.key(), record);
		if (record.deleted()) {
			this.tombstones++;
		}
		if (current != null && current.deleted()) {
			this.tombstones--;
		}
		return true;
	}

	private void discardOldTombstones() {
		if (this.tombstones <= MAX_TOMBSTONES) {
			return;
		}
		this.records.values()
			.stream()
			.filter(KeyedRecord::deleted)
			.sorted((left, right) -> Long.compare(left.offset(), right.offset()))
			.limit(this.tombstones - MAX_TOMBSTONES / 2)
			.toList()
			.forEach((tombstone) -> {
				this.records.remove(tombstone.key());
				this.deletionsKnownFrom = Math.max(this.deletionsKnownFrom, tombstone.offset() + 1);
			});
		this.tombstones = MAX_TOMBSTONES / 2;
	}

	/**
	 * Returns the records at and after an offset.
	 * @param fromOffset first offset to return
	 * @return records in the order of their offsets, tombstones included
	 */
	public List<KeyedRecord> since(long fromOffset) {
		return this.records.values()
			.stream()
			.filter((record) -> record.offset() >= fromOffset)
			.sorted((left, right) -> Long.compare(left.offset(), right.offset()))
			.toList();
	}

	/**
	 * Returns what another table lacks whose next offset is known.
	 * @param fromOffset offset that the other table reads next
	 * @return the records from there on, or all records if deletions since then are not
	 * known
	 */
	public Update updateSince(long fromOffset) {
		boolean incremental = fromOffset >= this.deletionsKnownFrom;
		return new Update(incremental ? fromOffset : 0, since(incremental ? fromOffset : 0));
	}

	/**
	 * Applies the update of another table, unless records before it are missing here.
	 * @param update records of the other table
	 * @param updateNextOffset offset that the other table reads next
	 * @return records that changed the table
	 */
	public List<KeyedRecord> apply(Update update, long updateNextOffset) {
		if (update.fromOffset() > this.nextOffset) {
			return List.of();
		}
		return (update.fromOffset() == 0) ? applyListing(update.records(), updateNextOffset)
				: apply(update.records(), updateNextOffset);
	}

	/**
	 * Returns the offset to read next.
	 * @return offset after the last record applied; 0 for an empty table
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Records that bring another table up to date. Immutable.
	 *
	 * @param fromOffset offset from which on the records are complete, deletions
	 * included; 0 if they are all records of the table
	 * @param records the records in the order of their offsets
	 */
	public record Update(long fromOffset, List<KeyedRecord> records) {
	}

}
