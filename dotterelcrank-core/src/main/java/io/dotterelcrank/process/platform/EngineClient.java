package io.dotterelcrank.process.platform;

import java.util.List;

import io.dotterelcrank.request.Generation;
import io.dotterelcrank.version.Placement;

/**
 * A model engine. Implementations are thread-safe.
 */
public interface EngineClient {

	/**
	 * Starts a generation. Returns at once; the listener hears the rest.
	 * @param generation the request; its id names the stream
	 * @param listener hears tokens and end, on one thread at a time; may block to slow
	 * the engine down
	 */
	void generate(Generation generation, Listener listener);

	/**
	 * Continues the stream of a generation.
	 * @param id id of the generation
	 * @param fromIndex index of the first token wanted
	 * @param listener hears tokens and end
	 */
	void resume(String id, int fromIndex, Listener listener);

	/**
	 * Cancels a generation. Cancelling an unknown one does nothing.
	 * @param id id of the generation
	 * @throws PlatformException if the engine cannot be reached
	 */
	void cancel(String id) throws PlatformException;

	/**
	 * Reads the load report, which may lag.
	 * @return the report
	 * @throws PlatformException if the engine cannot be reached
	 */
	Report report() throws PlatformException;

	/**
	 * Gives an order to load or change something.
	 * @param placement the wanted end state, with the fencing number of the order
	 * @throws PlatformException if the engine refuses the order or cannot be reached
	 */
	void order(Placement placement) throws PlatformException;

	/**
	 * Hears a stream.
	 */
	interface Listener {

		/**
		 * A token arrived.
		 * @param index its index
		 * @param text its text
		 */
		void token(int index, String text);

		/**
		 * The generation is complete.
		 * @param count number of tokens in the whole generation
		 * @param reason {@code stop} or {@code length}
		 */
		void finished(int count, String reason);

		/**
		 * The stream ended early.
		 * @param end how it ended
		 * @param message what happened, for people
		 */
		void failed(StreamFailure end, String message);

	}

	/**
	 * How a stream ended early.
	 */
	enum StreamFailure {

		/** The engine refused the request before running it. */
		REFUSED,

		/** The engine was never reached, so nothing ran. */
		NOT_REACHED,

		/** The connection broke; the generation may still be running. */
		INTERRUPTED,

		/** The engine does not know the generation any more. */
		UNKNOWN_GENERATION

	}

	/**
	 * Load report of an engine. Immutable.
	 *
	 * @param memoryTokens size of the memory, in tokens
	 * @param usedTokens memory in use, in tokens
	 * @param running number of running generations
	 * @param waiting number of generations waiting inside the engine
	 * @param preemptions preemptions since the engine started
	 * @param stepMillis duration of recent steps, in milliseconds
	 * @param generations ids of the generations that the engine holds
	 * @param held what the engine holds
	 * @param cacheEvents latest prompt prefixes cached; late and with gaps
	 */
	record Report(long memoryTokens, long usedTokens, int running, int waiting, long preemptions, double stepMillis,
			List<String> generations, Placement held, List<String> cacheEvents) {
	}

}
