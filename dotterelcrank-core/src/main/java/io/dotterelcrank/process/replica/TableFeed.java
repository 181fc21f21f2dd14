package io.dotterelcrank.process.replica;

import java.util.List;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.KeyedRecord;

/**
 * Keeps a {@link KeyedTable} current: lists the table once, then reads the records
 * appended since, and lists it again when records have expired or the store has come back
 * from an older copy. While the store is unreachable, records of peers are applied; while
 * a peer reads the table for this host, it is not read at all. Invariants: the table is
 * listed once per {@link #RETRY_MILLIS} at most; a response of an earlier epoch of the
 * store changes nothing; a key that is missing since the store came back is kept for
 * {@linkplain #retainFor a while}, as its writer writes it again. All methods run on the
 * control thread.
 */
public final class TableFeed {

	/** Delay after a failed call, in milliseconds; an outage lasts for seconds. */
	static final long RETRY_MILLIS = 300;

	private static final Logger logger = LoggerFactory.getLogger(TableFeed.class);

	private final String table;

	private final KeyedTableStore store;

	private final Clock clock;

	private final Scheduler control;

	/**
	 * Maximum time that a read waits at the store for records, in milliseconds; 0 when
	 * polling.
	 */
	private long waitMillis;

	/**
	 * Delay between two reads, in milliseconds; when long polling, only after a read that
	 * returned records.
	 */
	private final long pauseMillis;

	private final Consumer<List<KeyedRecord>> listener;

	private final KeyedTable records = KeyedTable.empty();

	private final KeyRetention retention;

	/** When the records were last known to be current, in milliseconds; 0 for never. */
	private long lastCurrentMillis;

	/** When the store last responded to this host, in milliseconds; 0 for never. */
	private long lastReadMillis;

	/** Whether the last call to the store succeeded. */
	private boolean reachable = true;

	/** Whether a listing has succeeded, and reads can continue from the table's end. */
	private boolean listed;

	/** Call to the store that is under way, or the last one. */
	private StoreCall call = new StoreCall(0, 0);

	/** When the table may be listed again, in milliseconds. */
	private long nextListingMillis;

	/** Epoch in which records of a peer from an earlier one were logged last. */
	private long outdatedPeerLoggedEpoch;

	/** Until when a peer reads the table for this host. */
	private long followUntilMillis;

	/** Peer that was followed last; empty if none was. */
	private String followedPeer = "";

	/**
	 * Goes on reading when following ends; {@code null} if a call to the store is under
	 * way or due.
	 */
	private Scheduler.ScheduledTask resumption;

	/** Called after each read, and after each failed call. */
	private Runnable readListener = () -> {
	};

	/** Called after each listing, whether the store or a peer has sent it. */
	private Runnable listingListener = () -> {
	};

	private TableFeed(String table, KeyedTableStore store, Clock clock, Scheduler control, long waitMillis,
			long pauseMillis, Consumer<List<KeyedRecord>> listener) {
		this.table = table;
		this.store = store;
		this.clock = clock;
		this.control = control;
		this.waitMillis = waitMillis;
		this.pauseMillis = pauseMillis;
		this.listener = listener;
		this.retention = new KeyRetention(table, this.records, clock, control, this::currentAt, this::notifyListener);
	}

	/**
	 * Creates a feed that reads by long polling: the store holds a read until there are
	 * records.
	 * @param table name of the table
	 * @param store the store
	 * @param clock clock of the process
	 * @param control scheduler of the control thread
	 * @param waitMillis maximum time that a read waits, in milliseconds
	 * @param pauseMillis delay after a read that returned records, in milliseconds;
	 * records that follow within it cost one read together
	 * @param listener receives the records that changed the table
	 * @return a feed that is not started
	 */
	public static TableFeed longPolling(String table, KeyedTableStore store, Clock clock, Scheduler control,
			long waitMillis, long pauseMillis, Consumer<List<KeyedRecord>> listener) {
		return new TableFeed(table, store, clock, control, waitMillis, pauseMillis, listener);
	}

