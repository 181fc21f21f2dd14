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
 * Link of an entry process to one sidecar. A new session replaces one that breaks or
 * falls silent. Invariant: messages of an older session are never delivered. Confined to
 * the control thread.
 */
final class TargetLink {

	/** First reconnect delay; doubled with each failure. */
	static final long MIN_RECONNECT_DELAY_MILLIS = 100;

	static final long MAX_RECONNECT_DELAY_MILLIS = 5_000;

	/**
	 * Silence after which a heartbeat is sent on a link with open attempts.
	 */
	static final long HEARTBEAT_AFTER_SILENCE_MILLIS = 1_000;

	private static final Logger logger = LoggerFactory.getLogger(TargetLink.class);

	private final EntryIdentity identity;

	private final Transport transport;

	private final HeartbeatExchange exchange;

	private final Clock clock;

	/** Runs tasks on the control thread. */
	private final Scheduler scheduler;

	private final Observer observer;

	/** Open attempts at the target by id. */
	private final Map<String, AttemptHandler> attempts = new LinkedHashMap<>();

	/** The target as last listed. */
	private HostList.Host host;

	/** Connection of the current session; {@code null} between sessions. */
	private Link link;

	private long sessionNumber;

	/** 0 until the sidecar has sent Welcome on the current session. */
	private long sidecarIncarnation;

	/**
	 * Load reported last; before the first report, a warming target with capacity for one
	 * request.
	 */
	private TargetLoad load = new TargetLoad(TargetLoad.State.WARMING, 0, 0, 0, 1);

	/** Attempts begun since the last load report. */
	private int sentSinceReport;

	/** Time of the last message of the session, or of its start. */
	private long lastReceivedMillis;

	/** Time of the last heartbeat sent. */
	private long lastHeartbeatMillis;

	/** Whether no message was received since the last heartbeat. */
	private boolean heartbeatUnacknowledged;

	/** Delay before the next reconnect. */
	private long reconnectDelayMillis = MIN_RECONNECT_DELAY_MILLIS;

	private boolean reconnectScheduled;

	/** Whether the link is closed for good. */
	private boolean closed;

	TargetLink(EntryIdentity identity, HostList.Host host, Transport transport, HeartbeatExchange exchange,
			ExecutionContext context, Observer observer) {
		this.identity = identity;
		this.host = host;
		this.transport = transport;
		this.exchange = exchange;
		this.clock = context.clock();
		this.scheduler = context.scheduler();
		this.observer = observer;
	}

	/**
	 * Opens a session unless one exists or a reconnect is scheduled.
	 */
	void connect() {
		if (this.link == null && !this.reconnectScheduled && !this.closed) {
			openSession();
		}
	}

	private void openSession() {
		this.sessionNumber++;
		this.sidecarIncarnation = 0;
		this.heartbeatUnacknowledged = false;
		this.lastReceivedMillis = this.clock.millis();
		InetSocketAddress address = new InetSocketAddress(this.host.address(), this.host.port());
		SessionListener listener = new SessionListener(this.sessionNumber);
		this.link = this.transport.open(address, listener);
		this.link.send(new Message.Hello(this.identity.name(), this.identity.incarnation(), this.sessionNumber,
				this.identity.dataCentre()));
	}

	/**
	 * Delivers messages to an attempt from now on, and opens a session if there is none.
	 * @param attempt the attempt
	 */
	void attach(AttemptHandler attempt) {
		connect();
		this.attempts.put(attempt.id(), attempt);
		this.sentSinceReport++;
	}

	/**
	 * Sends a message on the current session. Between sessions the message is discarded;
	 * the attempts are notified when a session opens.
	 * @param message the message
	 */
	void send(Message message) {
		if (this.link != null) {
			this.link.send(message);
		}
	}

	/**
	 * Stops delivering messages to an attempt. Another attempt that has taken over its id
	 * remains attached.
	 * @param attempt the attempt
	 */
	void detach(AttemptHandler attempt) {
		this.attempts.remove(attempt.id(), attempt);
	}

	/**
	 * Returns whether messages are delivered to an attempt.
	 * @param attempt the attempt
	 * @return {@code false} if it was detached, or another attempt has taken over its id
	 */
	boolean isAttached(AttemptHandler attempt) {
		return this.attempts.get(attempt.id()) == attempt;
	}

