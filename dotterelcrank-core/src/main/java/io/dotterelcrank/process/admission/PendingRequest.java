package io.dotterelcrank.process.admission;

import io.dotterelcrank.request.Priority;

/**
 * A request to be admitted or refused. Immutable.
 *
 * @param id id of the attempt
 * @param workspace workspace of the caller
 * @param priority admission priority
 * @param promptTokens length of the prompt in tokens; 0 for plain calls
 * @param maxTokens maximum number of output tokens; 0 for plain calls
 * @param deadlineMillis deadline of the caller, by the clock of this process, in
 * milliseconds
 */
public record PendingRequest(String id, String workspace, Priority priority, int promptTokens, int maxTokens,
		long deadlineMillis) {
}
