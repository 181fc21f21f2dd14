package io.dotterelcrank.standin.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.process.platform.PlatformException;

/**
 * The host list in memory; changes show after a lag. Thread-safe.
 */
public final class StandinHostList implements HostList {

	/** Clock of the list. */
	private final Clock clock;

	/** How long changes take to show, in milliseconds. */
	private final long lagMillis;

	/** Changes not yet shown; guarded by this. */
	private final List<Change> changes = new ArrayList<>();

	/** Hosts shown, by name; guarded by this. */
	private final Map<String, Host> shown = new TreeMap<>();

	/** Whether the list cannot be read. */
	private volatile boolean down;

	private StandinHostList(Clock clock, long lagMillis) {
		this.clock = clock;
		this.lagMillis = lagMillis;
	}

	/**
	 * Creates an empty list.
	 * @param clock clock of the list
	 * @param lagMillis how long changes take to show, in milliseconds
	 * @return a new list
	 */
	public static StandinHostList withLag(Clock clock, long lagMillis) {
		return new StandinHostList(clock, lagMillis);
	}

	@Override
	public synchronized List<Host> hosts() throws PlatformException {
		if (this.down) {
			throw new PlatformException("the host list is down");
		}
		long nowMillis = this.clock.millis();
		this.changes.sort(Comparator.comparingLong(Change::visibleMillis));
		while (!this.changes.isEmpty() && this.changes.get(0).visibleMillis() <= nowMillis) {
			Change change = this.changes.remove(0);
			this.shown.remove(change.name());
			if (change.host() != null) {
				this.shown.put(change.name(), change.host());
			}
		}
		return List.copyOf(this.shown.values());
	}

	/**
	 * Adds or replaces a host.
	 * @param host the host
	 */
	public synchronized void put(Host host) {
		this.changes.add(new Change(this.clock.millis() + this.lagMillis, host.name(), host));
	}

	/**
	 * Removes a host.
	 * @param name its name
	 */
	public synchronized void remove(String name) {
		this.changes.add(new Change(this.clock.millis() + this.lagMillis, name, null));
	}

	/**
	 * Makes the list unreadable, or readable again.
	 * @param value whether it cannot be read
	 */
	public void setDown(boolean value) {
		this.down = value;
	}

	/**
	 * A change. Immutable.
	 *
	 * @param visibleMillis when it shows, in milliseconds
	 * @param name name of the host
	 * @param host the host, or {@code null} if it is removed
	 */
	private record Change(long visibleMillis, String name, Host host) {
	}

}