	/**
	 * Sends a heartbeat, which the sidecar acknowledges.
	 */
	void sendHeartbeat() {
		this.lastHeartbeatMillis = this.clock.millis();
		this.heartbeatUnacknowledged = true;
		this.exchange.sendHeartbeat(this.link);
	}

	/**
	 * Replaces the session if the sidecar is silent. On a link with open attempts, a
	 * heartbeat is sent after {@link #HEARTBEAT_AFTER_SILENCE_MILLIS}; its
	 * acknowledgement may take the rest of the limit. While the session opens, Welcome
	 * may take the whole limit.
	 * @param silenceLimitMillis max silence, in milliseconds
	 */
	void checkSilence(long silenceLimitMillis) {
		long nowMillis = this.clock.millis();
		long silentMillis = nowMillis - this.lastReceivedMillis;
		if (this.link == null) {
			return;
		}
		boolean acknowledgementOverdue = this.heartbeatUnacknowledged
				&& nowMillis - this.lastHeartbeatMillis > silenceLimitMillis - HEARTBEAT_AFTER_SILENCE_MILLIS;
		if (acknowledgementOverdue && silentMillis > silenceLimitMillis - HEARTBEAT_AFTER_SILENCE_MILLIS
				|| !open() && silentMillis > silenceLimitMillis) {
			LogEvent.LINK_STALLED.log(logger, this.host.name(), silentMillis);
			Link stalled = this.link;
			sessionEnded(this.sessionNumber);
			stalled.close();
		}
		else if (open() && !this.heartbeatUnacknowledged && !this.attempts.isEmpty()
				&& silentMillis > HEARTBEAT_AFTER_SILENCE_MILLIS) {
			sendHeartbeat();
		}
	}

	private void sessionEnded(long number) {
		if (number != this.sessionNumber || this.link == null) {
			return;
		}
		this.exchange.remove(this.link);
		this.link = null;
		this.observer.sessionLost(this);
		List.copyOf(this.attempts.values()).forEach(AttemptHandler::sessionLost);
		if (!this.closed) {
			this.reconnectScheduled = true;
			this.scheduler.schedule(this.reconnectDelayMillis, this::reconnect);
			this.reconnectDelayMillis = Math.min(MAX_RECONNECT_DELAY_MILLIS, this.reconnectDelayMillis * 2);
		}
	}

	private void reconnect() {
		this.reconnectScheduled = false;
		connect();
	}

	private void handleWelcome(Message.Welcome welcome) {
		if (!welcome.target().equals(this.host.name())) {
			// Another target uses the address now; the host list is outdated.
			this.link.close();
			return;
		}
		this.sidecarIncarnation = welcome.incarnation();
		this.reconnectDelayMillis = MIN_RECONNECT_DELAY_MILLIS;
		updateLoad(welcome.load());
		this.exchange.add(this.link);
		List.copyOf(this.attempts.values()).forEach((attempt) -> attempt.sessionOpened(welcome.incarnation()));
	}

	private void updateLoad(TargetLoad reported) {
		this.load = reported;
		this.sentSinceReport = 0;
	}

	private void handle(long number, long version, Message message) {
		if (number != this.sessionNumber || this.link == null) {
			return;
		}
		this.lastReceivedMillis = this.clock.millis();
		this.heartbeatUnacknowledged = false;
		if (message instanceof Message.Welcome welcome) {
			handleWelcome(welcome);
			return;
		}
		if (message instanceof Message.Heartbeat heartbeat) {
			updateLoad(heartbeat.load());
		}
		if (this.exchange.handle(this.link, version, message)) {
			return;
		}
		dispatch(message);
	}

	private void dispatch(Message message) {
		if (message instanceof Message.CallResponse response) {
			updateLoad(response.load());
			deliver(response.id(), message);
		}
		else if (message instanceof Message.Failed failed) {
			updateLoad(failed.load());
			deliver(failed.id(), message);
		}
		else if (message instanceof Message.Finished finished) {
			updateLoad(finished.load());
			deliver(finished.id(), message);
		}
		else if (message instanceof Message.Tokens tokens) {
			deliver(tokens.id(), message);
		}
		else if (message instanceof Message.Reserved reserved) {
			deliver(reserved.id(), message);
		}
		else if (message instanceof Message.ClaimedElsewhere claimed) {
			deliver(claimed.id(), message);
		}
	}

