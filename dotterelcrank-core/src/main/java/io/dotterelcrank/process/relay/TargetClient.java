package io.dotterelcrank.process.relay;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.dotterelcrank.process.limit.RequestLimit;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.Ran;

/**
 * Sends requests to targets. Confined to the traffic thread, where it also notifies
 * listeners, never before the call that registered them has returned.
 */
public interface TargetClient {

	/**
	 * Sends a request.
	 * @param request request and its target
	 * @param listener notified of the response
	 * @return handle of the exchange
	 */
	Exchange send(TargetRequest request, Listener listener);

	/**
	 * Asks an engine to copy the KV cache of a generation to another engine.
	 * @param request generation, its engine, and the engine that gets the copy
	 * @param listener called once with the result
	 */
	void copyKv(CopyRequest request, Consumer<CopyResult> listener);

	/**
	 * Frees the memory of a KV copy that is not used, at the engine that made it and at
	 * its holder. Without an answer both free it some seconds later.
	 * @param source engine that made the copy
	 * @param handle name of the copy
	 */
	void freeKvCopy(TargetRegistration source, String handle);

	/**
	 * Request for a KV copy. Immutable.
	 *
	 * @param attemptId id of the attempt that started the generation
	 * @param source engine that runs the generation
	 * @param holder engine that is to hold the copy
	 * @param stopsFirst whether the source stops the generation before it copies; if not,
	 * the generation keeps running
	 */
	record CopyRequest(String attemptId, TargetRegistration source, TargetRegistration holder, boolean stopsFirst) {
	}

	/**
	 * Result of a KV copy. Immutable.
	 *
	 * @param outcome whether the copy was made, and if not, why
	 * @param handle name of the copy at the source; empty if no copy was made
	 */
	record CopyResult(CopyOutcome outcome, Optional<String> handle) {
	}

	/**
	 * Outcome of a KV copy. The names are part of metric names. Immutable.
	 */
	enum CopyOutcome {

		/** The other engine holds the copy. */
		COPIED,

		/** The source does not run the generation. */
		UNKNOWN_RUN,

		/** An earlier copy of the generation is still being made. */
		BUSY,

		/** The other engine lacks free memory, or the source cannot reach it. */
		NO_ROOM,

		/** No connection to the source could be opened, so that it knows of no call. */
		UNREACHABLE,

		/** The source did not respond, or its response was invalid. */
		UNANSWERED

	}

	/**
	 * A request that was sent, until its response is complete.
	 */
	interface Exchange {

		/**
		 * Cancels the exchange and closes its connection. The listener is not notified
		 * any more.
		 */
		void cancel();

		/**
		 * Pauses or resumes reading the response.
		 * @param enabled {@code false} to pause
		 */
		void setReadEnabled(boolean enabled);

		/**
		 * Changes whether the target has been asked to stop, so that the end of its
		 * connection is not the end of its response.
		 * @param expected whether it may stop
		 */
		void setStopExpected(boolean expected);

		/**
		 * Returns whether the target may have received the request.
		 * @return {@code false} until the first byte is written
		 */
		boolean writeStarted();

		/**
		 * An exchange that is being started. If that fails unexpectedly, nobody knows
		 * whether the target has received the request.
		 */
		enum Starting implements Exchange {

			/** Stateless; shared by all attempts. */
			INSTANCE;

			@Override
			public void cancel() {
				// There is no connection to close.
			}

			@Override
			public void setReadEnabled(boolean enabled) {
				// There is nothing to read.
			}

			@Override
			public void setStopExpected(boolean expected) {
				// There is no response yet.
			}

			@Override
			public boolean writeStarted() {
				return true;
			}

		}

	}

	/**
	 * Notified of one exchange: {@link #beforeWrite}, {@link #head}, any number of
	 * {@link #body}, then {@link #complete}. {@link #failed} may replace any of these and
	 * is then the last.
	 */
	interface Listener {

		/**
		 * Called right before the first byte of the request is written. Nothing is
		 * written if the exchange is cancelled meanwhile.
		 */
		void beforeWrite();

		/**
		 * Called when the head of the response has arrived.
		 * @param head status, headers and whether the target ran the request
		 */
		void head(ResponseHead head);

		/**
		 * Called for each piece of the response body.
		 * @param piece bytes, not modified afterwards
		 */
		void body(byte[] piece);

		/**
		 * Called when the response is complete.
		 */
		void complete();

		/**
		 * Called when no complete response will arrive.
		 * @param ran whether the target has run the request
		 * @param reason cause of the failure, for logs and the error message
		 */
		void failed(Ran ran, String reason);

	}

	/**
	 * Head of a response. Immutable.
	 *
	 * @param status HTTP status
	 * @param headers headers to forward to the caller
	 * @param ran {@link Ran#NO} if the target states that it did not run the request
	 * @param misdirected whether another target than the expected one responded
	 * @param confirmed whether the target confirmed the response as its own
	 * @param eventStream whether the body is a stream of server-sent events
	 * @param requestLimit request rate that the target names for all hosts together
	 * @param leaving whether the target says that it is draining
	 * @param pauseMillis time for which the target wants no requests from this host, in
	 * milliseconds; 0 if it names none
	 */
	record ResponseHead(int status, List<Header> headers, Ran ran, boolean misdirected, boolean confirmed,
			boolean eventStream, RequestLimit requestLimit, boolean leaving, long pauseMillis) {

		/**
		 * Returns the head of a response that has no body, and so no events, whatever its
		 * headers say.
		 * @return an equal head, but for {@link #eventStream}
		 */
		public ResponseHead withoutEvents() {
			return new ResponseHead(this.status, this.headers, this.ran, this.misdirected, this.confirmed, false,
					this.requestLimit, this.leaving, this.pauseMillis);
		}

		/**
		 * Returns whether the status is a success.
		 * @return {@code true} for a status from 200 to 299
		 */
		public boolean success() {
			return this.status >= 200 && this.status < 300;
		}

		/**
		 * Returns whether callers take the status as a promise that the request has not
		 * run and never will.
		 * @return {@code true} for 408, 421, 429 and 503
		 */
		public boolean refusal() {
			return this.status == 408 || this.status == 421 || this.status == 429 || this.status == 503;
		}

		/**
		 * Returns whether the status is a server error.
		 * @return {@code true} for a status of 500 or more
		 */
		public boolean serverError() {
			return this.status >= 500;
		}

	}

}
