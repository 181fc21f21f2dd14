package io.dotterelcrank.process.replica;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.KeyedRecord;

/**
 * Keeps the keys of a table that are missing since the store came back from an older
 * copy, until their writers have had the time to write them again. Invariant: a key is
 * deleted only after the table was read past that time, by this host or the one that it
 * follows. Addresses processes that are suspended meanwhile: what they hear first is as
 * old as that. Confined to the control thread.
 */
final class KeyRetention {

	/**
	 * Time for which keys are kept, in milliseconds. Their writers have about two seconds
	 * to write them again.
	 */
	static final long RETENTION_MILLIS = 2_500;

	/** Interval between checks whether a read has followed that time, in milliseconds. */
	private static final long CHECK_MILLIS = 100;

	/** Number of keys in a log line. */
	private static final int MAX_LOGGED_KEYS = 10;

	private static final Logger logger = LoggerFactory.getLogger(KeyRetention.class);

	private final String table;

	private final KeyedTable records;

	private final Clock clock;

	private final Scheduler control;

	/** Whether the table was current at a time. */
	private final LongPredicate currentAt;

	/** Receives the tombstones of the keys. */
	private final Consumer<List<KeyedRecord>> listener;

	private long retentionMillis = RETENTION_MILLIS;

	/** Until when keys are kept at least, in milliseconds. */
	private long untilMillis;

	/** {@code null} if no key is kept. */
	private Scheduler.ScheduledTask check;

	KeyRetention(String table, KeyedTable records, Clock clock, Scheduler control, LongPredicate currentAt,
			Consumer<List<KeyedRecord>> listener) {
		this.table = table;
		this.records = records;
		this.clock = clock;
		this.control = control;
		this.currentAt = currentAt;
		this.listener = listener;
	}

	/**
	 * Sets for how long keys are kept.
	 * @param millis time in milliseconds
	 */
	void keepFor(long millis) {
		this.retentionMillis = millis;
	}

	/**
	 * Keeps the keys that a new epoch lacks, if one has begun; the time of those kept
	 * before starts again.
	 * @param formerEpoch epoch of the records before the last change
	 * @param formerOffset offset that was to be read next before it
	 */
	void update(long formerEpoch, long formerOffset) {
		if (this.records.epoch() == formerEpoch) {
			return;
		}
		if (formerOffset > 0) {
			LogEvent.STORE_REWOUND.log(logger, this.table, this.records.epoch(), formerEpoch, this.records.nextOffset(),
					formerOffset);
		}
		if (this.check != null) {
			this.check.cancel();
			this.check = null;
		}
		if (!this.records.retainedKeys().isEmpty()) {
			LogEvent.KEYS_RETAINED.log(logger, this.table, this.records.retainedKeys().size(), firstKeys(),
					this.retentionMillis);
			this.untilMillis = this.clock.millis() + this.retentionMillis;
			scheduleCheck();
		}
	}

	private void scheduleCheck() {
		long scheduledMillis = this.clock.millis();
		this.check = this.control.schedule(CHECK_MILLIS, () -> check(scheduledMillis));
	}

	private void check(long scheduledMillis) {
		this.check = null;
		if (this.records.retainedKeys().isEmpty()) {
			return;
		}
		long lateMillis = this.clock.millis() - scheduledMillis - CHECK_MILLIS;
		if (lateMillis > CHECK_MILLIS) {
			this.untilMillis += lateMillis;
		}
		if (this.currentAt.test(this.untilMillis)) {
			LogEvent.RETAINED_KEYS_DELETED.log(logger, this.table, this.records.retainedKeys().size(), firstKeys());
			this.listener.accept(this.records.discardRetained());
		}
		else {
			scheduleCheck();
		}
	}

	private List<String> firstKeys() {
		return this.records.retainedKeys().stream().limit(MAX_LOGGED_KEYS).toList();
	}

}
