package io.dotterelcrank.request;

import java.util.List;

/**
 * Puts the tokens of one generation in order and removes repeated ones. Invariant: the
 * tokens returned so far are those with the indices 0 to {@link #nextIndex()}, each once.
 * Not thread-safe; the owner confines it to one thread at a time.
 */
public final class TokenSequencer {

	/** Id of the generation; batches of other generations are dropped. */
	private final String generation;

	/** Index of the next token to return. */
	private int nextIndex;

	/** Number of tokens in the whole generation, or -1 while it is unknown. */
	private int total = -1;

	private TokenSequencer(String generation, int nextIndex) {
		this.generation = generation;
		this.nextIndex = nextIndex;
	}

	/**
	 * Creates a sequencer.
	 * @param generation id of the generation
	 * @param nextIndex index of the first token wanted
	 * @return a new sequencer
	 */
	public static TokenSequencer of(String generation, int nextIndex) {
		return new TokenSequencer(generation, nextIndex);
	}

	/**
	 * Takes in a batch, which may repeat tokens, or belong to another generation.
	 * @param id generation that the batch belongs to
	 * @param firstIndex index of the batch's first token
	 * @param tokens the tokens
	 * @return the tokens that are next in order; empty if there are none
	 */
	public List<String> accept(String id, int firstIndex, List<String> tokens) {
		int skip = this.nextIndex - firstIndex;
		boolean foreign = !this.generation.equals(id);
		if (foreign || skip < 0 || skip >= tokens.size()) {
			return List.of();
		}
		List<String> fresh = tokens.subList(skip, tokens.size());
		this.nextIndex += fresh.size();
		return fresh;
	}

	/**
	 * Takes in the end of the generation.
	 * @param id generation that ended
	 * @param count number of tokens in the whole generation
	 */
	public void end(String id, int count) {
		if (this.generation.equals(id)) {
			this.total = count;
		}
	}

	/**
	 * Tells whether a batch leaves a gap, so that the generation must be resumed.
	 * @param id generation that the batch belongs to
	 * @param firstIndex index of the batch's first token
	 * @return {@code true} if tokens before the batch are missing
	 */
	public boolean hasGapBefore(String id, int firstIndex) {
		return this.generation.equals(id) && firstIndex > this.nextIndex;
	}

	/**
	 * Tells whether every token has been returned.
	 * @return {@code true} once the end is known and reached
	 */
	public boolean complete() {
		return this.total >= 0 && this.nextIndex >= this.total;
	}

	/**
	 * Returns the index of the next token.
	 * @return a count of the tokens returned so far, plus the first index wanted
	 */
	public int nextIndex() {
		return this.nextIndex;
	}

	/**
	 * Returns the id of the generation.
	 * @return the attempt id
	 */
	public String generation() {
		return this.generation;
	}

}
