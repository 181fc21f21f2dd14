package io.dotterelcrank.process.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.dotterelcrank.request.Ran;

/**
 * Targets that keep what they are sent, and answer when told to.
 */
final class RecordingTargets implements TargetClient {

	/** Exchanges in the order in which they were sent. */
	private final List<Sent> sent = new ArrayList<>();

	/** Copies that were asked for. */
	private final List<CopyRequest> copies = new ArrayList<>();

	/** Hear of the copies' outcomes. */
	private final List<Consumer<CopyResult>> copyListeners = new ArrayList<>();

	@Override
	public Exchange send(TargetRequest request, Listener listener) {
		Sent exchange = new Sent(request, listener);
		this.sent.add(exchange);
		return exchange;
	}

	@Override
	public void copyKv(CopyRequest request, Consumer<CopyResult> listener) {
		this.copies.add(request);
		this.copyListeners.add(listener);
	}

	CopyRequest copy(int index) {
		return this.copies.get(index);
	}

	int copies() {
		return this.copies.size();
	}

	void answerCopy(int index, CopyOutcome outcome, String handle) {
		this.copyListeners.get(index).accept(new CopyResult(outcome, Optional.ofNullable(handle)));
	}

	Sent sent(int index) {
		return this.sent.get(index);
	}

	int count() {
		return this.sent.size();
	}

	/**
	 * One exchange.
	 */
	static final class Sent implements Exchange {

		/** The request. */
		private final TargetRequest request;

		/** Hears of the answer. */
		private final Listener listener;

		/** Whether the exchange was given up. */
		private boolean cancelled;

		/** Whether bytes have left. */
		private boolean written = true;

		Sent(TargetRequest request, Listener listener) {
			this.request = request;
			this.listener = listener;
		}

		TargetRequest request() {
			return this.request;
		}

		boolean cancelled() {
			return this.cancelled;
		}

		void unwritten() {
			this.written = false;
		}

		void answer(int status, String body) {
			this.listener.head(head(status, Ran.YES, true, false));
			this.listener.body(body.getBytes(StandardCharsets.UTF_8));
			this.listener.complete();
		}

		void refuse(int status) {
			this.listener.head(head(status, Ran.NO, false, false));
		}

		void stream() {
			this.listener.head(head(200, Ran.YES, true, true));
		}

		void event(int id) {
			if (!this.cancelled) {
				this.listener.body(("id: " + id + "\ndata: t\n\n").getBytes(StandardCharsets.UTF_8));
			}
		}

		void bytes(String text) {
			this.listener.body(text.getBytes(StandardCharsets.UTF_8));
		}

		void complete() {
			this.listener.complete();
		}

		void unsealed(int status) {
			this.listener.head(head(status, Ran.YES, false, false));
		}

		void fail(Ran ran) {
			this.listener.failed(ran, "test");
		}

		private static ResponseHead head(int status, Ran ran, boolean sealed, boolean events) {
			return new ResponseHead(status, List.of(), ran, status == 421, sealed, events);
		}

		@Override
		public void cancel() {
			this.cancelled = true;
		}

		@Override
		public void setReadEnabled(boolean reading) {
			// Answers come when the test sends them.
		}

		@Override
		public boolean writeStarted() {
			return this.written;
		}

	}

}
