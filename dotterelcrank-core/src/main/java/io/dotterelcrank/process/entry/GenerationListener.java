package io.dotterelcrank.process.entry;

import java.util.List;

import io.dotterelcrank.request.Failure;

/**
 * The caller of a generation. Called on the control thread; must not block.
 */
public interface GenerationListener {

	/**
	 * Tells whether tokens are shown as they come. Tokens of a caller that waits for the
	 * whole answer may be taken back until the end.
	 * @return {@code false} for a caller that waits for the whole answer
	 */
	boolean streaming();

	/**
	 * Tokens, each once and in order.
	 * @param target name of the target
	 * @param generation id of the generation
	 * @param firstIndex index of the first token
	 * @param tokens the tokens
	 */
	void tokens(String target, String generation, int firstIndex, List<String> tokens);

	/**
	 * The generation is complete.
	 * @param count number of tokens in the whole generation
	 * @param reason {@code stop} or {@code length}
	 */
	void finished(int count, String reason);

	/**
	 * The request failed.
	 * @param failure how it failed
	 */
	void failed(Failure failure);

	/**
	 * The generation starts again; tokens passed so far are void. Only called if tokens
	 * are not shown as they come.
	 */
	void restarted();

}
