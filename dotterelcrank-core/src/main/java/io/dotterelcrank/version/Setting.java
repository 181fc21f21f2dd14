package io.dotterelcrank.version;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Settings that operators publish fleet-wide. All values are integers. Immutable.
 */
public enum Setting {

	/** Limit on the time between tokens. */
	TOKEN_TARGET_MILLIS("ms", 45, 1, 10_000, "time between tokens above which a sidecar admits no further requests"),

	/** Fraction of engine memory kept free at the predicted peak. */
	MEMORY_HEADROOM_PERCENT("%", 5, 0, 90, "engine memory kept free at the predicted peak"),

	/** Maximum wait for admission at a sidecar. */
	ADMISSION_WAIT_MILLIS("ms", 400, 0, 600_000, "maximum wait for admission at a sidecar"),

	/** Maximum number of requests waiting for admission at a sidecar. */
	ADMISSION_QUEUE_REQUESTS("requests", 64, 0, 100_000, "maximum number of requests waiting at a sidecar"),

	/** Weight of a workspace in fair sharing of scarce capacity. */
	SHARE_WEIGHT("weight", 100, 1, 10_000, "weight of a workspace when capacity is short"),

	/** Initial concurrency limit of a cold target. */
	COLD_LIMIT_REQUESTS("requests", 2, 1, 1_000, "initial limit on concurrent requests of a cold target"),

	/** Maximum number of concurrent calls to a target of a plain service. */
	SERVICE_LIMIT_REQUESTS("requests", 32, 1, 100_000,
			"maximum number of concurrent calls to a target of a plain service"),

	/** Retry budget of an entry host. */
	RETRY_BUDGET_PERCENT("%", 10, 0, 100, "retries allowed per 100 requests at an entry host"),

	/** Maximum fraction of a model's targets that is ejected at once. */
	EJECTION_CAP_PERCENT("%", 30, 0, 100, "maximum fraction of targets ejected at once"),

	/** Load of a target above which requests spill over to the next target in order. */
	SPILL_LOAD_PERCENT("%", 80, 1, 1_000, "load above which requests spill over to the next target"),

	/** Time without a message after which a link is replaced. */
	LINK_SILENCE_MILLIS("ms", 5_000, 2_000, 600_000, "time without a message after which a link is replaced"),

	/** Time for which a sidecar keeps a generation whose entry host is gone. */
	ORPHAN_MILLIS("ms", 30_000, 0, 600_000, "time for which a sidecar keeps a generation that lost its entry host"),

	/** Time within which a disconnected streaming caller may reconnect. */
	RECONNECT_MILLIS("ms", 3_000, 0, 600_000, "time within which a disconnected streaming caller may reconnect"),

	/** Interval between reads of the load of an engine. */
	LOAD_INTERVAL_MILLIS("ms", 500, 10, 60_000, "interval between reads of the load of an engine"),

	/** Retention of idempotency keys. */
	KEY_MEMORY_MILLIS("ms", 3_600_000, 1_000, 7 * 24 * 3_600_000L,
			"retention of idempotency keys; at most half the log's retention");

	private final String unit;

	private final long defaultValue;

	private final long minValue;

	private final long maxValue;

	private final String description;

	Setting(String unit, long defaultValue, long minValue, long maxValue, String description) {
		this.unit = unit;
		this.defaultValue = defaultValue;
		this.minValue = minValue;
		this.maxValue = maxValue;
		this.description = description;
	}

	/**
	 * Returns the setting that has a name.
	 * @param name name that operators use, such as {@code token-target-millis}
	 * @return the setting, or empty if the name is unknown
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
	 * Returns the unit of the value.
	 * @return {@code ms}, {@code %}, {@code requests} or {@code weight}
	 */
	public String unit() {
		return this.unit;
	}

	/**
	 * Returns the built-in default, which applies until operators set another one.
	 * @return default in the unit of the setting
	 */
	public long defaultValue() {
		return this.defaultValue;
	}

	/**
	 * Returns the minimum value.
	 * @return lower bound, inclusive
	 */
	public long minValue() {
		return this.minValue;
	}

	/**
	 * Returns the maximum value.
	 * @return upper bound, inclusive
	 */
	public long maxValue() {
		return this.maxValue;
	}

	/**
	 * Returns a description for operators.
	 * @return one phrase
	 */
	public String description() {
		return this.description;
	}

	/**
	 * Returns whether a value is in range.
	 * @param value value in the unit of the setting
	 * @return {@code true} if it lies between minimum and maximum, inclusive
	 */
	public boolean allows(long value) {
		return value >= this.minValue && value <= this.maxValue;
	}

}
