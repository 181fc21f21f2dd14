package io.dotterelcrank.process.replica;

import java.util.List;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;

/**
 * Keeps a {@link KeyedTable} current: lists it once, then reads what is appended, and
 * lists it again when records have expired. While the store does not answer, peers offer
 * their records. All methods run on the control thread.
 */
public final class TableFeed {

	/** Pause after a failed call, in milliseconds; an outage lasts for seconds. */
	static final long RETRY_MILLIS = 300;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(TableFeed.class);

	/** Name of the table. */
	private final String table;

	/** The store. */
	private final KeyedTableStore log;

	/** Clock of the process. */
	private final Clock clock;

	/** The control thread. */
	private final Scheduler control;

	/** Longest time that a read waits for records, in milliseconds. */
	private final long waitMillis;

	/** Pause between two reads, in milliseconds. */
	private final long pauseMillis;

	/** Hears of changes. */
	private final Consumer<List<KeyedRecord>> listener;

	/** The records. */
	private final KeyedTable records = KeyedTable.empty();

	/** When the records were last known to be current, in milliseconds; 0 for never. */
	private long confirmedMillis;

	/** Whether the last call to the store succeeded. */
	private boolean reachable = true;

	/** Whether a listing has succeeded, and reads can continue from the table's end. */
	private boolean listed;

	private TableFeed(String table, KeyedTableStore log, Clock clock, Scheduler control, long waitMillis,
			long pauseMillis, Consumer<List<KeyedRecord>> listener) {
		this.table = table;
		this.log = log;
		this.clock = clock;
		this.control = control;
		this.waitMillis = waitMillis;
		this.pauseMillis = pauseMillis;
		this.listener = listener;
	}

	/**
	 * Creates a feed that waits at the store for new records.
	 * @param table name of the table
	 * @param log the store
	 * @param clock clock of the process
	 * @param control the control thread
	 * @param waitMillis longest time that a read waits, in milliseconds
	 * @param listener hears of changes
	 * @return a feed that is not started
	 */
	public static TableFeed longPolling(String table, KeyedTableStore log, Clock clock, Scheduler control,
			long waitMillis, Consumer<List<KeyedRecord>> listener) {
		return new TableFeed(table, log, clock, control, waitMillis, 0, listener);
	}

	/**
	 * Creates a feed that reads at intervals, for tables that change many times a second.
	 * @param table name of the table
	 * @param log the store
	 * @param clock clock of the process
	 * @param control the control thread
	 * @param pauseMillis pause between two reads, in milliseconds
	 * @param listener hears of changes
	 * @return a feed that is not started
	 */
	public static TableFeed polling(String table, KeyedTableStore log, Clock clock, Scheduler control, long pauseMillis,
			Consumer<List<KeyedRecord>> listener) {
		return new TableFeed(table, log, clock, control, 0, pauseMillis, listener);
	}

	/**
	 * Starts reading.
	 */
	public void start() {
		if (this.listed) {
			this.log.read(this.table, this.records.nextOffset(), this.waitMillis)
				.whenComplete((batch, failure) -> this.control.execute(() -> taken(batch, failure, false)));
		}
		else {
			this.log.list(this.table)
				.whenComplete((batch, failure) -> this.control.execute(() -> taken(batch, failure, true)));
		}
	}

	private void taken(KeyedTableStore.Batch batch, Throwable failure, boolean listing) {
		if (failure != null) {
			unreachable(failure.getMessage());
			this.control.schedule(RETRY_MILLIS, this::start);
			return;
		}
		if (!this.reachable) {
			this.reachable = true;
			LogEvent.STORE_REACHABLE.log(logger, this.table, batch.nextOffset());
		}
		if (batch.expired()) {
			this.listed = false;
			LogEvent.TABLE_EXPIRED.log(logger, this.table, this.records.nextOffset());
			start();
			return;
		}
		this.confirmedMillis = this.clock.millis();
		List<KeyedRecord> changes = listing ? this.records.replace(batch.records(), batch.nextOffset())
				: this.records.apply(batch.records(), batch.nextOffset());
		this.listed = true;
		tell(changes);
		if (this.pauseMillis > 0) {
			this.control.schedule(this.pauseMillis, this::start);
		}
		else {
			start();
		}
	}

	private void unreachable(String reason) {
		if (this.reachable) {
			this.reachable = false;
			LogEvent.STORE_UNREACHABLE.log(logger, this.table, reason);
		}
	}

	private void tell(List<KeyedRecord> changes) {
		if (!changes.isEmpty()) {
			this.listener.accept(changes);
		}
	}

	/**
	 * Takes in records of a peer.
	 * @param batch records from this table's end on
	 * @param end offset after the last record that the peer holds
	 * @param ageMillis how long ago the peer's records were current, in milliseconds
	 */
	public void applyPeerRecords(List<KeyedRecord> batch, long end, long ageMillis) {
		this.confirmedMillis = Math.max(this.confirmedMillis, this.clock.millis() - ageMillis);
		tell(this.records.apply(batch, end));
	}

	/**
	 * Returns how old the records may be.
	 * @return time since they were known to be current, in milliseconds; a very large
	 * number if they never were
	 */
	public long ageMillis() {
		return (this.confirmedMillis == 0) ? Integer.MAX_VALUE : this.clock.millis() - this.confirmedMillis;
	}

	/**
	 * Returns the records.
	 * @return the table, which only the control thread touches
	 */
	public KeyedTable records() {
		return this.records;
	}

	/**
	 * Returns the name of the table.
	 * @return name of the table
	 */
	public String table() {
		return this.table;
	}

	/**
	 * Returns the longest time between two confirmations while the store answers.
	 * @return longest wait or pause of a read, in milliseconds
	 */
	public long intervalMillis() {
		return Math.max(this.waitMillis, this.pauseMillis);
	}

	/**
	 * Tells whether the store answers.
	 * @return whether the last call succeeded
	 */
	public boolean reachable() {
		return this.reachable;
	}

}
