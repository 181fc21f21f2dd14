package io.dotterelcrank.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.process.replica.KeyedTableStore;

/**
 * Keyed tables in memory. Offsets of each table number its records from 0. An empty value
 * deletes its key. Thread-safe.
 */
public final class StandinTables implements KeyedTableStore {

	/** Records by table, in the order of their offsets. */
	private final Map<String, List<KeyedRecord>> tables = new HashMap<>();

	/** Reads that wait for records, by table. */
	private final Map<String, List<CompletableFuture<Void>>> waiting = new HashMap<>();

	/**
	 * Creates a store without tables.
	 * @return a new store
	 */
	public static StandinTables empty() {
		return new StandinTables();
	}

	/**
	 * Returns all records of a table.
	 * @param table name of the table
	 * @return the records in the order of their offsets, superseded ones included
	 */
	public synchronized List<KeyedRecord> records(String table) {
		return List.copyOf(this.tables.getOrDefault(table, List.of()));
	}

	@Override
	public CompletableFuture<Batch> list(String table) {
		List<KeyedRecord> records = records(table);
		Map<String, KeyedRecord> newest = new LinkedHashMap<>();
		records.forEach((record) -> newest.put(record.key(), record));
		newest.values().removeIf(KeyedRecord::deleted);
		return CompletableFuture.completedFuture(new Batch(List.copyOf(newest.values()), records.size(), false));
	}

	@Override
	public CompletableFuture<Batch> read(String table, long fromOffset, long waitMillis) {
		return nextAppend(table, fromOffset).completeOnTimeout(null, waitMillis, TimeUnit.MILLISECONDS)
			.thenApply((ignored) -> {
				List<KeyedRecord> records = records(table);
				return new Batch(records.subList((int) fromOffset, records.size()), records.size(), false);
			});
	}

	private synchronized CompletableFuture<Void> nextAppend(String table, long fromOffset) {
		CompletableFuture<Void> next = new CompletableFuture<>();
		if (records(table).size() > fromOffset) {
			next.complete(null);
			return next;
		}
		List<CompletableFuture<Void>> readers = this.waiting.computeIfAbsent(table, (name) -> new ArrayList<>());
		readers.removeIf(CompletableFuture::isDone);
		readers.add(next);
		return next;
	}

	@Override
	public CompletableFuture<Void> put(String table, String key, byte[] value) {
		append(table, key, value);
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public synchronized CompletableFuture<Boolean> tryAppend(String table, long endOffset, String key, byte[] value) {
		boolean holds = records(table).size() == endOffset;
		if (holds) {
			append(table, key, value);
		}
		return CompletableFuture.completedFuture(holds);
	}

	private synchronized void append(String table, String key, byte[] value) {
		List<KeyedRecord> records = this.tables.computeIfAbsent(table, (name) -> new ArrayList<>());
		records.add(new KeyedRecord(key, records.size(), (value.length > 0) ? value : null));
		List<CompletableFuture<Void>> readers = this.waiting.remove(table);
		if (readers != null) {
			readers.forEach((reader) -> reader.completeAsync(() -> null));
		}
	}

}
