package io.dotterelcrank.request;

import java.util.List;
import java.util.OptionalLong;

/**
 * Size and shared content of a generation as sent by the caller. Immutable.
 *
 * @param promptTokens length of the prompt in tokens
 * @param maxTokens maximum number of output tokens
 * @param outputTokensHint caller's estimate of the output length; its median is right,
 * but single estimates are often far off
 * @param sharedParts ids of the parts of the prompt that other prompts may begin with, in
 * order; empty if the caller names none
 */
public record GenerationTraits(long promptTokens, long maxTokens, OptionalLong outputTokensHint,
		List<String> sharedParts) {

	/**
	 * Returns the expected length of prompt and output together.
	 * @return expected length in tokens
	 */
	public long expectedTotalTokens() {
		return this.promptTokens + expectedOutputTokens();
	}

	/**
	 * Returns the expected length of the output.
	 * @return the hint, capped at the maximum; the maximum if there is no hint
	 */
	public long expectedOutputTokens() {
		return Math.min(this.maxTokens, this.outputTokensHint.orElse(this.maxTokens));
	}

}
