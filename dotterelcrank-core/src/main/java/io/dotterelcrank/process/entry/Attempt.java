package io.dotterelcrank.process.entry;

import io.dotterelcrank.connection.Message;

/**
 * One try of a request at one target. Belongs to the control thread.
 */
interface Attempt {

	/**
	 * Returns the id.
	 * @return unique id of the attempt
	 */
	String id();

	/**
	 * A message about this attempt came on the current session.
	 * @param message the message
	 */
	void received(Message message);

	/**
	 * The session ended. A new one may begin.
	 */
	void linkLost();

	/**
	 * A session began. Messages sent on older sessions may or may not have arrived.
	 * @param incarnation incarnation of the sidecar
	 */
	void sessionBegan(long incarnation);

}
