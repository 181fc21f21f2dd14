package io.dotterelcrank.version;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.RendezvousHash;
import io.dotterelcrank.common.Scheduler;

/**
 * Keeps the configuration of a process up to date. A few entry hosts of each data centre
 * read the log; all other processes receive the configuration from their peers, and read
 * the log only if no peer has confirmed their configuration for some time. State is
 * confined to the scheduler's thread, with two exceptions: any thread may read the age,
 * and the state of the log reader and of its snapshots is used by one read at a time.
 */
public final class ConfigurationUpdater {

	/** Number of entry hosts in a data centre that read the log continuously. */
	static final int READERS_PER_DATA_CENTRE = 2;

	/**
	 * Time without confirmation after which every process reads the log, in milliseconds.
	 */
	static final long STALE_AFTER_MILLIS = 6_000;

	/** Delay before the first retry after a failed read, in milliseconds. */
	static final long MIN_RETRY_DELAY_MILLIS = 500;

	/** Maximum delay before a retry, in milliseconds. */
	static final long MAX_RETRY_DELAY_MILLIS = 8_000;

	/** Maximum wait of one long poll for a record, in milliseconds. */
	static final long LONG_POLL_MILLIS = 2_000;

	/**
	 * Interval at which a process checks whether it must read the log, in milliseconds.
	 */
	static final long CHECK_INTERVAL_MILLIS = 500;

	/**
	 * Maximum delay from when a snapshot is due until this process appends it, in
	 * milliseconds. The delay depends on the name of the process.
	 */
	static final long MAX_SNAPSHOT_DELAY_MILLIS = 30_000;

	/** A snapshot is due after 64 records or an hour. */
	static final ConfigurationLog.SnapshotPolicy SNAPSHOT_POLICY = new ConfigurationLog.SnapshotPolicy(64, 3_600_000);

	private static final Logger logger = LoggerFactory.getLogger(ConfigurationUpdater.class);

	private final String process;

	/** Used by one read at a time. */
	private final ConfigurationLog log;

	private final ConfigurationHolder holder;

	private final Clock clock;

	private final Scheduler scheduler;

	private final Executor io;

	private final Supplier<List<String>> entryHosts;

	/** When the configuration was last confirmed to be the newest, in milliseconds. */
	private volatile long confirmedAtMillis;

	/**
	 * Time at which this process appends the snapshot that is due, in milliseconds; 0 if
	 * none is due.
	 */
	private long appendSnapshotAtMillis;

	private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;

	private ConfigurationUpdater(String process, LogClient log, ConfigurationHolder holder, Clock clock,
			Scheduler scheduler, Executor io, Supplier<List<String>> entryHosts) {
		this.process = process;
		this.log = ConfigurationLog.of(log);
		this.holder = holder;
		this.clock = clock;
		this.scheduler = scheduler;
		this.io = io;
		this.entryHosts = entryHosts;
		this.confirmedAtMillis = Long.MIN_VALUE / 2;
	}

	/**
	 * Creates an updater.
	 * @param process name of the process
	 * @param log client of the log
	 * @param holder receives newer configurations
	 * @param clock clock of the process
	 * @param scheduler runs the updates of the state
	 * @param io runs blocking reads
	 * @param entryHosts supplies the names of the live entry hosts of this data centre;
	 * the first few by rendezvous hash read the log
	 * @return an updater that is not started
	 */
	public static ConfigurationUpdater of(String process, LogClient log, ConfigurationHolder holder, Clock clock,
			Scheduler scheduler, Executor io, Supplier<List<String>> entryHosts) {
		return new ConfigurationUpdater(process, log, holder, clock, scheduler, io, entryHosts);
	}

	/**
	 * Starts updating the configuration.
	 */
	public void start() {
		this.scheduler.execute(this::readOrWait);
	}

