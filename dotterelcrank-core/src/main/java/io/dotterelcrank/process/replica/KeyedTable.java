package io.dotterelcrank.process.replica;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.dotterelcrank.connection.KeyedRecord;

/**
 * Newest record of each key of a table. A record is known by the epoch of the store and
 * its offset: a store that comes back from an older copy gives offsets out again, in a
 * larger epoch. Invariants: the epoch never falls, and within it neither does the offset
 * of a key, so stale reads and stale records of peers change nothing; every deletion at
 * or after {@link #deletionsKnownFrom} has a tombstone or was followed by a newer record;
 * a key of an earlier epoch is kept until a record of this epoch replaces it or
 * {@link #discardRetained} is called. Not thread-safe.
 */
public final class KeyedTable {

	/** Number of tombstones above which the oldest are discarded, down to half of it. */
	static final int MAX_TOMBSTONES = 2_000;

	/** Newest record of the epoch by key, tombstones included. */
	private final Map<String, KeyedRecord> records = new HashMap<>();

	/** Keys of earlier epochs that have no record in this one, in order. */
	private final Set<String> retainedKeys = new TreeSet<>();

	/** Epoch of the store that all offsets belong to; 0 if it does not say. */
	private long epoch;

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
	 * Applies records of this epoch, and advances the offset to read next.
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
	 * Applies a listing of all keys. Keys without a value in it were deleted, unless the
	 * listing is older than their record: a tombstone there may be that of an earlier
	 * deletion. The first listing of a new epoch replaces all records, whatever their
	 * offsets, and retains the keys that are missing from it.
	 * @param listing the newest record of each key
	 * @param listingNextOffset offset after the last record that the listing covers
	 * @param listingEpoch epoch of the offsets; a listing of an earlier one is ignored
	 * @return records that changed the table, tombstones of missing keys included
	 */
	public List<KeyedRecord> applyListing(List<KeyedRecord> listing, long listingNextOffset, long listingEpoch) {
		if (listingEpoch < this.epoch) {
			return List.of();
		}
		if (listingEpoch > this.epoch) {
			begin(listingEpoch);
		}
		Set<String> listedKeys = new HashSet<>();
		listing.stream().filter((record) -> !record.deleted()).forEach((record) -> listedKeys.add(record.key()));
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

	private void begin(long newEpoch) {
		this.records.values()
			.stream()
			.filter((record) -> !record.deleted())
			.forEach((record) -> this.retainedKeys.add(record.key()));
		this.records.clear();
		this.tombstones = 0;
		this.nextOffset = 0;
		this.deletionsKnownFrom = 0;
		this.epoch = newEpoch;
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
		this.retainedKeys.remove(record.key());
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
	 * @param fromEpoch epoch of the other table
	 * @param fromOffset offset that the other table reads next
	 * @return the records from there on, or all records if deletions since then are not
	 * known or the other table has another epoch
	 */
	public Update updateSince(long fromEpoch, long fromOffset) {
		boolean incremental = fromEpoch == this.epoch && fromOffset >= this.deletionsKnownFrom;
		return new Update(incremental ? fromOffset : 0, since(incremental ? fromOffset : 0), this.epoch);
	}

	/**
	 * Returns whether an update of another table can be applied.
	 * @param update records of the other table
	 * @return {@code false} if it is of an earlier epoch, or records before it are
	 * missing here
	 */
	public boolean accepts(Update update) {
		return (update.epoch() == this.epoch) ? update.fromOffset() <= this.nextOffset
				: update.epoch() > this.epoch && update.fromOffset() == 0;
	}

	/**
	 * Applies the update of another table, unless it is not {@linkplain #accepts
	 * accepted}.
	 * @param update records of the other table
	 * @param updateNextOffset offset that the other table reads next
	 * @return records that changed the table
	 */
	public List<KeyedRecord> apply(Update update, long updateNextOffset) {
		if (!accepts(update)) {
			return List.of();
		}
		return (update.fromOffset() == 0) ? applyListing(update.records(), updateNextOffset, update.epoch())
				: apply(update.records(), updateNextOffset);
	}

	/**
	 * Returns the keys of earlier epochs that have no record in this one.
	 * @return the keys, in order
	 */
	public Set<String> retainedKeys() {
		return Collections.unmodifiableSet(this.retainedKeys);
	}

	/**
	 * Deletes the retained keys.
	 * @return their tombstones
	 */
	List<KeyedRecord> discardRetained() {
		long offset = Math.max(0, this.nextOffset - 1);
		List<KeyedRecord> deletions = this.retainedKeys.stream()
			.map((key) -> new KeyedRecord(key, offset, null))
			.toList();
		this.retainedKeys.clear();
		return deletions;
	}

	/**
	 * Returns the newest record of a key in this epoch.
	 * @param key the key
	 * @return the record; empty if the key has none, or was deleted
	 */
	public Optional<KeyedRecord> find(String key) {
		return Optional.ofNullable(this.records.get(key)).filter((record) -> !record.deleted());
	}

	/**
	 * Returns the epoch of the store that the offsets belong to.
	 * @return the epoch; 0 if the store does not say
	 */
	public long epoch() {
		return this.epoch;
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
	 * @param epoch epoch of the store that the offsets belong to; 0 if it is not known
	 */
	public record Update(long fromOffset, List<KeyedRecord> records, long epoch) {
	}

}
