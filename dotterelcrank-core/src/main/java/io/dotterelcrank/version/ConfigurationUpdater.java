package io.dotterelcrank.version;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.RendezvousHash;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.platform.LogClient;
import io.dotterelcrank.process.platform.PlatformException;

/**
 * Keeps the configuration of a process up to date. A few entry hosts of each data centre
 * read the log; the others hear from their peers, and read the log only when nobody has
 * confirmed their configuration for some time. State belongs to the scheduler's thread,
 * except the age, which any thread may read.
 */
public final class ConfigurationUpdater {

	/** Number of entry hosts in a data centre that read the log. */
	static final int READERS = 2;

	/**
	 * Time without confirmation after which a process reads the log itself, in
	 * milliseconds.
	 */
	static final long STALE_MILLIS = 6_000;

	/** Time between attempts while the log cannot be read, in milliseconds. */
	static final long FIRST_RETRY_MILLIS = 500;

	/** Largest time between attempts, in milliseconds. */
	static final long LAST_RETRY_MILLIS = 8_000;

	/** How long one read waits for a record, in milliseconds. */
	static final long LONG_POLL_MILLIS = 2_000;

	/** Time between checks of a process that does not read the log, in milliseconds. */
	static final long CHECK_MILLIS = 500;

	/**
	 * Largest delay between a snapshot being due and this process appending it, in
	 * milliseconds.
	 */
	static final long SNAPSHOT_SPREAD_MILLIS = 30_000;

	/** When a snapshot is appended. */
	static final ConfigurationLog.SnapshotPolicy SNAPSHOTS = new ConfigurationLog.SnapshotPolicy(64, 3_600_000);

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(ConfigurationUpdater.class);

	/** Name of the process. */
	private final String process;

	/** The configuration stream; used by one read at a time. */
	private final ConfigurationLog log;

	/** Configuration in force. */
	private final ConfigurationHolder holder;

	/** Clock of the process. */
	private final Clock clock;

	/** Runs the decisions. */
	private final Scheduler scheduler;

	/** Runs the reads, which block. */
	private final Executor io;

	/** Names of the live entry hosts of this data centre. */
	private final Supplier<List<String>> entryHosts;

	/** When the configuration was last known to be the newest, in milliseconds. */
	private volatile long confirmedMillis;

	/**
	 * When this process appends the snapshot that is due, in milliseconds; 0 if none is.
	 */
	private long snapshotDueMillis;

	/** Delay before the next attempt after a failure, in milliseconds. */
	private long retryMillis = FIRST_RETRY_MILLIS;

	private ConfigurationUpdater(String process, LogClient log, ConfigurationHolder holder, Clock clock,
			Scheduler scheduler, Executor io, Supplier<List<String>> entryHosts) {
		this.process = process;
		this.log = ConfigurationLog.of(log);
		this.holder = holder;
		this.clock = clock;
		this.scheduler = scheduler;
		this.io = io;
		this.entryHosts = entryHosts;
		this.confirmedMillis = Long.MIN_VALUE / 2;
	}

	/**
	 * Creates a feed.
	 * @param process name of the process
	 * @param log the log
	 * @param holder takes the configurations
	 * @param clock clock of the process
	 * @param scheduler runs the decisions
	 * @param io runs the reads, which block
	 * @param entryHosts supplies the names of the live entry hosts of this data centre
	 * @return a feed that is not started
	 */
	public static ConfigurationUpdater of(String process, LogClient log, ConfigurationHolder holder, Clock clock,
			Scheduler scheduler, Executor io, Supplier<List<String>> entryHosts) {
		return new ConfigurationUpdater(process, log, holder, clock, scheduler, io, entryHosts);
	}

	/**
	 * Starts to keep the configuration up to date.
	 */
	public void start() {
		this.scheduler.execute(this::next);
	}

	/**
	 * Takes in what a peer says about its configuration.
	 * @param version version in force at the peer
	 * @param ageMillis time since the peer's configuration was known to be the newest
	 */
	public void confirmedByPeer(long version, long ageMillis) {
		if (version <= this.holder.current().version()) {
			long confirmed = this.clock.millis() - ageMillis;
			if (version == this.holder.current().version() && confirmed > this.confirmedMillis) {
				this.confirmedMillis = confirmed;
			}
		}
	}

	/**
	 * Returns how long the configuration has not been confirmed.
	 * @return time since it was known to be the newest, in milliseconds
	 */
	public long ageMillis() {
		return Math.max(0, this.clock.millis() - this.confirmedMillis);
	}

	/**
	 * Tells whether this process reads the log on behalf of its data centre.
	 * @return {@code true} for the best-ranked entry hosts
	 */
	boolean reader() {
		List<String> ranked = RendezvousHash.rank(ConfigurationLog.STREAM, this.entryHosts.get(), (name) -> name);
		return ranked.stream().limit(READERS).anyMatch(this.process::equals);
	}

	private void next() {
		if (reader() || ageMillis() > STALE_MILLIS) {
			boolean longPoll = reader();
			this.io.execute(() -> read(longPoll ? LONG_POLL_MILLIS : 0));
		}
		else {
			this.scheduler.schedule(CHECK_MILLIS, this::next);
		}
	}

	private void read(long waitMillis) {
		try {
			long startedMillis = this.clock.millis();
			long before = this.log.stateMachine().nextOffset();
			this.log.read(waitMillis);
			boolean more = this.log.stateMachine().nextOffset() > before;
			snapshotIfDue();
			this.scheduler.execute(() -> succeeded(startedMillis, more));
		}
		catch (PlatformException | RuntimeException ex) {
			this.scheduler.execute(() -> failed(ex));
		}
	}

	/**
	 * Appends a snapshot when one is due. The readers take different delays, so that the
	 * others usually see the first one's snapshot before their own turn comes.
	 */
	private void snapshotIfDue() throws PlatformException {
		if (!this.log.snapshotDue(SNAPSHOTS, this.clock.millis())) {
			this.snapshotDueMillis = 0;
			return;
		}
		if (this.snapshotDueMillis == 0) {
			this.snapshotDueMillis = this.clock.millis()
					+ Math.floorMod(RendezvousHash.hash(this.process), SNAPSHOT_SPREAD_MILLIS);
		}
		if (this.clock.millis() >= this.snapshotDueMillis) {
			this.log.appendSnapshot();
			LogEvent.SNAPSHOT_APPENDED.log(logger, this.log.stateMachine().configuration().version());
		}
	}

	private void succeeded(long startedMillis, boolean more) {
		this.retryMillis = FIRST_RETRY_MILLIS;
		if (this.log.stateMachine().caughtUp()) {
			this.holder.updateIfNewer(this.log.stateMachine().configuration(), "the log");
			boolean newest = this.log.stateMachine().configuration().version() == this.holder.current().version();
			this.confirmedMillis = newest ? Math.max(this.confirmedMillis, startedMillis) : this.confirmedMillis;
		}
		long spentMillis = this.clock.millis() - startedMillis;
		this.scheduler.schedule(more ? 0 : Math.max(0, CHECK_MILLIS - spentMillis), this::next);
	}

	private void failed(Exception cause) {
		LogEvent.LOG_UNREADABLE.log(logger, cause.getMessage());
		this.scheduler.schedule(this.retryMillis, this::next);
		this.retryMillis = Math.min(LAST_RETRY_MILLIS, this.retryMillis * 2);
	}

}
