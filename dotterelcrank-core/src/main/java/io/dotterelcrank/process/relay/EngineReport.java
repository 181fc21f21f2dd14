package io.dotterelcrank.process.relay;

import java.util.List;

import io.dotterelcrank.connection.EngineLoad;

/**
 * Report of a model engine on its state. Immutable.
 *
 * @param load load of the engine, without the engine's identity
 * @param activeRequests requests that hold KV cache memory
 */
public record EngineReport(EngineLoad load, List<ActiveRequest> activeRequests) {

	/**
	 * A request that holds KV cache memory at an engine. Immutable.
	 *
	 * @param id id of the attempt that started it
	 * @param tokens tokens in the KV cache
	 * @param events number of events produced; 0 during prefill
	 */
	public record ActiveRequest(String id, long tokens, long events) {
	}

}
