package io.dotterelcrank.process.relay;

import java.util.List;

import io.dotterelcrank.connection.EngineLoad;

/**
 * What a model engine says of itself. Immutable.
 *
 * @param load its load, without the engine's name
 * @param activeRequests requests that hold memory there
 */
public record EngineReport(EngineLoad load, List<ActiveRequest> activeRequests) {

	/**
	 * A request that holds memory at an engine. Immutable.
	 *
	 * @param id id of the attempt that started it
	 * @param tokens tokens that it holds
	 * @param events events that it has produced; 0 while its prompt is read
	 */
	public record ActiveRequest(String id, long tokens, long events) {
	}

}
