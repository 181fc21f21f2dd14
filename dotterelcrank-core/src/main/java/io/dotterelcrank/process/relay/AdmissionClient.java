package io.dotterelcrank.process.relay;

import io.dotterelcrank.connection.Message;

/**
 * Sends admission requests to sidecars. Confined to the traffic thread.
 */
public interface AdmissionClient {

	/**
	 * Sends a request to the sidecar beside an engine. The response, if there is one, is
	 * passed to {@link RelayService#handleAdmissionResponse}.
	 * @param engine address of the engine, as {@code ip:port}
	 * @param request resources that a generation needs
	 * @return {@code false} if there is no link to that sidecar
	 */
	boolean trySend(String engine, Message.AdmissionRequest request);

	/**
	 * Sends no admission requests, so that requests are placed by load reports alone.
	 */
	enum Disabled implements AdmissionClient {

		/** Stateless; shared by all processes without admission. */
		INSTANCE;

		@Override
		public boolean trySend(String engine, Message.AdmissionRequest request) {
			return false;
		}

	}

}
