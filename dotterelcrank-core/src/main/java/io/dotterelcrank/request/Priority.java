package io.dotterelcrank.request;

import java.util.Locale;

/**
 * Order in which waiting requests are admitted and shed. Immutable.
 */
public enum Priority {

	/** Admitted first, shed last. */
	HIGH,

	/** The default. */
	NORMAL,

	/** Admitted last, shed first. */
	LOW;

	/**
	 * Reads a header value.
	 * @param text the value, or {@code null} for the default
	 * @return the priority
	 * @throws RequestException if the text names no priority
	 */
	public static Priority parse(String text) throws RequestException {
		if (text == null) {
			return NORMAL;
		}
		try {
			return valueOf(text.toUpperCase(Locale.ROOT));
		}
		catch (IllegalArgumentException ex) {
			throw Failure.notRun(ResultCode.INVALID_REQUEST, "Priority must be high, normal or low").toException();
		}
	}

}
