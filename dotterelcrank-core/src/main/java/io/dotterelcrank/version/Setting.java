package io.dotterelcrank.version;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Settings that operators publish fleet-wide. All values are whole numbers. Immutable.
 */
public enum Setting {

	/** Target for the time between tokens. */
	TOKEN_TARGET_MILLIS("ms", 45, 1, 10_000, "time between tokens above which a sidecar admits no more"),

	/** Part of the engine's memory kept free at the predicted peak. */
	MEMORY_HEADROOM_PERCENT("%", 5, 0, 90, "engine memory kept free at the predicted peak"),

	/** Longest wait for admission at a sidecar. */
	ADMISSION_WAIT_MILLIS("ms", 400, 0, 600_000, "longest wait for admission at a sidecar"),

	/** Largest number of requests waiting at a sidecar. */
	ADMISSION_QUEUE_REQUESTS("requests", 64, 0, 100_000, "largest number of requests waiting at a sidecar"),

	/** Weight of a workspace when capacity is short. */
	SHARE_WEIGHT("weight", 100, 1, 10_000, "weight of a workspace when capacity is short"),

	/** Number of requests that a cold target takes at first. */
	COLD_LIMIT_REQUESTS("requests", 2, 1, 1_000, "requests that a cold target takes at first"),

	/** Largest number of calls that a plain service takes at once. */
	SERVICE_LIMIT_REQUESTS("requests", 32, 1, 100_000, "calls that a plain service takes at once"),

	/** Retries allowed. */
	RETRY_BUDGET_PERCENT("%", 10, 0, 100, "retries per 100 requests at an entry host"),

	/** Largest share of a model's targets that is ejected at once. */
	EJECTION_CAP_PERCENT("%", 30, 0, 100, "largest share of targets ejected at once"),

	/** Load of a target above which requests spill to the next in order. */
	SPILL_LOAD_PERCENT("%", 80, 1, 1_000, "load above which requests spill to the next target"),

	/** Silence after which a link is replaced. */
	LINK_SILENCE_MILLIS("ms", 5_000, 2_000, 600_000, "silence after which a link is replaced"),

	/** Time for which a sidecar keeps a generation whose entry host is gone. */
	ORPHAN_MILLIS("ms", 30_000, 0, 600_000, "time for which a generation waits for its caller to come back"),

	/** Time for which a streaming caller that broke off may come back. */
	RECONNECT_MILLIS("ms", 3_000, 0, 600_000, "time for which a streaming caller that broke off may come back"),

	/** Interval between load reports read from an engine. */
	LOAD_INTERVAL_MILLIS("ms", 500, 10, 60_000, "interval between load reports read from an engine"),

	/** Time for which an idempotency key is remembered. */
	KEY_MEMORY_MILLIS("ms", 3_600_000, 1_000, 7 * 24 * 3_600_000L,
			"time for which an idempotency key is remembered; at most half the log's retention");

	/** Unit of the value. */
	private final String unit;

	/** Value without any change by operators. */
	private final long defaultValue;

	/** Smallest value. */
	private final long minValue;

	/** Largest value. */
	private final long maxValue;

	/** What the setting does. */
	private final String description;

	Setting(String unit, long standard, long smallest, long largest, String description) {
		this.unit = unit;
		this.defaultValue = standard;
		this.minValue = smallest;
		this.maxValue = largest;
		this.description = description;
	}

	/**
	 * Finds a setting by the name that operators use.
	 * @param name the name, such as {@code token-target-millis}
	 * @return the setting, or nothing
	 */
	public static Optional<Setting> named(String name) {
		return Arrays.stream(values()).filter((setting) -> setting.label().equals(name)).findFirst();
	}

	/**
	 * Returns the name that operators use.
	 * @return lower-case words joined by hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Returns the unit.
	 * @return unit of the value
	 */
	public String unit() {
		return this.unit;
	}

	/**
	 * Returns the value without any change by operators.
	 * @return the built-in default
	 */
	public long defaultValue() {
		return this.defaultValue;
	}

	/**
	 * Returns the smallest value.
	 * @return lower bound, inclusive
	 */
	public long minValue() {
		return this.minValue;
	}

	/**
	 * Returns the largest value.
	 * @return upper bound, inclusive
	 */
	public long maxValue() {
		return this.maxValue;
	}

	/**
	 * Returns what the setting does.
	 * @return one phrase
	 */
	public String description() {
		return this.description;
	}

	/**
	 * Tells whether a value is in range.
	 * @param value the value
	 * @return {@code true} if operators may set it
	 */
	public boolean allows(long value) {
		return value >= this.minValue && value <= this.maxValue;
	}

}
