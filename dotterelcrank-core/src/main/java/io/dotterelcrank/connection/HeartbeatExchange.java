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
 * What both sides of every link do alike: bring the older configuration up to the newer
 * one, and tell load and age of the configuration in heartbeats. Entry processes send
 * heartbeats, sidecars answer them; both send one on every link when a new configuration
 * comes into force. Thread-safe.
 */
public final class HeartbeatExchange {

	/**
	 * Smallest time between two requests for a configuration on a link, in milliseconds.
	 */
	static final long ASK_INTERVAL_MILLIS = 500;

	/** Configuration in force. */
	private final ConfigurationHolder holder;

	/** Knows how old the configuration is. */
	private final ConfigurationUpdater feed;

	/** Supplies the load to tell. */
	private final Supplier<TargetLoad> load;

	/** Clock of the process. */
	private final Clock clock;

	/** Open links, with the time of the last request for a configuration. */
	private final Map<Link, Long> links = new ConcurrentHashMap<>();

	/** Whether heartbeats are answered. */
	private final boolean answers;

	private HeartbeatExchange(ConfigurationHolder holder, ConfigurationUpdater feed, Supplier<TargetLoad> load,
			Clock clock, boolean answers) {
		this.answers = answers;
		this.holder = holder;
		this.feed = feed;
		this.load = load;
		this.clock = clock;
	}

	/**
	 * Creates the exchange of an entry process, which sends heartbeats.
	 * @param holder configuration in force
	 * @param feed knows how old the configuration is
	 * @param clock clock of the process
	 * @param scheduler runs what follows a new configuration
	 * @return a new exchange
	 */
	public static HeartbeatExchange ofEntry(ConfigurationHolder holder, ConfigurationUpdater feed, Clock clock,
			Scheduler scheduler) {
		return new HeartbeatExchange(holder, feed, () -> TargetLoad.NONE, clock, false).tellingChanges(scheduler);
	}

	/**
	 * Creates the exchange of a sidecar, which answers heartbeats.
	 * @param holder configuration in force
	 * @param feed knows how old the configuration is
	 * @param load supplies the load to tell, on the scheduler's thread
	 * @param clock clock of the process
	 * @param scheduler runs what follows a new configuration
	 * @return a new exchange
	 */
	public static HeartbeatExchange ofSidecar(ConfigurationHolder holder, ConfigurationUpdater feed,
			Supplier<TargetLoad> load, Clock clock, Scheduler scheduler) {
		return new HeartbeatExchange(holder, feed, load, clock, true).tellingChanges(scheduler);
	}

	private HeartbeatExchange tellingChanges(Scheduler scheduler) {
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
	 * @param link the link
	 */
	public void sendHeartbeat(Link link) {
		link.send(new Message.Heartbeat(this.load.get(), this.feed.ageMillis()));
	}

	/**
	 * Adds a link on which both sides have introduced themselves.
	 * @param link the link
	 */
	public void add(Link link) {
		this.links.put(link, Long.MIN_VALUE / 2);
		sendHeartbeat(link);
	}

	/**
	 * Removes a link.
	 * @param link the link
	 */
	public void remove(Link link) {
		this.links.remove(link);
	}

	/**
	 * Takes in a message.
	 * @param link link that it came on
	 * @param version configuration version of the sender
	 * @param message the message
	 * @return whether the message was only about the configuration
	 */
	public boolean handle(Link link, long version, Message message) {
		if (message instanceof Message.ConfigurationRequest) {
			link.send(new Message.ConfigurationResponse(this.holder.current()));
			return true;
		}
		if (message instanceof Message.ConfigurationResponse told) {
			this.holder.updateIfNewer(told.configuration(), link.peerAddress());
			return true;
		}
		if (message instanceof Message.Heartbeat heartbeat) {
			heard(version, heartbeat.configurationAgeMillis());
			answer(link);
		}
		if (version > this.holder.current().version()) {
			ask(link);
		}
		return false;
	}

	private void answer(Link link) {
		if (this.answers) {
			sendHeartbeat(link);
		}
	}

	private void heard(long version, long ageMillis) {
		Configuration current = this.holder.current();
		boolean sameAndKnown = version == current.version() && ageMillis < Long.MAX_VALUE / 4;
		if (sameAndKnown) {
			this.holder.updateIfNewer(current, "a peer");
			this.feed.confirmedByPeer(version, ageMillis);
		}
	}

	private void ask(Link link) {
		Long lastMillis = this.links.get(link);
		long nowMillis = this.clock.millis();
		if (lastMillis != null && nowMillis - lastMillis >= ASK_INTERVAL_MILLIS) {
			this.links.put(link, nowMillis);
			link.send(new Message.ConfigurationRequest());
		}
	}

	/**
	 * Returns the number of links.
	 * @return open links
	 */
	public int linkCount() {
		return this.links.size();
	}

}
