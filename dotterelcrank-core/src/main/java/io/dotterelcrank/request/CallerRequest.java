package io.dotterelcrank.request;

import java.util.List;
import java.util.Optional;

/**
 * A caller's request that is passed on as it is. The body array is not modified after
 * construction.
 *
 * @param id id of the caller's attempt
 * @param method HTTP method
 * @param host host that the request names
 * @param uri path and query, as received
 * @param headers headers to pass on, as received
 * @param body body, as received
 * @param key key of the caller, if it sent one
 * @param traits what the caller tells of a generation
 * @param deadlineMillis how long the caller waits, in milliseconds from its arrival
 * @param arrivedMillis when the request's head arrived, by the process's clock, in
 * milliseconds
 */
public record CallerRequest(String id, String method, String host, String uri, List<Header> headers, byte[] body,
		Optional<String> key, Optional<GenerationTraits> traits, long deadlineMillis, long arrivedMillis) {

	/**
	 * Returns when the caller stops waiting.
	 * @return time by the process's clock, in milliseconds
	 */
	public long deadlineAtMillis() {
		return this.arrivedMillis + this.deadlineMillis;
	}

}
