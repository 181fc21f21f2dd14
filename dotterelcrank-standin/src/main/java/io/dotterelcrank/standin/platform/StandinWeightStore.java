package io.dotterelcrank.standin.platform;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.process.platform.WeightStore;

/**
 * A weight store that permits one load per interval. Thread-safe.
 */
public final class StandinWeightStore implements WeightStore {

	private final Clock clock;

	/** Minimum time between two loads. */
	private final long intervalMillis;

	/** Time of the next permit; guarded by this. */
	private long nextPermitMillis;

	/** Permits granted; guarded by this. */
	private long permits;

	private volatile boolean down;

	private StandinWeightStore(Clock clock, long intervalMillis) {
		this.clock = clock;
		this.intervalMillis = intervalMillis;
	}

	/**
	 * Creates a weight store.
	 * @param clock time source of the interval
	 * @param intervalMillis minimum time between two loads, in milliseconds
	 * @return a store that permits a load at once
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
		if (nowMillis < this.nextPermitMillis) {
			return this.nextPermitMillis - nowMillis;
		}
		this.nextPermitMillis = nowMillis + this.intervalMillis;
		this.permits++;
		return 0;
	}

	/**
	 * Makes permit requests fail or succeed.
	 * @param isDown {@code true} to make requests fail
	 */
	public void setDown(boolean isDown) {
		this.down = isDown;
	}

	/**
	 * Returns the number of permits.
	 * @return permits granted since the store was created
	 */
	public synchronized long permits() {
		return this.permits;
	}

}
