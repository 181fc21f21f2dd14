package io.dotterelcrank.version;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.SharedJsonMapper;

/**
 * Reads and appends records of the configuration stream, and applies those read to a
 * state machine. Not thread-safe; each owner reads on one thread.
 */
public final class ConfigurationLog {

	/** Name of the configuration stream in the log. */
	public static final String STREAM = "configuration";

	private static final Logger logger = LoggerFactory.getLogger(ConfigurationLog.class);

	private final LogClient log;

	/** Has applied the records read so far. */
	private final ConfigurationStateMachine stateMachine = ConfigurationStateMachine.create();

	/** First offset that the log retained at the last read. */
	private long firstOffset = 1;

	/** Offset of the last snapshot read, or 0. */
	private long lastSnapshotOffset;

	/**
	 * Append time of the last snapshot, or else of the first record read, by the log's
	 * clock.
	 */
	private long lastSnapshotMillis;

	/** Append time of the last record read, by the log's clock. */
	private long lastRecordMillis;

	private ConfigurationLog(LogClient log) {
		this.log = log;
	}

	/**
	 * Creates a reader that starts at the beginning of the stream.
	 * @param log client of the log
	 * @return a new reader
	 */
	public static ConfigurationLog of(LogClient log) {
		return new ConfigurationLog(log);
	}

	/**
	 * Reads new records and applies them.
	 * @param waitMillis maximum time to wait for a record if there is none, in
	 * milliseconds
	 * @return decisions on the proposals read; empty if there is nothing new
	 * @throws PlatformException if the log cannot be read
	 */
	public List<ConfigurationStateMachine.Decision> read(long waitMillis) throws PlatformException {
		LogClient.Page page = this.log.read(STREAM, this.stateMachine.nextOffset(), waitMillis);
		logGap(page);
		List<ConfigurationStateMachine.Decision> decisions = new ArrayList<>();
		for (LogClient.Entry entry : page.records()) {
			Optional<ConfigurationRecord> decoded = decode(entry.content());
			if (decoded.isPresent()) {
				recordAppendTimes(entry, decoded.get());
				decisions.addAll(this.stateMachine.apply(entry.offset(), decoded.get()));
			}
			else {
				this.stateMachine.skip(entry.offset());
			}
		}
		return decisions;
	}

	/**
	 * Reads until no further record is found.
	 * @return decisions on the proposals read
	 * @throws PlatformException if the log cannot be read
	 */
	public List<ConfigurationStateMachine.Decision> readToEnd() throws PlatformException {
		List<ConfigurationStateMachine.Decision> decisions = new ArrayList<>();
		long offsetBefore;
		do {
			offsetBefore = this.stateMachine.nextOffset();
			decisions.addAll(read(0));
		}
		while (this.stateMachine.nextOffset() > offsetBefore);
		return decisions;
	}

	/**
	 * Logs, once for each gap, that records expired before they were read.
	 * @param page page that was read
	 */
	private void logGap(LogClient.Page page) {
		boolean gap = page.firstOffset() > this.stateMachine.nextOffset();
		if (gap && page.firstOffset() != this.firstOffset) {
			LogEvent.LOG_GAP.log(logger, this.stateMachine.nextOffset(), page.firstOffset() - 1);
		}
		this.firstOffset = page.firstOffset();
	}

	private void recordAppendTimes(LogClient.Entry entry, ConfigurationRecord configurationRecord) {
		this.lastRecordMillis = entry.appendedAtMillis();
		boolean snapshot = configurationRecord instanceof ConfigurationRecord.Snapshot;
		if (snapshot || this.lastSnapshotMillis == 0) {
			this.lastSnapshotMillis = entry.appendedAtMillis();
		}
		if (snapshot) {
			this.lastSnapshotOffset = entry.offset();
		}
	}

	/**
	 * Appends a proposal once. A later {@link #read} returns the decision.
	 * @param proposal proposal with a new id
	 * @throws PlatformException if the append failed, or its response was lost and the
	 * record may have been appended
	 */
	public void propose(ConfigurationRecord.Proposal proposal) throws PlatformException {
		this.log.append(STREAM, encode(proposal));
	}

	/**
	 * Appends a snapshot of the state machine. May safely be repeated.
	 * @throws PlatformException if the append failed, or its response was lost and the
	 * record may have been appended
	 */
	public void appendSnapshot() throws PlatformException {
		this.log.append(STREAM, encode(this.stateMachine.snapshot()));
	}

	/**
	 * Returns whether a snapshot should be appended.
	 * @param policy limits at which a snapshot is due
	 * @param nowMillis current time in milliseconds, comparable with the log's append
	 * times
	 * @return {@code true} if the last snapshot is too old or followed by too many
	 * records
	 */
	public boolean snapshotDue(SnapshotPolicy policy, long nowMillis) {
		if (!this.stateMachine.gapFree() || this.stateMachine.configuration().version() == 0) {
			return false;
		}
		long records = this.stateMachine.nextOffset() - 1 - this.lastSnapshotOffset;
		long ageMillis = Math.max(nowMillis, this.lastRecordMillis) - this.lastSnapshotMillis;
		return records >= policy.maxRecords() || ageMillis >= policy.maxAgeMillis();
	}

	/**
	 * Returns the state machine.
	 * @return state machine that has applied the records read so far
	 */
	public ConfigurationStateMachine stateMachine() {
		return this.stateMachine;
	}

	private static byte[] encode(ConfigurationRecord configurationRecord) {
		try {
			return SharedJsonMapper.mapper()
				.writerFor(ConfigurationRecord.class)
				.writeValueAsBytes(configurationRecord);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot encode a configuration record", ex);
		}
	}

	private static Optional<ConfigurationRecord> decode(byte[] content) {
		try {
			ConfigurationRecord decoded = SharedJsonMapper.mapper().readValue(content, ConfigurationRecord.class);
			boolean malformed = decoded instanceof ConfigurationRecord.Proposal proposal && proposal.id() == null;
			return malformed ? Optional.empty() : Optional.ofNullable(decoded);
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Limits at which a snapshot is due. Immutable.
	 *
	 * @param maxRecords number of records after the last snapshot
	 * @param maxAgeMillis age of the last snapshot in milliseconds; at most a quarter of
	 * the log's retention
	 */
	public record SnapshotPolicy(long maxRecords, long maxAgeMillis) {
	}

}
