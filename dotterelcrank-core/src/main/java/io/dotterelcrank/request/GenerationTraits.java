package io.dotterelcrank.request;

import java.util.OptionalLong;

/**
 * Size of a generation as sent by the caller. Immutable.
 *
 * @param promptTokens length of the prompt in tokens
 * @param maxTokens maximum number of output tokens
 * @param outputTokensHint caller's estimate of the output length; its median is right,
 * but single estimates are often far off
 */
public record GenerationTraits(long promptTokens, long maxTokens, OptionalLong outputTokensHint) {

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
