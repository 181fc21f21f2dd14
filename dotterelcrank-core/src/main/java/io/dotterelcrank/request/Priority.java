package io.dotterelcrank.request;

import java.util.Locale;

/**
 * Priority by which waiting requests are admitted and shed. Immutable.
 */
public enum Priority {

	/** Admitted first, shed last. */
	HIGH,

	/** Default if the caller names no priority. */
	NORMAL,

	/** Admitted last, shed first. */
	LOW;

	/**
	 * Parses the Priority header.
	 * @param text header value in any case, or {@code null} if there is none
	 * @return the priority; {@link #NORMAL} if there is no header
	 * @throws RequestException if the value is not a priority
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
