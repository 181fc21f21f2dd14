package io.dotterelcrank.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.version.LogClient;

/**
 * An in-memory append-only log. Thread-safe.
 */
public final class StandinLog implements LogClient {

	/** Maximum number of records returned by a read. */
	static final int MAX_PAGE_RECORDS = 1_000;

	private final Clock clock;

	/** How long records are kept. */
	private final long retentionMillis;

	/** Streams by name, created on first use; guarded by this. */
	private final Map<String, Stream> streams = new HashMap<>();

	/** Appends to apply when the fault ends; guarded by this. */
	private final List<Runnable> delayedAppends = new ArrayList<>();

	/** Fault injected; guarded by this. */
	private LogFault fault = LogFault.NONE;

	/** Appends that took effect; guarded by this. */
	private long appendCount;

	/** Reads, failed ones included; guarded by this. */
	private long readCount;

	private StandinLog(Clock clock, long retentionMillis) {
		this.clock = clock;
		this.retentionMillis = retentionMillis;
	}

	/**
	 * Creates an empty log.
	 * @param clock time source of the records' timestamps
	 * @param retentionMillis how long records are kept, in milliseconds
	 * @return a log without streams
	 */
	public static StandinLog withRetention(Clock clock, long retentionMillis) {
		return new StandinLog(clock, retentionMillis);
	}

	@Override
	public synchronized long append(String streamName, byte[] content) throws PlatformException {
		switch (this.fault) {
			case DOWN, REFUSE_APPENDS -> throw new PlatformException("the log accepts no appends");
			case LATE_APPENDS -> {
				this.delayedAppends.add(() -> store(streamName, content));
				throw new PlatformException("no response from the log");
			}
			case LOSE_ANSWERS -> {
				store(streamName, content);
				throw new PlatformException("the response of the log was lost");
			}
			default -> {
				return store(streamName, content);
			}
		}
	}

	private synchronized long store(String streamName, byte[] content) {
		Stream stream = this.streams.computeIfAbsent(streamName, (name) -> new Stream());
		stream.lastOffset++;
		stream.records.add(new Entry(stream.lastOffset, this.clock.millis(), content));
		this.appendCount++;
		notifyAll();
		return stream.lastOffset;
	}

	@Override
	public synchronized Page read(String streamName, long fromOffset, long waitMillis) throws PlatformException {
		this.readCount++;
		Stream stream = this.streams.computeIfAbsent(streamName, (name) -> new Stream());
		if (stream.lastOffset < fromOffset && waitMillis > 0 && this.fault != LogFault.DOWN) {
			awaitAppend(waitMillis);
		}
		if (this.fault == LogFault.DOWN) {
			throw new PlatformException("the log is down");
		}
		expire(stream);
		List<Entry> records = stream.records.stream()
			.filter((entry) -> entry.offset() >= fromOffset)
			.limit(MAX_PAGE_RECORDS)
			.toList();
		return new Page(stream.lastOffset - stream.records.size() + 1, stream.lastOffset, records);
	}

	private void awaitAppend(long waitMillis) {
		try {
			wait(waitMillis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void expire(Stream stream) {
		long oldestMillis = this.clock.millis() - this.retentionMillis;
		stream.records.removeIf((entry) -> entry.appendedAtMillis() < oldestMillis);
	}

	/**
	 * Replaces the fault in force. Ending it applies the delayed appends.
	 * @param newFault the new fault, or {@link LogFault#NONE} to end it
	 */
	public synchronized void injectFault(LogFault newFault) {
		this.fault = newFault;
		if (newFault == LogFault.NONE) {
			this.delayedAppends.forEach(Runnable::run);
			this.delayedAppends.clear();
		}
		notifyAll();
	}

	/**
	 * Returns the number of appends.
	 * @return appends that took effect, over all streams
	 */
	public synchronized long appendCount() {
		return this.appendCount;
	}

	/**
	 * Returns the number of reads.
	 * @return reads, failed ones included
	 */
	public synchronized long readCount() {
		return this.readCount;
	}

	/**
	 * A stream of the log. Guarded by the log.
	 */
	private static final class Stream {

		private final List<Entry> records = new ArrayList<>();

		/** Offset of the last record appended, or 0. */
		private long lastOffset;

	}

}
