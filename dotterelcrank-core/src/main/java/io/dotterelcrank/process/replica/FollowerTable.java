package io.dotterelcrank.process.replica;

import java.util.List;

import io.dotterelcrank.connection.Message;

/**
 * Pushes of one table to one follower over one link: what the follower has, and the push
 * that it has not acknowledged. Invariant: one push is under way at most, and one request
 * for records. Confined to the control thread.
 */
final class FollowerTable {

	private static final long NONE = -1;

	private final String table;

	/** Epoch of the follower's records; {@link #NONE} before it has told. */
	private long epoch = NONE;

	/** Offset that the follower needs next. */
	private long nextOffset;

	/** When the push under way was sent; {@link #NONE} if there is none. */
	private long sentMillis = NONE;

	/** Size of the records under way, in bytes. */
	private long bytes;

	/** Whether a push was left out because of the one under way. */
	private boolean skipped;

	/** When the last acknowledgement arrived; {@link #NONE} if there was none. */
	private long acknowledgedMillis = NONE;

	/** When the follower was asked for records; {@link #NONE} if it has responded. */
	private long requestedMillis = NONE;

	FollowerTable(String table) {
		this.table = table;
	}

	String table() {
		return this.table;
	}

	boolean awaitsAck() {
		return this.sentMillis != NONE;
	}

	/**
	 * Returns for how long the push under way has not been acknowledged.
	 * @param nowMillis current time in milliseconds
	 * @return time in milliseconds; 0 if none is under way
	 */
	long awaitsAckFor(long nowMillis) {
		return awaitsAck() ? nowMillis - this.sentMillis : 0;
	}

	long bytes() {
		return this.bytes;
	}

	long epoch() {
		return this.epoch;
	}

	void recordSkip() {
		this.skipped = true;
	}

	/**
	 * Returns what the follower lacks.
	 * @param records records of this host
	 * @return the records; none before the follower has told what it has
	 */
	KeyedTable.Update updateFrom(KeyedTable records) {
		return isBehind(records) ? records.updateSince(this.epoch, this.nextOffset)
				: new KeyedTable.Update(records.nextOffset(), List.of(), records.epoch());
	}

	/**
	 * Returns whether the follower is known to lack records.
	 * @param records records of this host
	 * @return {@code false} before the follower has told what it has
	 */
	boolean isBehind(KeyedTable records) {
		return this.epoch != NONE && (this.epoch < records.epoch()
				|| (this.epoch == records.epoch() && this.nextOffset < records.nextOffset()));
	}

	/**
	 * Records that a push is sent.
	 * @param nowMillis current time in milliseconds
	 * @param pushedBytes size of its records, in bytes
	 * @return time since the last acknowledgement, in milliseconds; -1 if there was none
	 */
	long recordPush(long nowMillis, long pushedBytes) {
		this.sentMillis = nowMillis;
		this.bytes = pushedBytes;
		this.skipped = false;
		return (this.acknowledgedMillis != NONE) ? nowMillis - this.acknowledgedMillis : NONE;
	}

	/**
	 * Records an acknowledgement.
	 * @param ack the acknowledgement
	 * @param currentEpoch epoch of this host's records, for followers that tell none
	 * @param nowMillis current time in milliseconds
	 * @return whether a push was left out meanwhile
	 */
	boolean recordAck(Message.RecordsPushAck ack, long currentEpoch, long nowMillis) {
		this.epoch = (ack.epoch() > 0) ? ack.epoch() : currentEpoch;
		this.nextOffset = ack.nextOffset();
		this.sentMillis = NONE;
		this.acknowledgedMillis = nowMillis;
		return this.skipped;
	}

	/**
	 * Records that the follower is asked for records, unless it already is.
	 * @param nowMillis current time in milliseconds
	 * @return {@code false} if a response is awaited
	 */
	boolean tryRequest(long nowMillis) {
		boolean first = this.requestedMillis == NONE;
		this.requestedMillis = first ? nowMillis : this.requestedMillis;
		return first;
	}

	/**
	 * Records that the follower has responded to a request for records.
	 * @param nowMillis current time in milliseconds
	 * @return time since the request, in milliseconds; {@link Integer#MAX_VALUE} if there
	 * was none
	 */
	long endRequest(long nowMillis) {
		long millis = (this.requestedMillis != NONE) ? nowMillis - this.requestedMillis : Integer.MAX_VALUE;
		this.requestedMillis = NONE;
		return millis;
	}

}
