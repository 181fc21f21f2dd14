package io.dotterelcrank.process.quarantine;

import io.dotterelcrank.connection.Message;

/**
 * Sends evidence of crashes to other entry hosts. Confined to the traffic thread.
 */
public interface CrashEvidenceClient {

	/**
	 * Sends a message to random other hosts. Responses are passed to
	 * {@link Quarantine#handle}, after this call has returned.
	 * @param evidence the message, which may get lost
	 * @param hosts number of hosts; all others if there are no more
	 */
	void send(Message.CrashEvidence evidence, int hosts);

	/**
	 * Sends nothing, so that a host knows only what it has seen itself.
	 */
	enum Disabled implements CrashEvidenceClient {

		/** Stateless; shared by all processes. */
		INSTANCE;

		@Override
		public void send(Message.CrashEvidence evidence, int hosts) {
			// No other host can be reached.
		}

	}

}