	/**
	 * Creates a feed that polls, for tables that change many times a second.
	 * @param table name of the table
	 * @param store the store
	 * @param clock clock of the process
	 * @param control scheduler of the control thread
	 * @param intervalMillis delay between two reads, in milliseconds
	 * @param listener receives the records that changed the table
	 * @return a feed that is not started
	 */
	public static TableFeed polling(String table, KeyedTableStore store, Clock clock, Scheduler control,
			long intervalMillis, Consumer<List<KeyedRecord>> listener) {
		return new TableFeed(table, store, clock, control, 0, intervalMillis, listener);
	}

	/**
	 * Changes the maximum time that a read waits, from the next read on.
	 * @param millis maximum time that a read waits, in milliseconds; positive
	 */
	public void updateWait(long millis) {
		this.waitMillis = millis;
	}

	/**
	 * Sets for how long keys are kept that are missing since the store came back.
	 * @param millis time within which their writers write them again, in milliseconds
	 */
	public void retainFor(long millis) {
		this.retention.keepFor(millis);
	}

	/**
	 * Lists or reads the table. Each result, also a failure, leads to the next call,
	 * until the process ends.
	 */
	public void start() {
		long nowMillis = this.clock.millis();
		long epoch = this.records.epoch();
		this.call = new StoreCall(nowMillis, nowMillis + (this.listed ? this.waitMillis : 0));
		if (this.listed) {
			this.store.read(this.table, this.records.nextOffset(), this.waitMillis)
				.whenComplete((batch, failure) -> this.control
					.execute(() -> handleResult(failure, () -> handleRead(batch, epoch))));
		}
		else if (nowMillis < this.nextListingMillis) {
			this.control.schedule(this.nextListingMillis - nowMillis, this::readUnlessFollowing);
		}
		else {
			this.nextListingMillis = nowMillis + RETRY_MILLIS;
			this.store.list(this.table)
				.whenComplete((batch, failure) -> this.control
					.execute(() -> handleResult(failure, () -> handleListing(batch, epoch))));
		}
	}

	/**
	 * Handles the result of a call. The next call is the last step of that, so it is
	 * still to be made if any step has failed.
	 * @param failure why the call has failed; {@code null} if it has not
	 * @param step handles the response
	 */
	private void handleResult(Throwable failure, Runnable step) {
		try {
			if (failure != null) {
				handleFailure(failure);
			}
			else {
				step.run();
			}
		}
		catch (RuntimeException | Error ex) {
			LogEvent.TABLE_RESULT_DEFECT.log(logger, this.table, ex.toString(), ex);
			this.control.schedule(RETRY_MILLIS, this::readUnlessFollowing);
		}
	}

	private void handleFailure(Throwable failure) {
		if (this.reachable) {
			this.reachable = false;
			LogEvent.STORE_UNREACHABLE.log(logger, this.table, failure.getMessage());
		}
		this.readListener.run();
		this.control.schedule(RETRY_MILLIS, this::readUnlessFollowing);
	}

	/**
	 * Handles the response to a read.
	 * @param batch the response
	 * @param requestEpoch epoch that the offset of the read belongs to
	 */
	private void handleRead(KeyedTableStore.Batch batch, long requestEpoch) {
		long epoch = epoch(batch, requestEpoch);
		if (isLate(epoch)) {
			return;
		}
		recordReachable(batch);
		if (epoch > this.records.epoch()) {
			listAgain();
			return;
		}
		if (requestEpoch < epoch) {
			// A peer has told the new epoch meanwhile, and with it another offset.
			readUnlessFollowing();
			return;
		}
		if (batch.expired()) {
			LogEvent.TABLE_EXPIRED.log(logger, this.table, this.records.nextOffset());
			listAgain();
			return;
		}
		if (!batch.partial()) {
			recordCurrent(batch);
		}
		handleChanges(batch, this.records.apply(batch.records(), batch.nextOffset()));
	}

