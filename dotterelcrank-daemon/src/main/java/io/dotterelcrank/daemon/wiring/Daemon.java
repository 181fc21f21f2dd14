package io.dotterelcrank.daemon.wiring;

import java.io.IOException;

/**
 * Life cycle of a daemon, which is started and stopped once. Thread-safe.
 */
public interface Daemon {

	/**
	 * Starts the daemon; it serves when the method returns.
	 * @throws IOException if an address cannot be bound
	 */
	void start() throws IOException;

	/**
	 * Shuts down gracefully: completes active requests; new ones are accepted for a time,
	 * then rejected. Blocks until the process may end; only implementations with a grace
	 * period bound the time.
	 */
	void stop();

	/**
	 * Closes all connections at once, aborting active requests; tests use it to simulate
	 * a crash.
	 */
	void kill();

}
