package io.dotterelcrank.process.entry;

import java.util.List;

import io.dotterelcrank.request.Failure;

/**
 * Receives the tokens and the result of a generation. Called on the control thread; must
 * not block.
 */
public interface GenerationListener {

	/**
	 * Returns whether tokens are sent to the caller as they arrive. Otherwise a
	 * generation may be restarted until it is complete.
	 * @return {@code false} for a caller that waits for the whole response
	 */
	boolean streaming();

	/**
	 * Receives tokens, each once and in order.
	 * @param target name of the target
	 * @param generation id of the generation
	 * @param firstIndex index of the first token
	 * @param tokens the tokens
	 */
	void tokens(String target, String generation, int firstIndex, List<String> tokens);

	/**
	 * Called when the generation is complete.
	 * @param count number of tokens in the whole generation
	 * @param reason {@code stop} or {@code length}
	 */
	void finished(int count, String reason);

	/**
	 * Called when the request has failed.
	 * @param failure the failure
	 */
	void failed(Failure failure);

	/**
	 * Called when the generation is restarted: tokens received so far must be discarded.
	 * Not called if {@link #streaming()}.
	 */
	void restarted();

}
