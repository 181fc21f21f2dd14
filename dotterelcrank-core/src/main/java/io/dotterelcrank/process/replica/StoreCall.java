package io.dotterelcrank.process.replica;

/**
 * A call to the store. Tells how current its response is: one that comes later than the
 * call could take is from before, as the process was suspended or the store is slow.
 * Immutable.
 *
 * @param startMillis when the call was started, in milliseconds
 * @param endMillis until when the store may hold it, in milliseconds
 */
record StoreCall(long startMillis, long endMillis) {

	/**
	 * Returns when the response was current.
	 * @param nowMillis when it has arrived, in milliseconds
	 * @param empty whether it has no records; the store held such a read for its whole
	 * wait
	 * @return time in milliseconds
	 */
	long currentMillis(long nowMillis, boolean empty) {
		if (nowMillis <= this.endMillis + TableFeed.RETRY_MILLIS) {
			return nowMillis;
		}
		return empty ? this.endMillis : this.startMillis;
	}

}
