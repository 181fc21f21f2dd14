package io.dotterelcrank.version;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;

/**
 * Holds the configuration in force in a process. Invariant: the version never falls.
 * Thread-safe.
 */
public final class ConfigurationHolder {

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(ConfigurationHolder.class);

	/** Hear of every new configuration. */
	private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();

	/** Configuration in force; written under this. */
	private volatile Configuration current = Configuration.INITIAL;

	/** Whether any source has confirmed the configuration since the process started. */
	private volatile boolean ready;

	private ConfigurationHolder() {
	}

	/**
	 * Creates a holder that is not ready.
	 * @return a new holder with the initial configuration
	 */
	public static ConfigurationHolder create() {
		return new ConfigurationHolder();
	}

	/**
	 * Adds a listener.
	 * @param listener hears of every new configuration, on the thread that offers it
	 */
	public void onChange(Consumer<Configuration> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Offers a configuration, which comes into force if it is newer.
	 * @param configuration the configuration
	 * @param source where it comes from, for the log
	 */
	public void updateIfNewer(Configuration configuration, String source) {
		synchronized (this) {
			this.ready = true;
			if (configuration.version() <= this.current.version()) {
				return;
			}
			this.current = configuration;
		}
		LogEvent.CONFIGURATION_IN_FORCE.log(logger, configuration.version(), source);
		this.listeners.forEach((listener) -> listener.accept(configuration));
	}

	/**
	 * Returns the configuration in force.
	 * @return the newest configuration offered
	 */
	public Configuration current() {
		return this.current;
	}

	/**
	 * Tells whether the process knows a configuration at all.
	 * @return {@code false} until a source has been heard
	 */
	public boolean ready() {
		return this.ready;
	}

}
