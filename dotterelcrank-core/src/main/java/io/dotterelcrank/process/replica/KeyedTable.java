package io.dotterelcrank.process.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Newest record of each key of a table. Invariant: the offset of a key never falls, so
 * that stale reads and records from slow peers change nothing. Not thread-safe.
 */
public final class KeyedTable {

	/** Dropped keys remembered, oldest forgotten first. */
	static final int MAX_DROPPED = 2_000;

	/** Newest record by key, dropped keys included. */
	private final Map<String, KeyedRecord> records = new HashMap<>();

	/** Offset after the last record taken in. */
	private long nextOffset;

	/** Number of dropped keys held. */
	private int dropped;

	private KeyedTable() {
	}

	/**
	 * Creates an empty table.
	 * @return a new table
	 */
	public static KeyedTable empty() {
		return new KeyedTable();
	}

	/**
	 * Takes records in, up to an offset.
	 * @param batch the records
	 * @param batchEnd offset after the last of them
	 * @return records that changed the table
	 */
	public List<KeyedRecord> apply(List<KeyedRecord> batch, long batchEnd) {
		List<KeyedRecord> changes = new ArrayList<>();
		for (KeyedRecord record : batch) {
			if (put(record)) {
				changes.add(record);
			}
		}
		this.nextOffset = Math.max(this.nextOffset, batchEnd);
		forgetDropped();
		return changes;
	}

	/**
	 * Takes in a listing of all keys. Keys that it lacks were dropped, unless the listing
	 * is older than their record.
	 * @param listing the newest record of each key
	 * @param listingEnd offset after the last record that the listing covers
	 * @return records that changed the table
	 */
	public List<KeyedRecord> replace(List<KeyedRecord> listing, long listingEnd) {
		Set<String> listed = new HashSet<>();
		listing.forEach((record) -> listed.add(record.key()));
		List<KeyedRecord> missing = new ArrayList<>();
		for (KeyedRecord held : this.records.values()) {
			if (!held.deleted() && !listed.contains(held.key()) && held.offset() < listingEnd - 1) {
				missing.add(new KeyedRecord(held.key(), listingEnd - 1, null));
			}
		}
		List<KeyedRecord> changes = new ArrayList<>(apply(listing, listingEnd));
		changes.addAll(apply(missing, listingEnd));
		return changes;
	}

	private boolean put(KeyedRecord record) {
		KeyedRecord held = this.records.get(record.key());
		if (held != null && held.offset() >= record.offset()) {
			return false;
		}
		this.records.put(record.key(), record);
		if (record.deleted()) {
			this.dropped++;
		}
		if (held != null && held.deleted()) {
			this.dropped--;
		}
		return true;
	}

	private void forgetDropped() {
		if (this.dropped <= MAX_DROPPED) {
			return;
		}
		this.records.values()
			.stream()
			.filter(KeyedRecord::deleted)
			.sorted((left, right) -> Long.compare(left.offset(), right.offset()))
			.limit(this.dropped - MAX_DROPPED / 2)
			.map(KeyedRecord::key)
			.toList()
			.forEach(this.records::remove);
		this.dropped = MAX_DROPPED / 2;
	}

	/**
	 * Returns the records at and after an offset.
	 * @param fromOffset first offset wanted
	 * @return records in the order of their offsets, dropped keys included
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
	 * @return offset after the last record taken in
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

}
