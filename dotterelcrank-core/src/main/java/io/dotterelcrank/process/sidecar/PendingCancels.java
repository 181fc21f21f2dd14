package io.dotterelcrank.process.sidecar;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;

/**
 * Cancellations that were received but not handled yet. Requests received before them are
 * not started. Thread-safe.
 */
final class PendingCancels {

	private final Set<PendingCancel> pending = ConcurrentHashMap.newKeySet();

	/**
	 * Records a message if it is a cancellation.
	 * @param link link on which it was received
	 * @param message message of any type
	 */
	void recordReceived(Link link, Message message) {
		if (message instanceof Message.Cancel cancel) {
			this.pending.add(new PendingCancel(link, cancel.id()));
		}
	}

	/**
	 * Removes a cancellation that is about to be handled.
	 * @param link link on which it was received
	 * @param message message of any type
	 */
	void removeHandled(Link link, Message message) {
		if (message instanceof Message.Cancel cancel) {
			this.pending.remove(new PendingCancel(link, cancel.id()));
		}
	}

	/**
	 * Returns whether the cancellation of an attempt was received on the link of its
	 * request.
	 * @param link link on which the request was received
	 * @param id id of the attempt
	 * @return {@code true} if the attempt must not be started
	 */
	boolean contains(Link link, String id) {
		return this.pending.contains(new PendingCancel(link, id));
	}

	/**
	 * A cancellation. Immutable.
	 *
	 * @param link link on which it was received
	 * @param id id of the attempt
	 */
	private record PendingCancel(Link link, String id) {
	}

}
