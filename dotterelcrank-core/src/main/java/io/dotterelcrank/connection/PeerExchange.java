package io.dotterelcrank.connection;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import io.dotterelcrank.process.Clock;
import io.dotterelcrank.process.Scheduler;
import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.ConfigurationFeed;
import io.dotterelcrank.version.ConfigurationHolder;

/**
 * What both sides of every link do alike: send heartbeats, and bring the older
 * configuration up to the newer one. Thread-safe.
 */
public final class PeerExchange {

	/** Time between heartbeats on a link, in milliseconds. */
	public static final long HEARTBEAT_MILLIS = 2_000;

	/**
	 * Smallest time between two requests for a configuration on a link, in milliseconds.
	 */
	static final long ASK_INTERVAL_MILLIS = 500;

	/** Configuration in force. */
	private final ConfigurationHolder holder;

	/** Knows how old the configuration is. */
	private final ConfigurationFeed feed;

	/** Supplies the load to tell. */
	private final Supplier<Load> load;

	/** Clock of the process. */
	private final Clock clock;

	/** Open links, with the time of the last request for a configuration. */
	private final Map<Link, Long> links = new ConcurrentHashMap<>();

	private PeerExchange(ConfigurationHolder holder, ConfigurationFeed feed, Supplier<Load> load, Clock clock) {
		this.holder = holder;
		this.feed = feed;
		this.load = load;
		this.clock = clock;
	}

	/**
	 * Creates an exchange and starts its heartbeats.
	 * @param holder configuration in force
	 * @param feed knows how old the configuration is
	 * @param load supplies the load to tell, on the scheduler's thread
	 * @param clock clock of the process
	 * @param scheduler runs the heartbeats
	 * @return a new exchange
	 */
	public static PeerExchange start(ConfigurationHolder holder, ConfigurationFeed feed, Supplier<Load> load,
			Clock clock, Scheduler scheduler) {
		PeerExchange exchange = new PeerExchange(holder, feed, load, clock);
		scheduler.repeat(HEARTBEAT_MILLIS, exchange::beat);
		holder.onChange((configuration) -> scheduler.execute(exchange::beat));
		return exchange;
	}

	/**
	 * Sends a heartbeat on every link.
	 */
	public void beat() {
		Message heartbeat = new Message.Heartbeat(this.load.get(), this.feed.ageMillis());
		this.links.keySet().forEach((link) -> link.send(heartbeat));
	}

	/**
	 * Adds a link on which both sides have introduced themselves.
	 * @param link the link
	 */
	public void add(Link link) {
		this.links.put(link, Long.MIN_VALUE / 2);
		link.send(new Message.Heartbeat(this.load.get(), this.feed.ageMillis()));
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
	public boolean received(Link link, long version, Message message) {
		if (message instanceof Message.AskConfiguration) {
			link.send(new Message.TellConfiguration(this.holder.current()));
			return true;
		}
		if (message instanceof Message.TellConfiguration told) {
			this.holder.offer(told.configuration(), link.peer());
			return true;
		}
		if (message instanceof Message.Heartbeat heartbeat) {
			heard(version, heartbeat.configurationAgeMillis());
		}
		if (version > this.holder.current().version()) {
			ask(link);
		}
		return false;
	}

	private void heard(long version, long ageMillis) {
		Configuration current = this.holder.current();
		boolean sameAndKnown = version == current.version() && ageMillis < Long.MAX_VALUE / 4;
		if (sameAndKnown) {
			this.holder.offer(current, "a peer");
			this.feed.heard(version, ageMillis);
		}
	}

	private void ask(Link link) {
		Long lastMillis = this.links.get(link);
		long nowMillis = this.clock.millis();
		if (lastMillis != null && nowMillis - lastMillis >= ASK_INTERVAL_MILLIS) {
			this.links.put(link, nowMillis);
			link.send(new Message.AskConfiguration());
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
