package io.dotterelcrank.daemon.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.sse.ServerSentEventConnection;
import io.undertow.server.handlers.sse.ServerSentEventHandler;

import io.dotterelcrank.process.entry.EntryProcess;
import io.dotterelcrank.process.entry.GenerationListener;
import io.dotterelcrank.request.EventId;
import io.dotterelcrank.request.Failure;

/**
 * A caller that reads tokens as server-sent events. The response begins with the first
 * token, so that a failure before it has a status of its own. How far the caller has read
 * is told when an event has been written; that bounds what waits here. Thread-safe.
 */
final class StreamingCaller implements GenerationListener {

	/** Data of the last event. */
	private static final String DONE = "[DONE]";

	/** The exchange. */
	private final HttpServerExchange exchange;

	/** Model asked for. */
	private final String model;

	/** Handle of the request; set before the first token arrives. */
	private volatile EntryProcess.GenerationHandle handle;

	/** The event stream, once it has begun; guarded by this. */
	private ServerSentEventConnection events;

	/** Whether the stream has been asked for; guarded by this. */
	private boolean begun;

	/** What to do when the stream has begun; guarded by this. */
	private final Queue<Consumer<ServerSentEventConnection>> early = new ArrayDeque<>();

	/** Id of the generation; belongs to the control thread. */
	private String generation = "";

	StreamingCaller(HttpServerExchange exchange, String model) {
		this.exchange = exchange;
		this.model = model;
	}

	/**
	 * Sets the handle of the request.
	 * @param value the handle
	 */
	void handle(EntryProcess.GenerationHandle value) {
		this.handle = value;
	}

	@Override
	public boolean streaming() {
		return true;
	}

	@Override
	public void tokens(String target, String id, int firstIndex, List<String> tokens) {
		this.generation = id;
		for (int i = 0; i < tokens.size(); i++) {
			int index = firstIndex + i;
			String data = text(CompletionAnswer.event(id, this.model, tokens.get(i)));
			String eventId = new EventId(target, id, index).text();
			withEvents((stream) -> stream.send(data, null, eventId, new Written(index + 1)));
		}
	}

	private static String text(Object value) {
		return new String(ErrorBody.json(value), StandardCharsets.UTF_8);
	}

	@Override
	public void finished(int count, String reason) {
		String data = text(CompletionAnswer.end(this.generation, this.model, "", reason, count));
		withEvents((stream) -> {
			stream.send(data);
			stream.send(DONE, null, null, new Closing());
		});
	}

	@Override
	public void failed(Failure failure) {
		synchronized (this) {
			if (!this.begun) {
				this.begun = true;
				this.exchange.dispatch(this.exchange.getIoThread(), () -> ErrorBody.send(this.exchange, failure));
				return;
			}
		}
		String data = text(ErrorBody.of(failure));
		withEvents((stream) -> stream.send(data, "error", null, new Closing()));
	}

	@Override
	public void restarted() {
		throw new IllegalStateException("tokens that were shown cannot be taken back");
	}

	private synchronized void withEvents(Consumer<ServerSentEventConnection> action) {
		if (this.events != null) {
			action.accept(this.events);
			return;
		}
		this.early.add(action);
		if (!this.begun) {
			this.begun = true;
			ServerSentEventHandler handler = new ServerSentEventHandler((stream, lastEventId) -> opened(stream));
			this.exchange.dispatch(this.exchange.getIoThread(), handler);
		}
	}

	private synchronized void opened(ServerSentEventConnection stream) {
		this.events = stream;
		stream.addCloseTask((closed) -> this.handle.disconnected());
		this.early.forEach((action) -> action.accept(stream));
		this.early.clear();
	}

	/**
	 * Tells that an event has been written.
	 */
	private final class Written implements ServerSentEventConnection.EventCallback {

		/** Index of the token after the one written. */
		private final int nextIndex;

		Written(int nextIndex) {
			this.nextIndex = nextIndex;
		}

		@Override
		public void done(ServerSentEventConnection stream, String data, String event, String id) {
			StreamingCaller.this.handle.acknowledge(this.nextIndex);
		}

		@Override
		public void failed(ServerSentEventConnection stream, String data, String event, String id,
				IOException failure) {
			StreamingCaller.this.handle.disconnected();
		}

	}

	/**
	 * Closes the stream after its last event.
	 */
	private static final class Closing implements ServerSentEventConnection.EventCallback {

		@Override
		public void done(ServerSentEventConnection stream, String data, String event, String id) {
			stream.shutdown();
		}

		@Override
		public void failed(ServerSentEventConnection stream, String data, String event, String id,
				IOException failure) {
			stream.shutdown();
		}

	}

}
