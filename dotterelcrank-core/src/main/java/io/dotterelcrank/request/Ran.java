package io.dotterelcrank.request;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Whether the target executed a request that ended with an error. Immutable.
 */
public enum Ran {

	/**
	 * The target did not execute the request and never will.
	 */
	NO("no"),

	/**
	 * The target executed the request, at least in part.
	 */
	YES("yes"),

	/**
	 * The target may have executed the request.
	 */
	UNKNOWN("unknown");

	private final String word;

	Ran(String word) {
		this.word = word;
	}

	/**
	 * Returns the value that error bodies carry.
	 * @return {@code no}, {@code yes} or {@code unknown}
	 */
	@JsonValue
	public String word() {
		return this.word;
	}

}
