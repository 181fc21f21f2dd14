package io.dotterelcrank.process.quarantine;

import java.util.Collection;
import java.util.Set;

/**
 * Content that crashes targets: all parts that the requests blamed for the crashes have
 * in common. Immutable.
 *
 * @param parts ids of the parts
 * @param crashes number of targets that crashed under them
 * @param lastCrashMillis when the last one crashed, by the clock of the process
 */
public record Culprit(Set<String> parts, int crashes, long lastCrashMillis) {

	/**
	 * Returns whether a request must not be sent.
	 * @param requestParts ids of the shared parts of its prompt
	 * @return {@code true} if it has all parts of the culprit; one that shares only some
	 * of them with the blamed requests is sound as far as is known
	 */
	public boolean matches(Collection<String> requestParts) {
		return requestParts.containsAll(this.parts);
	}

}