	/**
	 * Updates the age of the configuration if a peer has the same version in force.
	 * @param version version in force at the peer
	 * @param ageMillis time since the peer's configuration was last confirmed to be the
	 * newest, in milliseconds
	 */
	public void recordPeerConfirmation(long version, long ageMillis) {
		if (version <= this.holder.current().version()) {
			long peerConfirmedAtMillis = this.clock.millis() - ageMillis;
			if (version == this.holder.current().version() && peerConfirmedAtMillis > this.confirmedAtMillis) {
				this.confirmedAtMillis = peerConfirmedAtMillis;
			}
		}
	}

	/**
	 * Returns the time since the configuration was last confirmed to be the newest.
	 * @return age in milliseconds; very large before the first confirmation
	 */
	public long ageMillis() {
		return Math.max(0, this.clock.millis() - this.confirmedAtMillis);
	}

	/**
	 * Returns whether this process is one of those that read the log for its data centre.
	 * @return {@code true} for the entry hosts ranked first by rendezvous hash
	 */
	boolean readsLogContinuously() {
		List<String> ranked = RendezvousHash.rank(ConfigurationLog.STREAM, this.entryHosts.get(), (name) -> name);
		return ranked.stream().limit(READERS_PER_DATA_CENTRE).anyMatch(this.process::equals);
	}

	private void readOrWait() {
		if (readsLogContinuously() || ageMillis() > STALE_AFTER_MILLIS) {
			boolean longPoll = readsLogContinuously();
			this.io.execute(() -> read(longPoll ? LONG_POLL_MILLIS : 0));
		}
		else {
			this.scheduler.schedule(CHECK_INTERVAL_MILLIS, this::readOrWait);
		}
	}

	private void read(long waitMillis) {
		try {
			long startedMillis = this.clock.millis();
			long offsetBefore = this.log.stateMachine().nextOffset();
			this.log.read(waitMillis);
			boolean recordsRead = this.log.stateMachine().nextOffset() > offsetBefore;
			appendSnapshotIfDue();
			this.scheduler.execute(() -> readSucceeded(startedMillis, recordsRead));
		}
		catch (PlatformException | RuntimeException ex) {
			this.scheduler.execute(() -> readFailed(ex));
		}
	}

	/**
	 * Appends a snapshot if one is due. The delay differs between readers, so that the
	 * others usually read the snapshot of the first one before their own delay ends.
	 */
	private void appendSnapshotIfDue() throws PlatformException {
		if (!this.log.snapshotDue(SNAPSHOT_POLICY, this.clock.millis())) {
			this.appendSnapshotAtMillis = 0;
			return;
		}
		if (this.appendSnapshotAtMillis == 0) {
			this.appendSnapshotAtMillis = this.clock.millis()
					+ Math.floorMod(RendezvousHash.hash(this.process), MAX_SNAPSHOT_DELAY_MILLIS);
		}
		if (this.clock.millis() >= this.appendSnapshotAtMillis) {
			this.log.appendSnapshot();
			LogEvent.SNAPSHOT_APPENDED.log(logger, this.log.stateMachine().configuration().version());
		}
	}

	private void readSucceeded(long startedMillis, boolean recordsRead) {
		this.retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
		if (this.log.stateMachine().gapFree()) {
			this.holder.updateIfNewer(this.log.stateMachine().configuration(), "the log");
			boolean newest = this.log.stateMachine().configuration().version() == this.holder.current().version();
			this.confirmedAtMillis = newest ? Math.max(this.confirmedAtMillis, startedMillis) : this.confirmedAtMillis;
		}
		long spentMillis = this.clock.millis() - startedMillis;
		this.scheduler.schedule(recordsRead ? 0 : Math.max(0, CHECK_INTERVAL_MILLIS - spentMillis), this::readOrWait);
	}

	private void readFailed(Exception cause) {
		LogEvent.LOG_UNREADABLE.log(logger, cause.getMessage());
		this.scheduler.schedule(this.retryDelayMillis, this::readOrWait);
		this.retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, this.retryDelayMillis * 2);
	}

}
