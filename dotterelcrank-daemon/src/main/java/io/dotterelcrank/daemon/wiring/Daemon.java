package io.dotterelcrank.daemon.wiring;

import java.io.IOException;

/**
 * A daemon's life: started once, stopped once. Thread-safe.
 */
public interface Daemon {

	/**
	 * Starts to serve.
	 * @throws IOException if an address cannot be bound
	 */
	void start() throws IOException;

	/**
	 * Stops as planned: takes nothing new, finishes what runs, then ends. Blocks until
	 * nothing is left, however long that takes.
	 */
	void stop();

	/**
	 * Stops at once, cutting off what runs. For tests of crashes.
	 */
	void kill();

}
