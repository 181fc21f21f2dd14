package io.dotterelcrank.process.relay;

import java.util.Optional;
import java.util.function.Consumer;

import io.dotterelcrank.process.membership.TargetRegistration;

/**
 * Reads the load of engines directly, without a sidecar. Confined to the traffic thread.
 */
public interface EngineLoadReader {

	/**
	 * Requests a report of an engine.
	 * @param engine engine to ask
	 * @param listener called once on the traffic thread, after this method has returned,
	 * with the report; empty if the engine did not respond
	 */
	void read(TargetRegistration engine, Consumer<Optional<EngineReport>> listener);

	/**
	 * Reads nothing, so that loads are known from sidecars only.
	 */
	enum Disabled implements EngineLoadReader {

		/** Stateless; shared by all processes. */
		INSTANCE;

		@Override
		public void read(TargetRegistration engine, Consumer<Optional<EngineReport>> listener) {
			// The sampler stops waiting after its timeout.
		}

	}

}
