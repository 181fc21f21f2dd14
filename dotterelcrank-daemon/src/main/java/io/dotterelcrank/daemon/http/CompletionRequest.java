package io.dotterelcrank.daemon.http;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Body of a completion request, in the format of the common completion APIs. Immutable;
 * missing fields are {@code null}.
 *
 * @param model name of the requested model
 * @param prompt text of the prompt
 * @param maxTokens maximum number of output tokens
 * @param stream whether tokens are sent as they are generated
 */
record CompletionRequest(String model, String prompt, @JsonProperty("max_tokens") Integer maxTokens, Boolean stream) {

	/** Maximum number of output tokens if the caller does not set one. */
	static final int DEFAULT_MAX_TOKENS = 1_024;

	/** Maximum number of output tokens that a caller can request. */
	static final int MAX_TOKENS = 65_536;

	/** Rough average. */
	private static final int CHARACTERS_PER_TOKEN = 4;

	/**
	 * Returns the maximum number of output tokens.
	 * @return the requested maximum, or the default if none is set
	 */
	int maxTokensOrDefault() {
		return (this.maxTokens != null) ? this.maxTokens : DEFAULT_MAX_TOKENS;
	}

	/**
	 * Returns whether tokens are sent as they are generated.
	 * @return the requested value, or {@code false} if none is set
	 */
	boolean streamOrDefault() {
		return Boolean.TRUE.equals(this.stream);
	}

	/**
	 * Estimates the length of the prompt from its number of characters.
	 * @return length in tokens, at least 1
	 */
	int estimatePromptTokens() {
		return 1 + this.prompt.length() / CHARACTERS_PER_TOKEN;
	}

}
