package io.dotterelcrank.daemon.http;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Response to a completion request, or one event of its stream, in the format of the
 * common completion APIs. Immutable.
 *
 * @param id id of the generation
 * @param object type of the object
 * @param model model that generated the text
 * @param choices list with exactly one choice
 * @param usage token count; {@code null} in events before the last one
 */
record CompletionResponse(String id, String object, String model, List<Choice> choices, Usage usage) {

	private static final String OBJECT_TYPE = "text_completion";

	/**
	 * Creates a stream event with the text of one token.
	 * @param id id of the generation
	 * @param model model that generates the text
	 * @param text text of one token
	 * @return the event
	 */
	static CompletionResponse event(String id, String model, String text) {
		return new CompletionResponse(id, OBJECT_TYPE, model, List.of(new Choice(0, text, null)), null);
	}

	/**
	 * Creates a buffered response, or the last event of a stream.
	 * @param id id of the generation
	 * @param model model that generated the text
	 * @param text text of all tokens; empty in the last event of a stream
	 * @param reason finish reason, {@code stop} or {@code length}
	 * @param tokens number of output tokens
	 * @return the response or event
	 */
	static CompletionResponse complete(String id, String model, String text, String reason, int tokens) {
		return new CompletionResponse(id, OBJECT_TYPE, model, List.of(new Choice(0, text, reason)), new Usage(tokens));
	}

	/**
	 * A generated text. Immutable.
	 *
	 * @param index position in the list, always 0
	 * @param text text of the generation, or of one token in an event
	 * @param finishReason {@code stop} or {@code length}; {@code null} in events before
	 * the last one
	 */
	record Choice(int index, String text, @JsonProperty("finish_reason") String finishReason) {
	}

	/**
	 * Token count. Immutable.
	 *
	 * @param completionTokens number of output tokens
	 */
	record Usage(@JsonProperty("completion_tokens") int completionTokens) {
	}

}
