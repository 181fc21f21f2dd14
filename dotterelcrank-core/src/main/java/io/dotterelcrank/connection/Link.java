package io.dotterelcrank.connection;

/**
 * Connection between two processes. Thread-safe; messages sent by one thread arrive in
 * the order in which they were sent.
 */
public interface Link {

	/**
	 * Sends a message. Messages sent on a closed link are dropped.
	 * @param message message to send; queued until the link is open
	 */
	void send(Message message);

	/**
	 * Returns whether the send buffer accepts more without growing beyond its limit.
	 * @return {@code false} before the link is open, and while the peer reads more slowly
	 * than this side sends
	 */
	boolean writable();

	/**
	 * Closes the link. The listener is notified once.
	 */
	void close();

	/**
	 * Runs a task once what has arrived on this link before was passed to the listener.
	 * To be asked for before a link is given up for the lack of a message.
	 * @param task task to run, on any thread
	 */
	default void runAfterReads(Runnable task) {
		task.run();
	}

	/**
	 * Returns the address of the peer, for logs.
	 * @return address and port, or {@code not connected}
	 */
	String peerAddress();

	/**
	 * Receives the events of a link. Events of one link are delivered by one thread at a
	 * time.
	 */
	interface Listener {

		/**
		 * Called when the link is open.
		 * @param link the link
		 */
		void opened(Link link);

		/**
		 * Called when a message has arrived.
		 * @param link the link
		 * @param version configuration version of the sender
		 * @param message message of any type
		 */
		void received(Link link, long version, Message message);

		/**
		 * Called when the link is writable again.
		 * @param link the link
		 */
		void writable(Link link);

		/**
		 * Called when the link is closed or could not be opened.
		 * @param link the link, which is never reused
		 */
		void closed(Link link);

	}

}
