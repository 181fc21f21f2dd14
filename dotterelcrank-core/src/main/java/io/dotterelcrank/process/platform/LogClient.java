package io.dotterelcrank.process.platform;

import java.util.List;

/**
 * The platform's append-only log. Offsets of a stream start at 1 and have no gaps, but
 * records expire, oldest first. Implementations are thread-safe; calls block for at most
 * a few seconds.
 */
public interface LogClient {

	/**
	 * Appends a record.
	 * @param stream name of the stream
	 * @param content content of the record
	 * @return offset of the record
	 * @throws PlatformException if the append failed, or its answer was lost; the record
	 * may have been appended
	 */
	long append(String stream, byte[] content) throws PlatformException;

	/**
	 * Reads records.
	 * @param stream name of the stream
	 * @param fromOffset first offset wanted
	 * @param waitMillis how long to wait for a record if there is none, in milliseconds
	 * @return records in order; the first one may have a larger offset if older ones have
	 * expired
	 * @throws PlatformException if the log cannot be read
	 */
	Page read(String stream, long fromOffset, long waitMillis) throws PlatformException;

	/**
	 * A run of records. Immutable.
	 *
	 * @param firstOffset smallest offset still kept; one more than {@code endOffset} if
	 * the stream is empty
	 * @param endOffset largest offset appended so far
	 * @param records the records
	 */
	record Page(long firstOffset, long endOffset, List<Entry> records) {
	}

	/**
	 * A record. The content array is not modified after construction.
	 *
	 * @param offset its offset
	 * @param appendedAtMillis when it was appended, by the log's clock, in milliseconds
	 * @param content its content
	 */
	record Entry(long offset, long appendedAtMillis, byte[] content) {
	}

}
