package io.dotterelcrank.request;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Whether a request that ended with an error had an effect on its target. Immutable.
 */
public enum Ran {

	/**
	 * The target provably did not run the request and never will.
	 */
	NO("no"),

	/**
	 * The target ran the request, at least in part.
	 */
	YES("yes"),

	/**
	 * The target may have run the request.
	 */
	UNKNOWN("unknown");

	/**
	 * Word used in error bodies.
	 */
	private final String word;

	Ran(String word) {
		this.word = word;
	}

	/**
	 * Returns the word used in error bodies.
	 * @return {@code no}, {@code yes} or {@code unknown}
	 */
	@JsonValue
	public String word() {
		return this.word;
	}

}
