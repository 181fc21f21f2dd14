package io.dotterelcrank.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Request of a caller that is relayed unchanged. The body array is not modified after
 * construction.
 *
 * @param id id that the caller gave its attempt
 * @param method HTTP method
 * @param host value of the Host header
 * @param uri path and query, as received
 * @param headers headers to relay, as received
 * @param body body, as received
 * @param apiKey API key of the caller, if it sent one
 * @param traits size of the generation; empty unless the caller sent it
 * @param lastEventId id of the last event that the caller has of the stream it resumes;
 * empty unless it resumes one
 * @param deadlineMillis time that the caller waits, in milliseconds from the arrival of
 * the request
 * @param arrivedAtMillis arrival time of the request head by the clock of the process, in
 * milliseconds
 */
public record CallerRequest(String id, String method, String host, String uri, List<Header> headers, byte[] body,
		Optional<String> apiKey, Optional<GenerationTraits> traits, OptionalLong lastEventId, long deadlineMillis,
		long arrivedAtMillis) {

	/**
	 * Returns the time at which the caller stops waiting.
	 * @return time by the clock of the process, in milliseconds
	 */
	public long deadlineAtMillis() {
		return this.arrivedAtMillis + this.deadlineMillis;
	}

}
