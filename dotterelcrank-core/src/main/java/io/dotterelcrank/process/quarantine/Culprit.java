package io.dotterelcrank.process.quarantine;

import java.util.Set;

import io.dotterelcrank.request.Content;

/**
 * Content that crashes targets. Implementations are immutable.
 */
public sealed interface Culprit {

	/**
	 * Returns whether a request must not be sent.
	 * @param content content of the request
	 * @return {@code true} if it has what is blamed
	 */
	boolean matches(Content content);

	/**
	 * Returns what is blamed.
	 * @return fingerprint of a request, or ids of prompt parts
	 */
	Set<String> keys();

	/**
	 * Returns how many targets crashed under it.
	 * @return number of targets
	 */
	int crashes();

	/**
	 * Returns when the last one crashed.
	 * @return time by the clock of the process, in milliseconds
	 */
	long lastCrashMillis();

	/**
	 * A request that comes again. Immutable.
	 *
	 * @param fingerprint fingerprint of the request
	 * @param crashes number of targets that crashed under it
	 * @param lastCrashMillis when the last one crashed, in milliseconds
	 */
	record ForRequest(String fingerprint, int crashes, long lastCrashMillis) implements Culprit {

		@Override
		public boolean matches(Content content) {
			return content.fingerprint().equals(this.fingerprint);
		}

		@Override
		public Set<String> keys() {
			return Set.of(this.fingerprint);
		}

	}

	/**
	 * All prompt parts that the requests blamed for the crashes have in common. A request
	 * that shares only some of them is sound as far as is known. Immutable.
	 *
	 * @param keys ids of the parts
	 * @param crashes number of targets that crashed under them
	 * @param lastCrashMillis when the last one crashed, in milliseconds
	 */
	record ForParts(Set<String> keys, int crashes, long lastCrashMillis) implements Culprit {

		@Override
		public boolean matches(Content content) {
			return content.sharedParts().containsAll(this.keys);
		}

	}

}
