package io.dotterelcrank.process.sidecar;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;

/**
 * Keeps at most one session of each entry process. Invariant: once a session has been
 * seen, no older session of the same process is accepted, so a frame that is still under
 * way on an older connection can have no effect. Not thread-safe; belongs to the control
 * thread.
 */
final class SessionFence {

	/** Time for which a process without a link is remembered, in milliseconds. */
	static final long MEMORY_MILLIS = 24 * 3_600_000L;

	/** Newest session of each process. */
	private final Map<String, Session> sessions = new HashMap<>();

	/** Newest session of each process, by its link. */
	private final Map<Link, Session> byLink = new IdentityHashMap<>();

	/** Clock of the process. */
	private final Clock clock;

	SessionFence(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Takes in the introduction of a session.
	 * @param hello the introduction
	 * @param link link that it came on
	 * @return what to do with the link, and the link that it replaces
	 */
	Verdict introduce(Message.Hello hello, Link link) {
		long nowMillis = this.clock.millis();
		this.sessions.values().removeIf((session) -> session.lastSeenMillis + MEMORY_MILLIS < nowMillis);
		Session known = this.sessions.get(hello.process());
		if (known != null && known.newerOrSame(hello)) {
			return new Verdict(false, null);
		}
		Session session = new Session(hello.incarnation(), hello.session(), link, nowMillis);
		this.sessions.put(hello.process(), session);
		Link replaced = (known != null) ? known.link : null;
		this.byLink.remove(replaced);
		this.byLink.put(link, session);
		return new Verdict(true, replaced);
	}

	/**
	 * Tells whether a link carries the newest session of its process.
	 * @param link the link
	 * @return {@code false} if it has not been introduced, or is fenced
	 */
	boolean accepts(Link link) {
		Session session = this.byLink.get(link);
		if (session == null) {
			return false;
		}
		session.lastSeenMillis = this.clock.millis();
		return true;
	}

	/**
	 * Forgets a closed link, but not its session.
	 * @param link the link
	 */
	void closed(Link link) {
		this.byLink.remove(link);
	}

	/**
	 * Returns the number of processes remembered.
	 * @return number of entry processes
	 */
	int size() {
		return this.sessions.size();
	}

	/**
	 * What to do with a link. Immutable.
	 *
	 * @param accepted whether the session is the newest one
	 * @param replaced link of the older session, or {@code null}
	 */
	record Verdict(boolean accepted, Link replaced) {
	}

	/**
	 * Newest session of a process.
	 */
	private static final class Session {

		/** Incarnation of the process. */
		private final long incarnation;

		/** Number of the session. */
		private final long number;

		/** Link of the session. */
		private final Link link;

		/** When a message last came, in milliseconds. */
		private long lastSeenMillis;

		Session(long incarnation, long number, Link link, long lastSeenMillis) {
			this.incarnation = incarnation;
			this.number = number;
			this.link = link;
			this.lastSeenMillis = lastSeenMillis;
		}

		private boolean newerOrSame(Message.Hello hello) {
			if (this.incarnation != hello.incarnation()) {
				return this.incarnation > hello.incarnation();
			}
			return this.number >= hello.session();
		}

	}

}
