package io.dotterelcrank.process.relay;

import io.dotterelcrank.connection.Message;

/**
 * Asks sidecars whether their engines have room. Belongs to the traffic thread.
 */
public interface AdmissionClient {

	/**
	 * Asks the sidecar beside an engine. The answer, if one comes, is handed to
	 * {@link RelayService#handleAdmissionResponse}.
	 * @param engine address of the engine, as {@code ip:port}
	 * @param question the question
	 * @return {@code false} if there is no link to that sidecar
	 */
	boolean ask(String engine, Message.AdmissionRequest question);

	/**
	 * Asks nobody, so that requests are placed by told loads alone.
	 */
	enum Disabled implements AdmissionClient {

		/** The only instance. */
		INSTANCE;

		@Override
		public boolean ask(String engine, Message.AdmissionRequest question) {
			return false;
		}

	}

}
