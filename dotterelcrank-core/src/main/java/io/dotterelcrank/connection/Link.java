package io.dotterelcrank.connection;

/**
 * One connection between two processes. Thread-safe: messages of one thread arrive in the
 * order in which they were sent.
 */
public interface Link {

	/**
	 * Sends a message. A message sent on a closed link is dropped.
	 * @param message the message
	 */
	void send(Message message);

	/**
	 * Tells whether the send buffer has room.
	 * @return {@code false} while the peer reads slower than this side sends
	 */
	boolean writable();

	/**
	 * Closes the link. The listener hears of it once.
	 */
	void close();

	/**
	 * Returns the address of the peer.
	 * @return address and port, for logs
	 */
	String peerAddress();

	/**
	 * Hears what happens on a link. The calls for one link come from one thread at a
	 * time.
	 */
	interface Listener {

		/**
		 * The link is open.
		 * @param link the link
		 */
		void opened(Link link);

		/**
		 * A message arrived.
		 * @param link the link
		 * @param version configuration version of the sender
		 * @param message the message
		 */
		void received(Link link, long version, Message message);

		/**
		 * The send buffer has room again.
		 * @param link the link
		 */
		void writable(Link link);

		/**
		 * The link is closed, or could not be opened.
		 * @param link the link, never used again
		 */
		void closed(Link link);

	}

}
