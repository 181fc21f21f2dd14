package io.dotterelcrank.process.entry;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.ExecutionContext;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.HeartbeatExchange;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.TargetLoad;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.process.platform.HostList;

/**
 * Link of an entry process to one sidecar, replaced by a new session whenever it breaks
 * or falls silent. Invariant: messages of an older session are never passed on. Belongs
 * to the control thread, but for the token path of {@link Attempt}.
 */
final class TargetLink {

	/** First delay before a broken link is opened again, in milliseconds. */
	static final long FIRST_RETRY_MILLIS = 100;

	/** Longest delay before a broken link is opened again, in milliseconds. */
	static final long LAST_RETRY_MILLIS = 5_000;

	/**
	 * Silence after which a link with attempts is asked for a sign of life, in
	 * milliseconds.
	 */
	static final long PING_AFTER_MILLIS = 1_000;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(TargetLink.class);

	/** Who this process is. */
	private final EntryIdentity identity;

	/** Opens connections. */
	private final Transport transport;

	/** Configuration exchange of the process. */
	private final HeartbeatExchange exchange;

	/** Clock of the process. */
	private final Clock clock;

	/** Runs the decisions. */
	private final Scheduler scheduler;

	/** Hears of the target's state. */
	private final Observer observer;

	/** Attempts at the target, by id. */
	private final Map<String, Attempt> attempts = new LinkedHashMap<>();

	/** The target as the host list shows it. */
	private HostList.Host host;

	/** Link of the current session, or {@code null} between sessions. */
	private Link link;

	/** Number of the current session. */
	private long session;

	/** Incarnation of the sidecar at the current session, or 0 before it is known. */
	private long peerIncarnation;

	/** Load told last. */
	private TargetLoad load = new TargetLoad(TargetLoad.State.WARMING, 0, 0, 0, 1);

	/** Requests sent since the load was told. */
	private int sentSince;

	/** When a message last came, in milliseconds. */
	private long heardMillis;

	/** When a sign of life was last asked for, in milliseconds. */
	private long pingedMillis;

	/** Whether no message has come since. */
	private boolean pingPending;

	/** Delay before the next session, in milliseconds. */
	private long retryMillis = FIRST_RETRY_MILLIS;

	/** Whether a new session is due. */
	private boolean retryDue;

	/** Whether the target is dropped for good. */
	private boolean dropped;

	TargetLink(EntryIdentity identity, HostList.Host host, Transport transport, HeartbeatExchange exchange,
			ExecutionContext threads, Observer observer) {
		this.identity = identity;
		this.host = host;
		this.transport = transport;
		this.exchange = exchange;
		this.clock = threads.clock();
		this.scheduler = threads.scheduler();
		this.observer = observer;
	}

	/**
	 * Opens a session unless there is one.
	 */
	void connect() {
		if (this.link == null && !this.retryDue && !this.dropped) {
			openSession();
		}
	}

	private void openSession() {
		this.session++;
		this.peerIncarnation = 0;
		this.pingPending = false;
		this.heardMillis = this.clock.millis();
		InetSocketAddress address = new InetSocketAddress(this.host.address(), this.host.port());
		SessionListener listener = new SessionListener(this.session);
		this.link = this.transport.open(address, listener);
		this.link.send(new Message.Hello(this.identity.name(), this.identity.incarnation(), this.session,
				this.identity.dataCentre()));
	}

	/**
	 * Passes messages on to an attempt from now on, and opens a session if there is none.
	 * @param attempt the attempt
	 */
	void begin(Attempt attempt) {
		connect();
		this.attempts.put(attempt.id(), attempt);
		this.sentSince++;
	}

	/**
	 * Sends a message on the current session. Between sessions the message is dropped;
	 * the attempts are told when a session begins.
	 * @param message the message
	 */
	void send(Message message) {
		if (this.link != null) {
			this.link.send(message);
		}
	}

	/**
	 * Stops passing messages on to an attempt. One that has taken over its id stays.
	 * @param attempt the attempt
	 */
	void end(Attempt attempt) {
		this.attempts.remove(attempt.id(), attempt);
	}

	/**
	 * Tells whether messages are passed on to an attempt.
	 * @param attempt the attempt
	 * @return {@code false} if it has ended, or another one has taken over its id
	 */
	boolean carries(Attempt attempt) {
		return this.attempts.get(attempt.id()) == attempt;
	}

	/**
	 * Asks the sidecar for a sign of life.
	 */
	void ping() {
		this.pingedMillis = this.clock.millis();
		this.pingPending = true;
		this.exchange.sendHeartbeat(this.link);
	}

	/**
	 * Replaces the session if a sign of life is overdue. A link on which answers are
	 * awaited is asked for one after a short silence.
	 * @param silenceMillis longest silence, in milliseconds
	 */
	void check(long silenceMillis) {
		long nowMillis = this.clock.millis();
		long silentMillis = nowMillis - this.heardMillis;
		if (this.link == null) {
			return;
		}
		boolean overdue = this.pingPending && nowMillis - this.pingedMillis > silenceMillis - PING_AFTER_MILLIS;
		if (overdue && silentMillis > silenceMillis - PING_AFTER_MILLIS || !open() && silentMillis > silenceMillis) {
			LogEvent.LINK_STALLED.log(logger, this.host.name(), silentMillis);
			Link stalled = this.link;
			sessionEnded(this.session);
			stalled.close();
		}
		else if (open() && !this.pingPending && !this.attempts.isEmpty() && silentMillis > PING_AFTER_MILLIS) {
			ping();
		}
	}