	private void deliver(String id, Message message) {
		AttemptHandler attempt = this.attempts.get(id);
		if (attempt != null) {
			attempt.handle(message);
		}
	}

	/**
	 * Updates the target from the host list. A changed address or port ends the session.
	 * @param listed the target on the list
	 */
	void updateHost(HostList.Host listed) {
		boolean addressChanged = !listed.address().equals(this.host.address()) || listed.port() != this.host.port();
		this.host = listed;
		if (addressChanged && this.link != null) {
			Link old = this.link;
			sessionEnded(this.sessionNumber);
			old.close();
		}
	}

	/**
	 * Closes the link for good.
	 */
	void close() {
		this.closed = true;
		if (this.link != null) {
			Link old = this.link;
			sessionEnded(this.sessionNumber);
			old.close();
		}
	}

	/**
	 * Returns the target.
	 * @return the target as last listed
	 */
	HostList.Host host() {
		return this.host;
	}

	/**
	 * Returns the load reported last.
	 * @return the load; a warming target before the first report
	 */
	TargetLoad load() {
		return this.load;
	}

	/**
	 * Returns whether an attempt is open at the target.
	 * @param id id of the attempt
	 * @return {@code true} while an attempt with this id is attached
	 */
	boolean hasAttempt(String id) {
		return this.attempts.containsKey(id);
	}

	/**
	 * Returns the number of open attempts at the target.
	 * @return attempts that have not ended
	 */
	int outstanding() {
		return this.attempts.size();
	}

	/**
	 * Returns the number of attempts begun since the last load report.
	 * @return number of attempts, ended ones included
	 */
	int sentSinceReport() {
		return this.sentSinceReport;
	}

	/**
	 * Returns whether Hello and Welcome were exchanged.
	 * @return {@code true} while a session is open
	 */
	boolean open() {
		return this.link != null && this.sidecarIncarnation != 0;
	}

	/**
	 * Returns whether the last session was lost and none has opened since.
	 * @return {@code true} while the target is unreachable
	 */
	boolean reconnecting() {
		return this.reconnectScheduled || this.reconnectDelayMillis > MIN_RECONNECT_DELAY_MILLIS;
	}

	/**
	 * Returns the time of the last heartbeat.
	 * @return time in milliseconds; 0 before the first
	 */
	long lastHeartbeatMillis() {
		return this.lastHeartbeatMillis;
	}

	/**
	 * Returns whether a heartbeat has not been acknowledged.
	 * @return {@code true} until any message is received
	 */
	boolean heartbeatUnacknowledged() {
		return this.heartbeatUnacknowledged;
	}

	/**
	 * Returns the number of the current session.
	 * @return a number that increases with each session; 0 before the first
	 */
	long sessionNumber() {
		return this.sessionNumber;
	}

	/**
	 * Returns the incarnation of the sidecar.
	 * @return start time of the process in milliseconds, or 0 while no session is open
	 */
	long sidecarIncarnation() {
		return this.sidecarIncarnation;
	}

	/**
	 * Receives notifications of lost sessions.
	 */
	interface Observer {

		/**
		 * Called when a session has ended.
		 * @param target the target
		 */
		void sessionLost(TargetLink target);

	}

	/**
	 * Handles the events of one session's connection.
	 */
	private final class SessionListener implements Link.Listener {

		private final long number;

		SessionListener(long number) {
			this.number = number;
		}

		@Override
		public void opened(Link opened) {
			// The link queues messages sent before it is open.
		}

		@Override
		public void received(Link from, long version, Message message) {
			TargetLink.this.scheduler.execute(() -> handle(this.number, version, message));
		}

		@Override
		public void writable(Link from) {
			// Entry processes send little and do not wait until a link is writable.
		}

		@Override
		public void closed(Link closed) {
			TargetLink.this.scheduler.execute(() -> sessionEnded(this.number));
		}

	}

}
