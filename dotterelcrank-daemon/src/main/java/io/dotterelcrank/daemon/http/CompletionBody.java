package io.dotterelcrank.daemon.http;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Body of a completion request, in the common shape. Immutable; missing fields are
 * {@code null}.
 *
 * @param model model asked for
 * @param prompt text of the prompt
 * @param maxTokens largest number of output tokens
 * @param stream whether tokens are sent as they come
 */
record CompletionBody(String model, String prompt, @JsonProperty("max_tokens") Integer maxTokens, Boolean stream) {

	/** Largest number of output tokens without a wish of the caller. */
	static final int STANDARD_MAX_TOKENS = 1_024;

	/** Largest number of output tokens that can be asked for. */
	static final int MOST_TOKENS = 65_536;

	/** Characters that make a token of a prompt, roughly. */
	private static final int CHARACTERS_PER_TOKEN = 4;

	/**
	 * Returns the largest number of output tokens.
	 * @return the caller's wish, or the standard
	 */
	int tokens() {
		return (this.maxTokens != null) ? this.maxTokens : STANDARD_MAX_TOKENS;
	}

	/**
	 * Tells whether tokens are sent as they come.
	 * @return the caller's wish, or {@code false}
	 */
	boolean streams() {
		return Boolean.TRUE.equals(this.stream);
	}

	/**
	 * Estimates the length of the prompt.
	 * @return length in tokens
	 */
	int promptTokens() {
		return 1 + this.prompt.length() / CHARACTERS_PER_TOKEN;
	}

}
