package io.dotterelcrank.version;

import java.util.List;

import io.dotterelcrank.common.PlatformException;

/**
 * Client of the platform's append-only log. Offsets of a stream start at 1 and have no
 * gaps, but records expire, oldest first. Implementations are thread-safe; calls block
 * for at most a few seconds.
 */
public interface LogClient {

	/**
	 * Appends a record.
	 * @param stream name of the stream
	 * @param content content of the record
	 * @return offset of the record
	 * @throws PlatformException if the append failed or its response was lost; the record
	 * may have been appended
	 */
	long append(String stream, byte[] content) throws PlatformException;

	/**
	 * Reads records in the order of their offsets.
	 * @param stream name of the stream
	 * @param fromOffset first offset to read
	 * @param waitMillis maximum wait for a record if there is none, in milliseconds
	 * @return a page of records, which may be empty; its first record has a larger offset
	 * if older ones have expired
	 * @throws PlatformException if the log cannot be read
	 */
	Page read(String stream, long fromOffset, long waitMillis) throws PlatformException;

	/**
	 * Consecutive records of a stream. Immutable.
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
	 * @param offset its offset in the stream
	 * @param appendedAtMillis when it was appended, by the log's clock, in milliseconds
	 * @param content its content
	 */
	record Entry(long offset, long appendedAtMillis, byte[] content) {
	}

}
