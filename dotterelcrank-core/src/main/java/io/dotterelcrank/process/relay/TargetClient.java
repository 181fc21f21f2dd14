package io.dotterelcrank.process.relay;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.Ran;

/**
 * Sends requests to targets. Belongs to the traffic thread, and tells listeners there,
 * never before the call that they belong to has returned.
 */
public interface TargetClient {

	/**
	 * Sends a request.
	 * @param request the request
	 * @param listener hears of the answer
	 * @return a handle of the exchange
	 */
	Exchange send(TargetRequest request, Listener listener);

	/**
	 * Has an engine copy the memory of a run to another engine, while the run goes on.
	 * @param request what to copy where
	 * @param listener hears of the outcome, once
	 */
	void copyKv(CopyRequest request, Consumer<CopyResult> listener);

	/**
	 * A copy of a run's memory that is asked for. Immutable.
	 *
	 * @param attemptId id of the attempt that started the run
	 * @param source engine that runs it
	 * @param holder engine that is to hold the copy
	 */
	record CopyRequest(String attemptId, TargetRegistration source, TargetRegistration holder) {
	}

	/**
	 * Outcome of a copy. Immutable.
	 *
	 * @param outcome what happened
	 * @param handle name of the copy at the source, if there is one
	 */
	record CopyResult(CopyOutcome outcome, Optional<String> handle) {
	}

	/**
	 * What happened to a copy. Immutable.
	 */
	enum CopyOutcome {

		/** The holder has it. */
		COPIED,

		/** The source runs no such request. */
		UNKNOWN_RUN,

		/** An earlier copy of the run is under way. */
		BUSY,

		/** The holder has no room, or the source cannot reach it. */
		NO_ROOM,

		/** The source did not answer, or not as expected. */
		UNANSWERED

	}

	/**
	 * A request that was sent.
	 */
	interface Exchange {

		/**
		 * Gives the exchange up and closes its connection. The listener hears nothing
		 * more.
		 */
		void cancel();

		/**
		 * Stops or continues reading the answer.
		 * @param reading whether to read
		 */
		void setReadEnabled(boolean reading);

		/**
		 * Tells whether the target may have received the request.
		 * @return {@code false} until the first byte is written
		 */
		boolean writeStarted();

	}

	/**
	 * Hears of one answer: {@link #head}, any number of {@link #body}, then
	 * {@link #complete}; {@link #failed} instead of any of these ends it.
	 */
	interface Listener {

		/**
		 * The head of the answer arrived.
		 * @param head the head
		 */
		void head(ResponseHead head);

		/**
		 * A piece of the answer's body arrived.
		 * @param piece bytes, not modified afterwards
		 */
		void body(byte[] piece);

		/**
		 * The answer is whole.
		 */
		void complete();

		/**
		 * No answer, or no whole one, will come.
		 * @param ran whether the target has run the request
		 * @param reason what happened
		 */
		void failed(Ran ran, String reason);

	}

	/**
	 * Head of an answer. Immutable.
	 *
	 * @param status the HTTP status
	 * @param headers headers to pass on to the caller
	 * @param ran {@link Ran#NO} if the target says that it did not run the request
	 * @param misdirected whether another target than the expected one answered
	 * @param sealed whether the target vouches for the answer
	 * @param eventStream whether the body is a stream of events
	 */
	record ResponseHead(int status, List<Header> headers, Ran ran, boolean misdirected, boolean sealed,
			boolean eventStream) {

		/**
		 * Tells whether the target has answered with success.
		 * @return {@code true} for a status from 200 to 299
		 */
		public boolean success() {
			return this.status >= 200 && this.status < 300;
		}

	}

}
