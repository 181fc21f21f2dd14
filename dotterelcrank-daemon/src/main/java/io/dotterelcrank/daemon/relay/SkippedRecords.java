package io.dotterelcrank.daemon.relay;

import java.util.LinkedHashMap;
import java.util.Map;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.connection.KeyedRecord;

/**
 * Logs the records of a table that cannot be decoded. Answers the load pattern of a
 * writer that repeats such a record many times a second. Invariant: of the records of one
 * key with the same reason, only the first is logged until a sound one has followed,
 * while no more than {@link #MAX_KEYS} keys have such records. Confined to the control
 * thread.
 */
final class SkippedRecords {

	/** Number of keys that are remembered. */
	static final int MAX_KEYS = 200;

	private static final Logger logger = LoggerFactory.getLogger(SkippedRecords.class);

	private final String table;

	/** Hash codes of the last reasons by key, oldest first. */
	private final Map<String, Integer> reasons = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
			return size() > MAX_KEYS;
		}

	};

	private SkippedRecords(String table) {
		this.table = table;
	}

	static SkippedRecords of(String table) {
		return new SkippedRecords(table);
	}

	/**
	 * Adds a record that is skipped.
	 * @param record the record
	 * @param reason why it cannot be decoded
	 */
	void add(KeyedRecord record, Throwable reason) {
		String text = (reason instanceof Error) ? reason.toString() : reason.getMessage();
		Integer former = this.reasons.put(record.key(), String.valueOf(text).hashCode());
		if (former == null || former != String.valueOf(text).hashCode()) {
			LogEvent.RECORD_MALFORMED.log(logger, this.table, record.key(), record.offset(), text);
		}
	}

	/**
	 * Records that a key has a sound record or none.
	 * @param record the record
	 */
	void forget(KeyedRecord record) {
		this.reasons.remove(record.key());
	}

}
