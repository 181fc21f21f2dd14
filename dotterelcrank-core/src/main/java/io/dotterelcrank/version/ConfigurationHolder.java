package io.dotterelcrank.version;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;

/**
 * Holds the configuration in force in a process. Invariant: the version never decreases.
 * Thread-safe.
 */
public final class ConfigurationHolder {

	private static final Logger logger = LoggerFactory.getLogger(ConfigurationHolder.class);

	private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();

	/** Written while holding this. */
	private volatile Configuration current = Configuration.INITIAL;

	/** Whether any source has supplied a configuration, even if it was not newer. */
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
	 * @param listener receives every new configuration, on the thread that supplies it
	 */
	public void onChange(Consumer<Configuration> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Puts a configuration into force if it is newer than the current one. An older or
	 * equal one still makes the process ready.
	 * @param configuration configuration of any version
	 * @param source origin of the configuration, for the log
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
	 * @return the newest configuration received; {@link Configuration#INITIAL} at first
	 */
	public Configuration current() {
		return this.current;
	}

	/**
	 * Returns whether any source has supplied a configuration.
	 * @return {@code true} even if the configuration was not newer than the initial one
	 */
	public boolean ready() {
		return this.ready;
	}

}