	/**
	 * Handles a listing. One that ends before the table's offset is older than the
	 * records are, so that they are not known to be current.
	 * @param batch the response
	 * @param requestEpoch epoch of the table when the listing was started
	 */
	private void handleListing(KeyedTableStore.Batch batch, long requestEpoch) {
		long epoch = epoch(batch, requestEpoch);
		if (isLate(epoch)) {
			return;
		}
		recordReachable(batch);
		if (batch.expired()) {
			listAgain();
			return;
		}
		if (epoch > this.records.epoch() || batch.nextOffset() >= this.records.nextOffset()) {
			recordCurrent(batch);
		}
		long formerEpoch = this.records.epoch();
		long formerOffset = this.records.nextOffset();
		List<KeyedRecord> changes = this.records.applyListing(batch.records(), batch.nextOffset(), epoch);
		this.retention.update(formerEpoch, formerOffset);
		this.listed = true;
		this.listingListener.run();
		handleChanges(batch, changes);
	}

	private static long epoch(KeyedTableStore.Batch batch, long requestEpoch) {
		return (batch.epoch() > 0) ? batch.epoch() : requestEpoch;
	}

	private boolean isLate(long epoch) {
		boolean late = epoch < this.records.epoch();
		if (late) {
			LogEvent.LATE_RESPONSE_DROPPED.log(logger, this.table, epoch, this.records.epoch());
			this.control.schedule(RETRY_MILLIS, this::readUnlessFollowing);
		}
		return late;
	}

	private void recordReachable(KeyedTableStore.Batch batch) {
		if (!this.reachable) {
			this.reachable = true;
			LogEvent.STORE_REACHABLE.log(logger, this.table, batch.nextOffset());
		}
	}

	private void recordCurrent(KeyedTableStore.Batch batch) {
		this.lastReadMillis = this.call.currentMillis(this.clock.millis(), batch.records().isEmpty());
		this.lastCurrentMillis = Math.max(this.lastCurrentMillis, this.lastReadMillis);
	}

	private void listAgain() {
		this.listed = false;
		readUnlessFollowing();
	}

	private void handleChanges(KeyedTableStore.Batch batch, List<KeyedRecord> changes) {
		notifyListener(changes);
		this.readListener.run();
		boolean pauses = !batch.partial() && (this.waitMillis == 0 || !batch.records().isEmpty());
		if (pauses && this.pauseMillis > 0) {
			this.control.schedule(this.pauseMillis, this::readUnlessFollowing);
		}
		else {
			readUnlessFollowing();
		}
	}

	private void readUnlessFollowing() {
		if (following()) {
			scheduleResumption();
			return;
		}
		if (this.followUntilMillis > 0) {
			LogEvent.TABLE_READ_AGAIN.log(logger, this.table, ageMillis());
			this.followUntilMillis = 0;
		}
		start();
	}

	private void scheduleResumption() {
		this.resumption = this.control.schedule(this.followUntilMillis - this.clock.millis(), () -> {
			this.resumption = null;
			readUnlessFollowing();
		});
	}

	/**
	 * Suspends reading, since a peer reads the table for this host.
	 * @param peer name of the peer
	 * @param millis time until reading goes on unless this method is called again, in
	 * milliseconds
	 */
	void follow(String peer, long millis) {
		if (!following()) {
			LogEvent.TABLE_FOLLOWED.log(logger, this.table, peer);
		}
		this.followedPeer = peer;
		this.followUntilMillis = this.clock.millis() + millis;
	}

	/**
	 * Ends following a peer that no longer reads the table. Has no effect if another one
	 * is followed.
	 * @param peer name of the peer
	 * @param delayMillis time until reading goes on, in milliseconds
	 */
	void unfollow(String peer, long delayMillis) {
		if (!following() || !this.followedPeer.equals(peer)) {
			return;
		}
		LogEvent.TABLE_UNFOLLOWED.log(logger, this.table, peer, ageMillis());
		this.followUntilMillis = Math.min(this.followUntilMillis, this.clock.millis() + delayMillis);
		if (this.resumption != null) {
			this.resumption.cancel();
			scheduleResumption();
		}
	}

