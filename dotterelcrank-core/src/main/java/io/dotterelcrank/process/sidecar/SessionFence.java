package io.dotterelcrank.process.sidecar;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;

/**
 * Fences all but the newest session of each entry process. Invariant: once a session is
 * registered, no older session of the same process is accepted, so a message that is
 * still in flight on an older connection has no effect. Confined to the control thread.
 */
final class SessionFence {

	/** How long the session of a silent process is kept: 24 hours. */
	static final long RETENTION_MILLIS = 24 * 3_600_000L;

	/** Newest session by name of the process. */
	private final Map<String, Session> sessions = new HashMap<>();

	/** Newest sessions by their open links. */
	private final Map<Link, Session> byLink = new IdentityHashMap<>();

	private final Clock clock;

	SessionFence(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Registers a session if it is newer than the known one of its process.
	 * @param hello first message of the session
	 * @param link link of the session
	 * @return whether the session is accepted, and the link that it replaces
	 */
	Registration register(Message.Hello hello, Link link) {
		long nowMillis = this.clock.millis();
		this.sessions.values().removeIf((session) -> session.lastMessageMillis + RETENTION_MILLIS < nowMillis);
		Session newest = this.sessions.get(hello.process());
		if (newest != null && newest.isNotOlderThan(hello)) {
			return new Registration(false, null);
		}
		Session session = new Session(hello.incarnation(), hello.session(), link, nowMillis);
		this.sessions.put(hello.process(), session);
		Link replaced = (newest != null) ? newest.link : null;
		this.byLink.remove(replaced);
		this.byLink.put(link, session);
		return new Registration(true, replaced);
	}

	/**
	 * Returns whether a link carries the newest session of its process, and records that
	 * a message was received.
	 * @param link the link
	 * @return {@code false} if the session is not registered or is fenced
	 */
	boolean isCurrent(Link link) {
		Session session = this.byLink.get(link);
		if (session == null) {
			return false;
		}
		session.lastMessageMillis = this.clock.millis();
		return true;
	}

	/**
	 * Removes a closed link. Its session still fences older ones.
	 * @param link the link
	 */
	void linkClosed(Link link) {
		this.byLink.remove(link);
	}

	/**
	 * Returns the number of processes whose newest session is known.
	 * @return number of entry processes, with or without a link
	 */
	int size() {
		return this.sessions.size();
	}

	/**
	 * Result of registering a session. Immutable.
	 *
	 * @param accepted whether the session is newer than the known one
	 * @param replaced link of the older session, to be closed; {@code null} if there is
	 * none
	 */
	record Registration(boolean accepted, Link replaced) {
	}

	/**
	 * Newest session of a process.
	 */
	private static final class Session {

		private final long incarnation;

		/** Session number, increasing within an incarnation. */
		private final long number;

		private final Link link;

		/** Time of the last message. */
		private long lastMessageMillis;

		Session(long incarnation, long number, Link link, long lastMessageMillis) {
			this.incarnation = incarnation;
			this.number = number;
			this.link = link;
			this.lastMessageMillis = lastMessageMillis;
		}

		private boolean isNotOlderThan(Message.Hello hello) {
			if (this.incarnation != hello.incarnation()) {
				return this.incarnation > hello.incarnation();
			}
			return this.number >= hello.session();
		}

	}

}
