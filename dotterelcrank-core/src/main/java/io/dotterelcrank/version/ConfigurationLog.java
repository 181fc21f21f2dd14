package io.dotterelcrank.version;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.process.platform.LogClient;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.process.platform.SharedJsonMapper;

/**
 * The configuration stream of the log, with the fold over what has been read of it. Not
 * thread-safe; each owner reads on one thread.
 */
public final class ConfigurationLog {

	/** Name of the stream. */
	public static final String STREAM = "configuration";

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(ConfigurationLog.class);

	/** The log. */
	private final LogClient log;

	/** Fold over the records read so far. */
	private final ConfigurationStateMachine stateMachine = ConfigurationStateMachine.create();

	/** Smallest offset kept by the log at the last read. */
	private long firstOffset = 1;

	/** Offset of the last snapshot seen, or 0. */
	private long lastSnapshot;

	/** Append time of the last snapshot or first record seen, by the log's clock. */
	private long lastSnapshotMillis;

	/** Append time of the last record seen, by the log's clock. */
	private long lastRecordMillis;

	private ConfigurationLog(LogClient log) {
		this.log = log;
	}

	/**
	 * Creates a reader that has read nothing.
	 * @param log the log
	 * @return a new reader
	 */
	public static ConfigurationLog of(LogClient log) {
		return new ConfigurationLog(log);
	}

	/**
	 * Reads what is new, and folds it.
	 * @param waitMillis how long to wait for a record if there is none, in milliseconds
	 * @return what the fold said to proposals; empty if there is nothing new
	 * @throws PlatformException if the log cannot be read
	 */
	public List<ConfigurationStateMachine.Decision> read(long waitMillis) throws PlatformException {
		LogClient.Page page = this.log.read(STREAM, this.stateMachine.nextOffset(), waitMillis);
		noteGap(page);
		List<ConfigurationStateMachine.Decision> decisions = new ArrayList<>();
		for (LogClient.Entry entry : page.records()) {
			Optional<ConfigurationRecord> decoded = decode(entry.content());
			if (decoded.isPresent()) {
				noteTimes(entry, decoded.get());
				decisions.addAll(this.stateMachine.apply(entry.offset(), decoded.get()));
			}
			else {
				this.stateMachine.skip(entry.offset());
			}
		}
		return decisions;
	}

	/**
	 * Reads until the end that the log had at the first read.
	 * @return what the fold said to proposals
	 * @throws PlatformException if the log cannot be read
	 */
	public List<ConfigurationStateMachine.Decision> readToEnd() throws PlatformException {
		List<ConfigurationStateMachine.Decision> decisions = new ArrayList<>();
		long before;
		do {
			before = this.stateMachine.nextOffset();
			decisions.addAll(read(0));
		}
		while (this.stateMachine.nextOffset() > before);
		return decisions;
	}

	/**
	 * Logs, once for each gap, that records have expired before they were read.
	 * @param page what was read
	 */
	private void noteGap(LogClient.Page page) {
		boolean gap = page.firstOffset() > this.stateMachine.nextOffset();
		if (gap && page.firstOffset() != this.firstOffset) {
			LogEvent.LOG_GAP.log(logger, this.stateMachine.nextOffset(), page.firstOffset() - 1);
		}
		this.firstOffset = page.firstOffset();
	}

	private void noteTimes(LogClient.Entry entry, ConfigurationRecord content) {
		this.lastRecordMillis = entry.appendedAtMillis();
		boolean snapshot = content instanceof ConfigurationRecord.Snapshot;
		if (snapshot || this.lastSnapshotMillis == 0) {
			this.lastSnapshotMillis = entry.appendedAtMillis();
		}
		if (snapshot) {
			this.lastSnapshot = entry.offset();
		}
	}

	/**
	 * Appends a proposal once. The caller learns its fate by reading on.
	 * @param proposal the proposal
	 * @throws PlatformException if the append failed, or its answer was lost
	 */
	public void propose(ConfigurationRecord.Proposal proposal) throws PlatformException {
		this.log.append(STREAM, encode(proposal));
	}

	/**
	 * Appends a snapshot of the fold. Repeating it does no harm.
	 * @throws PlatformException if the append failed, or its answer was lost
	 */
	public void appendSnapshot() throws PlatformException {
		this.log.append(STREAM, encode(this.stateMachine.snapshot()));
	}

	/**
	 * Tells whether someone should append a snapshot.
	 * @param policy when snapshots are due
	 * @param nowMillis the time, by the same clock as the log's
	 * @return {@code true} if the last snapshot is old or many records followed it
	 */
	public boolean snapshotDue(SnapshotPolicy policy, long nowMillis) {
		if (!this.stateMachine.caughtUp() || this.stateMachine.configuration().version() == 0) {
			return false;
		}
		long records = this.stateMachine.nextOffset() - 1 - this.lastSnapshot;
		long ageMillis = Math.max(nowMillis, this.lastRecordMillis) - this.lastSnapshotMillis;
		return records >= policy.records() || ageMillis >= policy.ageMillis();
	}

	/**
	 * Returns the fold.
	 * @return fold over the records read so far
	 */
	public ConfigurationStateMachine stateMachine() {
		return this.stateMachine;
	}

	private static byte[] encode(ConfigurationRecord content) {
		try {
			return SharedJsonMapper.mapper().writerFor(ConfigurationRecord.class).writeValueAsBytes(content);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("configuration records can always be written", ex);
		}
	}

	private static Optional<ConfigurationRecord> decode(byte[] content) {
		try {
			ConfigurationRecord decoded = SharedJsonMapper.mapper().readValue(content, ConfigurationRecord.class);
			boolean broken = decoded instanceof ConfigurationRecord.Proposal proposal && proposal.id() == null;
			return broken ? Optional.empty() : Optional.ofNullable(decoded);
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	/**
	 * When snapshots are due. Immutable.
	 *
	 * @param records number of records after the last snapshot
	 * @param ageMillis age of the last snapshot in milliseconds; at most a quarter of the
	 * log's retention
	 */
	public record SnapshotPolicy(long records, long ageMillis) {
	}

}
