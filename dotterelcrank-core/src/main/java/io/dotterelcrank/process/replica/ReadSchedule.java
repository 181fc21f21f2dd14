package io.dotterelcrank.process.replica;

/**
 * How often a shared table is read, derived from the time within which its changes must
 * be in force at every host. Invariant: the wait of a reader's last read and the time
 * until its followers read by themselves fit into the bound together, with time left for
 * that read. Immutable.
 *
 * @param waitMillis maximum time that the store holds a read, in milliseconds; 0 when
 * polling
 * @param pauseMillis delay between two reads, in milliseconds; 0 when long polling
 * @param followMillis time without a push after which a host reads by itself, in
 * milliseconds
 */
public record ReadSchedule(long waitMillis, long pauseMillis, long followMillis) {

	/**
	 * Maximum wait of a read, as a fraction of the bound. A reader without a path to the
	 * store looks like one without news for so long.
	 */
	static final double LONG_POLL_FRACTION = 0.5;

	/** Delay between two reads, as a fraction of the bound. */
	static final double POLL_FRACTION = 0.3;

	/** Time without a push, as a fraction of the bound. */
	static final double FOLLOW_FRACTION = 0.3;

	/**
	 * Returns the schedule of a table that the store is asked to report changes of.
	 * @param boundMillis time within which a change must be in force, in milliseconds
	 * @return the schedule
	 */
	public static ReadSchedule longPolling(long boundMillis) {
		return new ReadSchedule((long) (boundMillis * LONG_POLL_FRACTION), 0, (long) (boundMillis * FOLLOW_FRACTION));
	}

	/**
	 * Returns the schedule of a table that changes many times a second.
	 * @param boundMillis time within which a change must be in force, in milliseconds
	 * @return the schedule
	 */
	public static ReadSchedule polling(long boundMillis) {
		return new ReadSchedule(0, (long) (boundMillis * POLL_FRACTION), (long) (boundMillis * FOLLOW_FRACTION));
	}

}
