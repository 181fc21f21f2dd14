package io.dotterelcrank.standin.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.process.platform.HostList;

/**
 * An in-memory host list whose changes become visible after a lag. Thread-safe.
 */
public final class StandinHostList implements HostList {

	private final Clock clock;

	/** Time until a change becomes visible. */
	private final long lagMillis;

	/** Changes not yet visible; guarded by this. */
	private final List<Change> pendingChanges = new ArrayList<>();

	/** Visible hosts by name; guarded by this. */
	private final Map<String, Host> visibleHosts = new TreeMap<>();

	private volatile boolean down;

	private StandinHostList(Clock clock, long lagMillis) {
		this.clock = clock;
		this.lagMillis = lagMillis;
	}

	/**
	 * Creates an empty list.
	 * @param clock time source of the lag
	 * @param lagMillis time until a change becomes visible, in milliseconds
	 * @return a list without hosts
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
		this.pendingChanges.sort(Comparator.comparingLong(Change::visibleAtMillis));
		while (!this.pendingChanges.isEmpty() && this.pendingChanges.get(0).visibleAtMillis() <= nowMillis) {
			Change change = this.pendingChanges.remove(0);
			this.visibleHosts.remove(change.name());
			if (change.host() != null) {
				this.visibleHosts.put(change.name(), change.host());
			}
		}
		return List.copyOf(this.visibleHosts.values());
	}

	/**
	 * Adds a host, or replaces the one of the same name, after the lag.
	 * @param host the new entry
	 */
	public synchronized void put(Host host) {
		this.pendingChanges.add(new Change(this.clock.millis() + this.lagMillis, host.name(), host));
	}

	/**
	 * Removes a host after the lag.
	 * @param name name of the host
	 */
	public synchronized void remove(String name) {
		this.pendingChanges.add(new Change(this.clock.millis() + this.lagMillis, name, null));
	}

	/**
	 * Makes reads fail or succeed.
	 * @param isDown {@code true} to make reads fail
	 */
	public void setDown(boolean isDown) {
		this.down = isDown;
	}

	/**
	 * A change of one host. Immutable.
	 *
	 * @param visibleAtMillis time at which it becomes visible, in milliseconds
	 * @param name name of the host
	 * @param host the new entry, or {@code null} to remove the host
	 */
	private record Change(long visibleAtMillis, String name, Host host) {
	}

}
