package io.dotterelcrank.request;

/**
 * Request for one text generation. Immutable.
 *
 * @param id globally unique id of this attempt, never reused
 * @param workspace workspace of the caller
 * @param model requested model
 * @param priority admission priority
 * @param prompt text of the prompt
 * @param promptTokens length of the prompt in tokens, as estimated by the entry host
 * @param maxTokens maximum number of output tokens
 * @param deadlineMillis time remaining until the deadline when the frame was sent, in
 * milliseconds
 */
public record Generation(String id, String workspace, String model, Priority priority, String prompt, int promptTokens,
		int maxTokens, long deadlineMillis) {

	/**
	 * Returns a copy with another attempt id.
	 * @param value new attempt id
	 * @return the changed copy
	 */
	public Generation withId(String value) {
		return new Generation(value, this.workspace, this.model, this.priority, this.prompt, this.promptTokens,
				this.maxTokens, this.deadlineMillis);
	}

	/**
	 * Returns a copy with another remaining time.
	 * @param millis time until the deadline in milliseconds
	 * @return the changed copy
	 */
	public Generation withDeadline(long millis) {
		return new Generation(this.id, this.workspace, this.model, this.priority, this.prompt, this.promptTokens,
				this.maxTokens, millis);
	}

}
