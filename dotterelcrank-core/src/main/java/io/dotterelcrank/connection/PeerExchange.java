package io.dotterelcrank.connection;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.ConfigurationFeed;
import io.dotterelcrank.version.ConfigurationHolder;

/**
 * What both sides of every link do alike: bring the older configuration up to the newer
 * one, and tell load and age of the configuration in heartbeats. Entry processes send
 * heartbeats, sidecars answer them; both send one on every link when a new configuration
 * comes into force. Thread-safe.
 */
public final class PeerExchange {

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

	/** Whether heartbeats are answered. */
	private final boolean answers;

	private PeerExchange(ConfigurationHolder holder, ConfigurationFeed feed, Supplier<Load> load, Clock clock,
			boolean answers) {
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
	public static PeerExchange ofEntry(ConfigurationHolder holder, ConfigurationFeed feed, Clock clock,
			Scheduler scheduler) {
		return new PeerExchange(holder, feed, () -> Load.NONE, clock, false).tellingChanges(scheduler);
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
	public static PeerExchange ofSidecar(ConfigurationHolder holder, ConfigurationFeed feed, Supplier<Load> load,
			Clock clock, Scheduler scheduler) {
		return new PeerExchange(holder, feed, load, clock, true).tellingChanges(scheduler);
	}

	private PeerExchange tellingChanges(Scheduler scheduler) {
		this.holder.onChange((configuration) -> scheduler.execute(this::beatAll));
		return this;
	}

	/**
	 * Sends a heartbeat on every link.
	 */
	public void beatAll() {
		this.links.keySet().forEach(this::beat);
	}

	/**
	 * Sends a heartbeat.
	 * @param link the link
	 */
	public void beat(Link link) {
		link.send(new Message.Heartbeat(this.load.get(), this.feed.ageMillis()));
	}

	/**
	 * Adds a link on which both sides have introduced themselves.
	 * @param link the link
	 */
	public void add(Link link) {
		this.links.put(link, Long.MIN_VALUE / 2);
		beat(link);
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
			answer(link);
		}
		if (version > this.holder.current().version()) {
			ask(link);
		}
		return false;
	}

	private void answer(Link link) {
		if (this.answers) {
			beat(link);
		}
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
