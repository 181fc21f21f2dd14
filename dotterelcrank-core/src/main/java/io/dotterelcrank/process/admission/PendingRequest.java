package io.dotterelcrank.process.admission;

import io.dotterelcrank.request.Priority;

/**
 * A request that asks for admission. Immutable.
 *
 * @param id id of the attempt
 * @param workspace workspace of the caller
 * @param priority admission priority
 * @param promptTokens length of the prompt in tokens; 0 for plain calls
 * @param maxTokens largest number of output tokens; 0 for plain calls
 * @param deadlineMillis when the caller gives up, by the clock of this process
 */
public record PendingRequest(String id, String workspace, Priority priority, int promptTokens, int maxTokens,
		long deadlineMillis) {
}
