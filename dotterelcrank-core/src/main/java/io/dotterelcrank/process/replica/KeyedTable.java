package io.dotterelcrank.process.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Newest record of each key of a table. Invariant: the offset of a key never falls, so
 * stale reads and stale records of peers change nothing. Not thread-safe.
 */
public final class KeyedTable {

	/** Number of tombstones above which the oldest are discarded, down to half of it. */
	static final int MAX_TOMBSTONES = 2_000;

	/** Newest record by key, tombstones included. */
	private final Map<String, KeyedRecord> records = new HashMap<>();

	/** Offset after the last record applied. */
	private long nextOffset;

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
		return changes;
	}

	private boolean putIfNewer(KeyedRecord record) {
		KeyedRecord current = this.records.get(record.key());
		if (current != null && current.offset() >= record.offset()) {
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
			.map(KeyedRecord::key)
			.toList()
			.forEach(this.records::remove);
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
	 * Returns the offset to read next.
	 * @return offset after the last record applied; 0 for an empty table
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

}
