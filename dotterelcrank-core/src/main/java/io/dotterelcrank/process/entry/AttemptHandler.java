package io.dotterelcrank.process.entry;

import io.dotterelcrank.connection.Message;

/**
 * Receives the events of one attempt of a request at one target. Confined to the control
 * thread.
 */
interface AttemptHandler {

	/**
	 * Returns the id of the current attempt.
	 * @return an id that is unique over all processes
	 */
	String id();

	/**
	 * Handles a message about this attempt from the current session.
	 * @param message the message
	 */
	void handle(Message message);

	/**
	 * Called when the session has ended. A new one may open.
	 */
	void sessionLost();

	/**
	 * Called when a session has opened. Messages sent on older sessions may or may not
	 * have arrived.
	 * @param sidecarIncarnation incarnation of the sidecar
	 */
	void sessionOpened(long sidecarIncarnation);

}
