package io.dotterelcrank.process.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.dotterelcrank.process.limit.RequestLimit;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.Ran;

/**
 * Records requests and KV copies; the test triggers each response.
 */
class RecordingTargetClient implements TargetClient {

	/** In the order of sending. */
	private final List<RecordedExchange> exchanges = new ArrayList<>();

	private final List<CopyRequest> copyRequests = new ArrayList<>();

	/** Listeners of the KV copies, in the order of the requests. */
	private final List<Consumer<CopyResult>> copyListeners = new ArrayList<>();

	private final List<String> freedCopies = new ArrayList<>();

	/** Called with each request before it is recorded. */
	private Consumer<TargetRequest> sendCheck = (request) -> {
	};

	void checkSends(Consumer<TargetRequest> check) {
		this.sendCheck = check;
	}

	@Override
	public Exchange send(TargetRequest request, Listener listener) {
		this.sendCheck.accept(request);
		RecordedExchange exchange = new RecordedExchange(request, listener);
		this.exchanges.add(exchange);
		return exchange;
	}

	@Override
	public void copyKv(CopyRequest request, Consumer<CopyResult> listener) {
		this.copyRequests.add(request);
		this.copyListeners.add(listener);
	}

	@Override
	public void freeKvCopy(TargetRegistration source, String handle) {
		this.freedCopies.add(handle);
	}

	/**
	 * Returns the handles of copies that were freed, in order.
	 */
	List<String> freedCopies() {
		return this.freedCopies;
	}

	CopyRequest copyRequest(int index) {
		return this.copyRequests.get(index);
	}

	int copyRequestCount() {
		return this.copyRequests.size();
	}

	void completeCopy(int index, CopyOutcome outcome, String handle) {
		this.copyListeners.get(index).accept(new CopyResult(outcome, Optional.ofNullable(handle)));
	}

	RecordedExchange exchange(int index) {
		return this.exchanges.get(index);
	}

	int sendCount() {
		return this.exchanges.size();
	}

	/**
	 * One exchange, with methods that simulate the target.
	 */
	static final class RecordedExchange implements Exchange {

		private final TargetRequest request;

		private final Listener listener;

		private boolean cancelled;

		private boolean stopExpected;

		/** Whether the target's response is complete or has failed. */
		private boolean ended;

		/** Whether the target may have received bytes of the request. */
		private boolean writeStarted = true;

		/** Limit that the target's responses name. */
		private RequestLimit requestLimit = RequestLimit.NONE;

		/** Time for which the target wants no requests. */
		private long pauseMillis;

		/** Whether the target's responses say that it is draining. */
		private boolean leaving;

		/** Run by each call of {@link #cancel}, after it. */
		private Runnable cancelDefect = () -> {
		};

		/** Run by each call of {@link #setReadEnabled}. */
		private Runnable readPauseDefect = () -> {
		};

		RecordedExchange(TargetRequest request, Listener listener) {
			this.request = request;
			this.listener = listener;
		}

		TargetRequest request() {
			return this.request;
		}

		boolean ended() {
			return this.cancelled || this.ended;
		}

		boolean cancelled() {
			return this.cancelled;
		}

		RecordedExchange withRequestLimit(RequestLimit limit) {
			this.requestLimit = limit;
			return this;
		}

		RecordedExchange withPause(long millis) {
			this.pauseMillis = millis;
			return this;
		}

		RecordedExchange withLeaving() {
			this.leaving = true;
			return this;
		}

		/**
		 * Makes each call of {@link #cancel} fail.
		 */
		void failCancel(Supplier<Error> errors) {
			this.cancelDefect = () -> {
				throw errors.get();
			};
		}

		/**
		 * Makes each call of {@link #setReadEnabled} fail.
		 */
		void failReadPause(Supplier<Error> errors) {
			this.readPauseDefect = () -> {
				throw errors.get();
			};
		}

		void markUnwritten() {
			this.writeStarted = false;
		}

		void respond(int status, String body) {
			this.ended = true;
			this.listener.head(head(status, Ran.YES, true, false));
			this.listener.body(body.getBytes(StandardCharsets.UTF_8));
			this.listener.complete();
		}

		/**
		 * Responds as a connection does: nothing follows what makes the host cancel.
		 */
		void respondUnlessCancelled(int status, String text) {
			this.listener.head(head(status, Ran.YES, true, false));
			if (!this.cancelled) {
				this.listener.body(text.getBytes(StandardCharsets.UTF_8));
				this.ended = true;
				this.listener.complete();
			}
		}

		void beginWrite() {
			this.listener.beforeWrite();
		}

		void refuse(int status) {
			this.ended = true;
			this.listener.head(head(status, Ran.NO, false, false));
		}

		void startStream() {
			this.listener.head(head(200, Ran.YES, true, true));
		}

		void startResponse(boolean eventStream) {
			this.listener.head(head(200, Ran.YES, true, eventStream));
		}

		void sendEvent(int id) {
			if (!this.cancelled) {
				this.listener.body(("id: " + id + "\ndata: t\n\n").getBytes(StandardCharsets.UTF_8));
			}
		}

		void sendBytes(String text) {
			this.listener.body(text.getBytes(StandardCharsets.UTF_8));
		}

		void complete() {
			this.ended = true;
			this.listener.complete();
		}

		void respondUnconfirmed(int status) {
			this.listener.head(head(status, Ran.YES, false, false));
			if (!this.cancelled) {
				complete();
			}
		}

		void fail(Ran ran) {
			this.ended = true;
			this.listener.failed(ran, "test");
		}

		private ResponseHead head(int status, Ran ran, boolean confirmed, boolean eventStream) {
			return new ResponseHead(status, List.of(), ran, status == 421, confirmed, eventStream, this.requestLimit,
					this.leaving, this.pauseMillis);
		}

		@Override
		public void cancel() {
			this.cancelled = true;
			this.cancelDefect.run();
		}

		@Override
		public void setReadEnabled(boolean enabled) {
			// The test sends each piece of a response itself.
			this.readPauseDefect.run();
		}

		@Override
		public void setStopExpected(boolean expected) {
			this.stopExpected = expected;
		}

		boolean stopExpected() {
			return this.stopExpected;
		}

		@Override
		public boolean writeStarted() {
			return this.writeStarted;
		}

	}

}
