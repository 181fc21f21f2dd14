package io.dotterelcrank.standin.platform;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.process.platform.WeightStore;

/**
 * The weight store: one load in a given time. Thread-safe.
 */
public final class StandinWeightStore implements WeightStore {

	/** Clock of the store. */
	private final Clock clock;

	/** Time between two loads, in milliseconds. */
	private final long intervalMillis;

	/** When the next load may start, in milliseconds; guarded by this. */
	private long nextMillis;

	/** Number of permits; guarded by this. */
	private long permits;

	/** Whether the store is down. */
	private volatile boolean down;

	private StandinWeightStore(Clock clock, long intervalMillis) {
		this.clock = clock;
		this.intervalMillis = intervalMillis;
	}

	/**
	 * Creates a store.
	 * @param clock clock of the store
	 * @param intervalMillis time between two loads, in milliseconds
	 * @return a new store
	 */
	public static StandinWeightStore withLoadInterval(Clock clock, long intervalMillis) {
		return new StandinWeightStore(clock, intervalMillis);
	}

	@Override
	public synchronized long requestPermit(String model) throws PlatformException {
		if (this.down) {
			throw new PlatformException("the weight store is down");
		}
		long nowMillis = this.clock.millis();
		if (nowMillis < this.nextMillis) {
			return this.nextMillis - nowMillis;
		}
		this.nextMillis = nowMillis + this.intervalMillis;
		this.permits++;
		return 0;
	}

	/**
	 * Makes the store unreachable, or reachable again.
	 * @param value whether it is down
	 */
	public void setDown(boolean value) {
		this.down = value;
	}

	/**
	 * Returns the number of permits.
	 * @return permits given so far
	 */
	public synchronized long permits() {
		return this.permits;
	}

}