	private void sessionEnded(long number) {
		if (number != this.session || this.link == null) {
			return;
		}
		this.exchange.remove(this.link);
		this.link = null;
		this.observer.linkLost(this);
		List.copyOf(this.attempts.values()).forEach(Attempt::linkLost);
		if (!this.dropped) {
			this.retryDue = true;
			this.scheduler.schedule(this.retryMillis, this::retry);
			this.retryMillis = Math.min(LAST_RETRY_MILLIS, this.retryMillis * 2);
		}
	}

	private void retry() {
		this.retryDue = false;
		connect();
	}

	private void welcome(Message.Welcome welcome) {
		if (!welcome.target().equals(this.host.name())) {
			this.link.close();
			return;
		}
		this.peerIncarnation = welcome.incarnation();
		this.retryMillis = FIRST_RETRY_MILLIS;
		loadTold(welcome.load());
		this.exchange.add(this.link);
		List.copyOf(this.attempts.values()).forEach((attempt) -> attempt.sessionBegan(welcome.incarnation()));
	}

	private void loadTold(TargetLoad told) {
		this.load = told;
		this.sentSince = 0;
	}

	private void handle(long number, long version, Message message) {
		if (number != this.session || this.link == null) {
			return;
		}
		this.heardMillis = this.clock.millis();
		this.pingPending = false;
		if (message instanceof Message.Welcome welcome) {
			welcome(welcome);
			return;
		}
		if (message instanceof Message.Heartbeat heartbeat) {
			loadTold(heartbeat.load());
		}
		if (this.exchange.handle(this.link, version, message)) {
			return;
		}
		passOn(message);
	}

	private void passOn(Message message) {
		if (message instanceof Message.CallResponse answer) {
			loadTold(answer.load());
			pass(answer.id(), message);
		}
		else if (message instanceof Message.Failed failed) {
			loadTold(failed.load());
			pass(failed.id(), message);
		}
		else if (message instanceof Message.Finished finished) {
			loadTold(finished.load());
			pass(finished.id(), message);
		}
		else if (message instanceof Message.Tokens tokens) {
			pass(tokens.id(), message);
		}
		else if (message instanceof Message.Reserved reserved) {
			pass(reserved.id(), message);
		}
		else if (message instanceof Message.ClaimedElsewhere claimed) {
			pass(claimed.id(), message);
		}
	}

	private void pass(String id, Message message) {
		Attempt attempt = this.attempts.get(id);
		if (attempt != null) {
			attempt.received(message);
		}
	}

	/**
	 * Takes in what the host list says.
	 * @param listed the target as listed now
	 */
	void listed(HostList.Host listed) {
		boolean moved = !listed.address().equals(this.host.address()) || listed.port() != this.host.port();
		this.host = listed;
		if (moved && this.link != null) {
			Link old = this.link;
			sessionEnded(this.session);
			old.close();
		}
	}

	/**
	 * Closes the link for good.
	 */
	void drop() {
		this.dropped = true;
		if (this.link != null) {
			Link old = this.link;
			sessionEnded(this.session);
			old.close();
		}
	}

	/**
	 * Returns the target.
	 * @return the target as the host list shows it
	 */
	HostList.Host host() {
		return this.host;
	}

	/**
	 * Returns the load told last.
	 * @return the load
	 */
	TargetLoad load() {
		return this.load;
	}

	/**
	 * Tells whether an attempt is at the target.
	 * @param id id of the attempt
	 * @return {@code true} until the attempt ends
	 */
	boolean has(String id) {
		return this.attempts.containsKey(id);
	}

	/**
	 * Returns the number of attempts at the target.
	 * @return attempts that have not ended
	 */
	int outstanding() {
		return this.attempts.size();
	}

	/**
	 * Returns the number of requests sent since the load was told.
	 * @return number of requests
	 */
	int sentSince() {
		return this.sentSince;
	}

	/**
	 * Tells whether both sides have introduced themselves.
	 * @return {@code true} while a session is open
	 */
	boolean open() {
		return this.link != null && this.peerIncarnation != 0;
	}

	/**
	 * Tells whether the last session broke, and no new one has begun.
	 * @return {@code true} while the target cannot be reached
	 */
	boolean broken() {
		return this.retryDue || this.retryMillis > FIRST_RETRY_MILLIS;
	}

	/**
	 * Returns when a sign of life was last asked for.
	 * @return time in milliseconds
	 */
	long pingedMillis() {
		return this.pingedMillis;
	}

	/**
	 * Tells whether a sign of life has been asked for, and has not come.
	 * @return {@code true} until any message comes
	 */
	boolean pingPending() {
		return this.pingPending;
	}

	/**
	 * Returns the number of the current session.
	 * @return a number that grows with each session
	 */
	long session() {
		return this.session;
	}

	/**
	 * Returns the incarnation of the sidecar.
	 * @return its start time, or 0 before a session has begun
	 */
	long peerIncarnation() {
		return this.peerIncarnation;
	}

	/**
	 * Hears of a target's links.
	 */
	interface Observer {

		/**
		 * A session ended unexpectedly.
		 * @param target the target
		 */
		void linkLost(TargetLink target);

	}

	/**
	 * Hears what happens on the connection of one session.
	 */
	private final class SessionListener implements Link.Listener {

		/** Number of the session. */
		private final long number;

		SessionListener(long number) {
			this.number = number;
		}

		@Override
		public void opened(Link opened) {
			// Messages sent before wait inside the link.
		}

		@Override
		public void received(Link from, long version, Message message) {
			TargetLink.this.scheduler.execute(() -> handle(this.number, version, message));
		}

		@Override
		public void writable(Link from) {
			// Entry hosts send little; nothing waits for room.
		}

		@Override
		public void closed(Link closed) {
			TargetLink.this.scheduler.execute(() -> sessionEnded(this.number));
		}

	}

}
