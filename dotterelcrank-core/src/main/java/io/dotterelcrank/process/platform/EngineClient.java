package io.dotterelcrank.process.platform;

import java.util.List;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.version.Placement;

/**
 * Client of a model engine. Implementations are thread-safe.
 */
public interface EngineClient {

	/**
	 * Starts a generation. Returns at once; the listener receives the result.
	 * @param generation the request; its id names the stream
	 * @param listener receives tokens and the end, on one thread at a time; may block to
	 * apply backpressure
	 */
	void generate(Generation generation, Listener listener);

	/**
	 * Resumes the stream of a generation.
	 * @param id id of the generation
	 * @param fromIndex index of the first token to receive
	 * @param listener receives tokens and the end
	 */
	void resume(String id, int fromIndex, Listener listener);

	/**
	 * Cancels a generation. Unknown ids are ignored.
	 * @param id id of the generation
	 * @throws PlatformException if the engine cannot be reached
	 */
	void cancel(String id) throws PlatformException;

	/**
	 * Reads the load report, which may be stale.
	 * @return the report
	 * @throws PlatformException if the engine cannot be reached
	 */
	Report report() throws PlatformException;

	/**
	 * Orders the engine to serve a placement.
	 * @param placement the desired end state, with the fencing token of the order
	 * @throws PlatformException if the engine refuses the order or cannot be reached
	 */
	void order(Placement placement) throws PlatformException;

	/**
	 * Receives a stream.
	 */
	interface Listener {

		/**
		 * Receives a token.
		 * @param index its index in the generation, from 0
		 * @param text its text
		 */
		void token(int index, String text);

		/**
		 * The generation completed.
		 * @param count number of tokens in the whole generation
		 * @param reason {@code stop} or {@code length}
		 */
		void finished(int count, String reason);

		/**
		 * The stream failed before the generation completed.
		 * @param failure how it failed
		 * @param message human-readable description
		 */
		void failed(StreamFailure failure, String message);

	}

	/**
	 * How a stream failed.
	 */
	enum StreamFailure {

		/** The engine refused the request before running it. */
		REFUSED,

		/** The engine was not reached, so nothing ran. */
		NOT_REACHED,

		/** The connection broke; the generation may still be running. */
		INTERRUPTED,

		/** The engine no longer knows the generation. */
		UNKNOWN_GENERATION

	}

	/**
	 * Load report of an engine. Immutable.
	 *
	 * @param memoryTokens size of the KV cache memory, in tokens
	 * @param usedTokens memory in use, in tokens
	 * @param running number of running generations
	 * @param waiting number of generations waiting inside the engine
	 * @param preemptions preemptions since the engine started
	 * @param stepMillis duration of recent steps, in milliseconds
	 * @param generations ids of the generations that the engine holds
	 * @param held placement that the engine currently serves
	 * @param cacheEvents prompt prefixes cached lately; may be late and incomplete
	 */
	record Report(long memoryTokens, long usedTokens, int running, int waiting, long preemptions, double stepMillis,
			List<String> generations, Placement held, List<String> cacheEvents) {
	}

}
