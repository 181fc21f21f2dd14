package io.dotterelcrank.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.process.platform.LogClient;
import io.dotterelcrank.process.platform.PlatformException;

/**
 * The append-only log in memory. Thread-safe.
 */
public final class StandinLog implements LogClient {

	/** Most records in a page. */
	static final int PAGE_RECORDS = 1_000;

	/** Clock of the log. */
	private final Clock clock;

	/** How long records are kept, in milliseconds. */
	private final long retentionMillis;

	/** Streams by name; guarded by this. */
	private final Map<String, Stream> streams = new HashMap<>();

	/** Appends that take effect when the fault ends; guarded by this. */
	private final List<Runnable> late = new ArrayList<>();

	/** Fault switched on; guarded by this. */
	private LogFault fault = LogFault.NONE;

	/** Number of appends that took effect; guarded by this. */
	private long appendCount;

	/** Number of reads; guarded by this. */
	private long readCount;

	private StandinLog(Clock clock, long retentionMillis) {
		this.clock = clock;
		this.retentionMillis = retentionMillis;
	}

	/**
	 * Creates an empty log.
	 * @param clock clock of the log
	 * @param retentionMillis how long records are kept, in milliseconds
	 * @return a new log
	 */
	public static StandinLog withRetention(Clock clock, long retentionMillis) {
		return new StandinLog(clock, retentionMillis);
	}

	@Override
	public synchronized long append(String stream, byte[] content) throws PlatformException {
		switch (this.fault) {
			case DOWN, REFUSE_APPENDS -> throw new PlatformException("the log takes no appends");
			case LATE_APPENDS -> {
				this.late.add(() -> put(stream, content));
				throw new PlatformException("the log did not answer");
			}
			case LOSE_ANSWERS -> {
				put(stream, content);
				throw new PlatformException("the log's answer was lost");
			}
			default -> {
				return put(stream, content);
			}
		}
	}

	private synchronized long put(String stream, byte[] content) {
		Stream known = this.streams.computeIfAbsent(stream, (name) -> new Stream());
		known.end++;
		known.entries.add(new Entry(known.end, this.clock.millis(), content));
		this.appendCount++;
		notifyAll();
		return known.end;
	}

	@Override
	public synchronized Page read(String stream, long fromOffset, long waitMillis) throws PlatformException {
		this.readCount++;
		Stream known = this.streams.computeIfAbsent(stream, (name) -> new Stream());
		if (known.end < fromOffset && waitMillis > 0 && this.fault != LogFault.DOWN) {
			await(waitMillis);
		}
		if (this.fault == LogFault.DOWN) {
			throw new PlatformException("the log is down");
		}
		expire(known);
		List<Entry> page = known.entries.stream()
			.filter((entry) -> entry.offset() >= fromOffset)
			.limit(PAGE_RECORDS)
			.toList();
		return new Page(known.end - known.entries.size() + 1, known.end, page);
	}

	private void await(long waitMillis) {
		try {
			wait(waitMillis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void expire(Stream stream) {
		long oldestMillis = this.clock.millis() - this.retentionMillis;
		stream.entries.removeIf((entry) -> entry.appendedAtMillis() < oldestMillis);
	}

	/**
	 * Switches a fault on, or all faults off.
	 * @param value the fault
	 */
	public synchronized void injectFault(LogFault value) {
		this.fault = value;
		if (value == LogFault.NONE) {
			this.late.forEach(Runnable::run);
			this.late.clear();
		}
		notifyAll();
	}

	/**
	 * Returns the number of appends.
	 * @return appends that took effect
	 */
	public synchronized long appendCount() {
		return this.appendCount;
	}

	/**
	 * Returns the number of reads.
	 * @return reads, with those that failed
	 */
	public synchronized long readCount() {
		return this.readCount;
	}

	/**
	 * One stream.
	 */
	private static final class Stream {

		/** Records kept. */
		private final List<Entry> entries = new ArrayList<>();

		/** Largest offset appended. */
		private long end;

	}

}
