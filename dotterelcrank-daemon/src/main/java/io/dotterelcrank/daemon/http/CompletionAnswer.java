package io.dotterelcrank.daemon.http;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Answer to a completion request, or one event of it, in the common shape. Immutable.
 *
 * @param id id of the generation
 * @param object kind of the object
 * @param model model that answered
 * @param choices the only choice
 * @param usage number of tokens; {@code null} in events before the end
 */
record CompletionAnswer(String id, String object, String model, List<Choice> choices, Usage usage) {

	/** Kind of the object. */
	private static final String KIND = "text_completion";

	/**
	 * Returns an event with text.
	 * @param id id of the generation
	 * @param model model that answers
	 * @param text text of one token
	 * @return the event
	 */
	static CompletionAnswer event(String id, String model, String text) {
		return new CompletionAnswer(id, KIND, model, List.of(new Choice(0, text, null)), null);
	}

	/**
	 * Returns an answer, or the last event, which has an empty text.
	 * @param id id of the generation
	 * @param model model that answered
	 * @param text text of all tokens
	 * @param reason why the generation ended
	 * @param tokens number of tokens
	 * @return the answer
	 */
	static CompletionAnswer end(String id, String model, String text, String reason, int tokens) {
		return new CompletionAnswer(id, KIND, model, List.of(new Choice(0, text, reason)), new Usage(tokens));
	}

	/**
	 * A choice. Immutable.
	 *
	 * @param index its position
	 * @param text its text
	 * @param finishReason why it ended, or {@code null}
	 */
	record Choice(int index, String text, @JsonProperty("finish_reason") String finishReason) {
	}

	/**
	 * Number of tokens. Immutable.
	 *
	 * @param completionTokens output tokens
	 */
	record Usage(@JsonProperty("completion_tokens") int completionTokens) {
	}

}