	/**
	 * Returns whether a peer reads the table for this host.
	 * @return {@code true} until the time of the last {@link #follow} has passed
	 */
	public boolean following() {
		return this.followUntilMillis > this.clock.millis();
	}

	/**
	 * Returns whether the table has been listed.
	 * @return {@code true} after the first listing, unless it must be listed again
	 */
	public boolean listed() {
		return this.listed;
	}

	/**
	 * Sets the listener of reads.
	 * @param listener called on the control thread, after the records were applied or the
	 * call has failed
	 */
	void onRead(Runnable listener) {
		this.readListener = listener;
	}

	/**
	 * Sets the listener of listings, those of a new epoch that peers send included.
	 * @param listener called on the control thread, after the records were applied
	 */
	public void onListing(Runnable listener) {
		this.listingListener = listener;
	}

	private boolean currentAt(long millis) {
		return (this.reachable || following()) && this.lastCurrentMillis >= millis;
	}

	private void notifyListener(List<KeyedRecord> changes) {
		if (!changes.isEmpty()) {
			this.listener.accept(changes);
		}
	}

	/**
	 * Applies records of a peer. Its age counts only if it has all that this host has.
	 * @param update records of the peer; ignored if they are of an earlier epoch, or if
	 * records before them are missing here
	 * @param peerNextOffset offset that the peer reads next
	 * @param ageMillis how long ago the peer's records were current, in milliseconds
	 */
	public void applyPeerRecords(KeyedTable.Update update, long peerNextOffset, long ageMillis) {
		long formerEpoch = this.records.epoch();
		if (update.epoch() < formerEpoch && this.outdatedPeerLoggedEpoch != formerEpoch) {
			this.outdatedPeerLoggedEpoch = formerEpoch;
			LogEvent.PEER_RECORDS_OUTDATED.log(logger, this.table, update.epoch(), formerEpoch);
		}
		if (!this.records.accepts(update)) {
			return;
		}
		long formerOffset = this.records.nextOffset();
		long currentMillis = this.clock.millis() - ageMillis;
		if (update.epoch() > formerEpoch) {
			this.lastCurrentMillis = currentMillis;
		}
		else if (peerNextOffset >= formerOffset) {
			this.lastCurrentMillis = Math.max(this.lastCurrentMillis, currentMillis);
		}
		List<KeyedRecord> changes = this.records.apply(update, peerNextOffset);
		this.retention.update(formerEpoch, formerOffset);
		notifyListener(changes);
		if (this.records.epoch() > formerEpoch) {
			this.listingListener.run();
		}
	}

	/**
	 * Returns the maximum staleness of the records.
	 * @return time since they were last known to be current, in milliseconds;
	 * {@link Integer#MAX_VALUE} if they never were
	 */
	public long ageMillis() {
		return (this.lastCurrentMillis == 0) ? Integer.MAX_VALUE : this.clock.millis() - this.lastCurrentMillis;
	}

	/**
	 * Returns how long ago this host itself has read the table. Unlike
	 * {@link #ageMillis}, it does not count records that peers have read.
	 * @return time since the store last responded, in milliseconds;
	 * {@link Integer#MAX_VALUE} if it never did, or if the last call failed
	 */
	long readAgeMillis() {
		boolean read = this.reachable && this.lastReadMillis > 0;
		return read ? this.clock.millis() - this.lastReadMillis : Integer.MAX_VALUE;
	}

	/**
	 * Returns the records.
	 * @return the live table, confined to the control thread
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
	 * Returns the maximum time between two reads while the store is reachable.
	 * @return maximum wait of a read or delay between reads, in milliseconds
	 */
	public long intervalMillis() {
		return Math.max(this.waitMillis, this.pauseMillis);
	}

	/**
	 * Returns whether the store is reachable.
	 * @return whether the last call succeeded; {@code true} before the first
	 */
	public boolean reachable() {
		return this.reachable;
	}

}
