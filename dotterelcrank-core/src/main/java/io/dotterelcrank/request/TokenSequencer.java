package io.dotterelcrank.request;

import java.util.List;

/**
 * Delivers the tokens of one generation in order and without duplicates. Invariant: the
 * tokens returned so far are those from the first index requested (0 unless the
 * generation is resumed) up to, but not including, {@link #nextIndex()}, each once. Not
 * thread-safe; its owner confines it to one thread at a time.
 */
public final class TokenSequencer {

	/** Id; batches of other generations are dropped. */
	private final String generation;

	private int nextIndex;

	/** Length of the whole generation, or -1 while it is unknown. */
	private int tokenCount = -1;

	private TokenSequencer(String generation, int nextIndex) {
		this.generation = generation;
		this.nextIndex = nextIndex;
	}

	/**
	 * Creates a sequencer.
	 * @param generation id of the generation
	 * @param nextIndex index of the first token to deliver
	 * @return a new sequencer
	 */
	public static TokenSequencer of(String generation, int nextIndex) {
		return new TokenSequencer(generation, nextIndex);
	}

	/**
	 * Accepts a batch, which may repeat tokens or belong to another generation. A batch
	 * that leaves a gap is dropped.
	 * @param id generation that the batch belongs to
	 * @param firstIndex index of the batch's first token
	 * @param tokens tokens of the batch
	 * @return the tokens not delivered before, in order; may be empty
	 */
	public List<String> accept(String id, int firstIndex, List<String> tokens) {
		int repeatedTokens = this.nextIndex - firstIndex;
		boolean otherGeneration = !this.generation.equals(id);
		if (otherGeneration || repeatedTokens < 0 || repeatedTokens >= tokens.size()) {
			return List.of();
		}
		List<String> newTokens = tokens.subList(repeatedTokens, tokens.size());
		this.nextIndex += newTokens.size();
		return newTokens;
	}

	/**
	 * Records the end of the generation.
	 * @param id generation that ended
	 * @param count number of tokens in the whole generation
	 */
	public void end(String id, int count) {
		if (this.generation.equals(id)) {
			this.tokenCount = count;
		}
	}

	/**
	 * Returns whether tokens are missing before a batch, so that the generation must be
	 * resumed.
	 * @param id generation that the batch belongs to
	 * @param firstIndex index of the batch's first token
	 * @return {@code true} if the batch is of this generation and leaves a gap
	 */
	public boolean hasGapBefore(String id, int firstIndex) {
		return this.generation.equals(id) && firstIndex > this.nextIndex;
	}

	/**
	 * Returns whether every token has been delivered.
	 * @return {@code true} once the length is known and reached
	 */
	public boolean complete() {
		return this.tokenCount >= 0 && this.nextIndex >= this.tokenCount;
	}

	/**
	 * Returns the index of the next token to deliver.
	 * @return the first index requested, plus the number of tokens delivered so far
	 */
	public int nextIndex() {
		return this.nextIndex;
	}

	/**
	 * Returns the id of the generation.
	 * @return id of the attempt
	 */
	public String generation() {
		return this.generation;
	}

}
