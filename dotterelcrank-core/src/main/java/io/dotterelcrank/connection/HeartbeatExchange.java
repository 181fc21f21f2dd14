package io.dotterelcrank.connection;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.ConfigurationHolder;
import io.dotterelcrank.version.ConfigurationUpdater;

/**
 * Exchanges heartbeats on every link and fetches newer configurations from peers.
 * Heartbeats carry the load and the age of the configuration. Entry processes send them
 * periodically, sidecars respond to each; both send one on every link when a new
 * configuration comes into force. Thread-safe.
 */
public final class HeartbeatExchange {

	/**
	 * Minimum time between two configuration requests on a link, in milliseconds.
	 */
	static final long MIN_REQUEST_INTERVAL_MILLIS = 500;

	private final ConfigurationHolder holder;

	private final ConfigurationUpdater updater;

	private final Supplier<TargetLoad> load;

	private final Clock clock;

	/**
	 * Open links, with the time of the last configuration request in milliseconds; far in
	 * the past before the first request.
	 */
	private final Map<Link, Long> links = new ConcurrentHashMap<>();

	private final boolean respondsToHeartbeats;

	private HeartbeatExchange(ConfigurationHolder holder, ConfigurationUpdater updater, Supplier<TargetLoad> load,
			Clock clock, boolean respondsToHeartbeats) {
		this.respondsToHeartbeats = respondsToHeartbeats;
		this.holder = holder;
		this.updater = updater;
		this.load = load;
		this.clock = clock;
	}

	/**
	 * Creates the exchange of an entry process, which sends heartbeats.
	 * @param holder holds the configuration in force
	 * @param updater supplies and updates the age of the configuration
	 * @param clock clock of the process
	 * @param scheduler runs the sending of heartbeats when the configuration changes
	 * @return a new exchange
	 */
	public static HeartbeatExchange ofEntry(ConfigurationHolder holder, ConfigurationUpdater updater, Clock clock,
			Scheduler scheduler) {
		return new HeartbeatExchange(holder, updater, () -> TargetLoad.NONE, clock, false)
			.sendOnConfigurationChange(scheduler);
	}

	/**
	 * Creates the exchange of a sidecar, which responds to heartbeats.
	 * @param holder holds the configuration in force
	 * @param updater supplies and updates the age of the configuration
	 * @param load supplies the load to report; called on the scheduler's thread
	 * @param clock clock of the process
	 * @param scheduler runs the sending of heartbeats when the configuration changes
	 * @return a new exchange
	 */
	public static HeartbeatExchange ofSidecar(ConfigurationHolder holder, ConfigurationUpdater updater,
			Supplier<TargetLoad> load, Clock clock, Scheduler scheduler) {
		return new HeartbeatExchange(holder, updater, load, clock, true).sendOnConfigurationChange(scheduler);
	}

	private HeartbeatExchange sendOnConfigurationChange(Scheduler scheduler) {
		this.holder.onChange((configuration) -> scheduler.execute(this::sendHeartbeats));
		return this;
	}

	/**
	 * Sends a heartbeat on every link.
	 */
	public void sendHeartbeats() {
		this.links.keySet().forEach(this::sendHeartbeat);
	}

	/**
	 * Sends a heartbeat.
	 * @param link link to send it on
	 */
	public void sendHeartbeat(Link link) {
		link.send(new Message.Heartbeat(this.load.get(), this.updater.ageMillis()));
	}

	/**
	 * Adds a link after Hello and Welcome have been exchanged, and sends a heartbeat on
	 * it.
	 * @param link open link
	 */
	public void add(Link link) {
		this.links.put(link, Long.MIN_VALUE / 2);
		sendHeartbeat(link);
	}

	/**
	 * Removes a closed link.
	 * @param link link, possibly never added
	 */
	public void remove(Link link) {
		this.links.remove(link);
	}

	/**
	 * Handles heartbeats and the exchange of configurations, and requests the peer's
	 * configuration if it is newer. To be called for every message.
	 * @param link link on which the message arrived
	 * @param version configuration version of the sender
	 * @param message message of any type
	 * @return {@code true} if the message needs no further handling
	 */
	public boolean handle(Link link, long version, Message message) {
		if (message instanceof Message.ConfigurationRequest) {
			link.send(new Message.ConfigurationResponse(this.holder.current()));
			return true;
		}
		if (message instanceof Message.ConfigurationResponse response) {
			this.holder.updateIfNewer(response.configuration(), link.peerAddress());
			return true;
		}
		if (message instanceof Message.Heartbeat heartbeat) {
			recordPeerConfirmation(version, heartbeat.configurationAgeMillis());
			respondToHeartbeat(link);
		}
		if (version > this.holder.current().version()) {
			requestConfiguration(link);
		}
		return false;
	}

	private void respondToHeartbeat(Link link) {
		if (this.respondsToHeartbeats) {
			sendHeartbeat(link);
		}
	}

	/**
	 * Records that a peer has the same version in force. This process becomes ready, even
	 * though the configuration is not newer.
	 * @param version version in force at the peer
	 * @param ageMillis age at the peer in milliseconds; about half of
	 * {@link Long#MAX_VALUE} if it was never confirmed there, which confirms nothing here
	 */
	private void recordPeerConfirmation(long version, long ageMillis) {
		Configuration current = this.holder.current();
		boolean confirmsCurrent = version == current.version() && ageMillis < Long.MAX_VALUE / 4;
		if (confirmsCurrent) {
			this.holder.updateIfNewer(current, "a peer");
			this.updater.recordPeerConfirmation(version, ageMillis);
		}
	}

	private void requestConfiguration(Link link) {
		Long lastRequestMillis = this.links.get(link);
		long nowMillis = this.clock.millis();
		if (lastRequestMillis != null && nowMillis - lastRequestMillis >= MIN_REQUEST_INTERVAL_MILLIS) {
			this.links.put(link, nowMillis);
			link.send(new Message.ConfigurationRequest());
		}
	}

	/**
	 * Returns the number of open links.
	 * @return links added and not removed
	 */
	public int linkCount() {
		return this.links.size();
	}

}
