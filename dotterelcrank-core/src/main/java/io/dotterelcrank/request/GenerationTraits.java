package io.dotterelcrank.request;

import java.util.OptionalLong;

/**
 * What a caller tells of a generation. Immutable.
 *
 * @param promptTokens tokens of the prompt
 * @param maxTokens largest number of tokens to generate
 * @param outputTokensHint caller's estimate of the tokens generated; right at the median,
 * and often far off
 */
public record GenerationTraits(long promptTokens, long maxTokens, OptionalLong outputTokensHint) {

	/**
	 * Returns the number of tokens that the generation probably has in the end.
	 * @return prompt and estimated output, in tokens
	 */
	public long expectedTotalTokens() {
		return this.promptTokens + expectedOutputTokens();
	}

	/**
	 * Returns the number of tokens that are probably generated.
	 * @return the estimate if there is one, at most the maximum
	 */
	public long expectedOutputTokens() {
		return Math.min(this.maxTokens, this.outputTokensHint.orElse(this.maxTokens));
	}

}
