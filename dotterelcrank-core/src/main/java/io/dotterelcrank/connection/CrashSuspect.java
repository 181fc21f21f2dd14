package io.dotterelcrank.connection;

import java.util.List;

import io.dotterelcrank.request.Content;

/**
 * A request that was starting on a target when the target was lost. Immutable.
 *
 * @param fingerprint fingerprint of the request
 * @param sharedParts ids of the shared parts of its prompt
 */
public record CrashSuspect(String fingerprint, List<String> sharedParts) implements Content {

	/**
	 * Returns a suspect with the content of a request.
	 * @param content the content
	 * @return a new suspect
	 */
	public static CrashSuspect of(Content content) {
		return new CrashSuspect(content.fingerprint(), content.sharedParts());
	}

}
