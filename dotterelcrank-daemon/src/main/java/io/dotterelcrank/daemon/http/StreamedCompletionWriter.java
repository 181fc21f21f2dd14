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
 * Writes a generation as server-sent events. The response starts with the first token, so
 * that an earlier failure still gets its own HTTP status. Each event is acknowledged once
 * it has been written, which bounds the number of buffered events. Thread-safe.
 */
final class StreamedCompletionWriter implements GenerationListener {

	private static final String DONE_DATA = "[DONE]";

	private final HttpServerExchange exchange;

	private final String model;

	/** Set before the first token arrives. */
	private volatile EntryProcess.GenerationHandle handle;

	/** {@code null} until the response has started; guarded by this. */
	private ServerSentEventConnection connection;

	/** Whether the event stream or an error response was started; guarded by this. */
	private boolean responseStarted;

	/** Writes that wait for the event stream to open; guarded by this. */
	private final Queue<Consumer<ServerSentEventConnection>> pendingWrites = new ArrayDeque<>();

	/** Confined to the control thread. */
	private String generationId = "";

	StreamedCompletionWriter(HttpServerExchange exchange, String model) {
		this.exchange = exchange;
		this.model = model;
	}

	/**
	 * Sets the handle of the request. Must be called before the first token arrives.
	 * @param value the handle
	 */
	void setHandle(EntryProcess.GenerationHandle value) {
		this.handle = value;
	}

	@Override
	public boolean streaming() {
		return true;
	}

	@Override
	public void tokens(String target, String id, int firstIndex, List<String> tokens) {
		this.generationId = id;
		for (int i = 0; i < tokens.size(); i++) {
			int index = firstIndex + i;
			String data = toJson(CompletionResponse.event(id, this.model, tokens.get(i)));
			String eventId = new EventId(target, id, index).text();
			writeWhenOpen((stream) -> stream.send(data, null, eventId, new AcknowledgeWhenWritten(index + 1)));
		}
	}

	private static String toJson(Object value) {
		return new String(ErrorBody.toJson(value), StandardCharsets.UTF_8);
	}

	@Override
	public void finished(int count, String reason) {
		String data = toJson(CompletionResponse.complete(this.generationId, this.model, "", reason, count));
		writeWhenOpen((stream) -> {
			stream.send(data);
			stream.send(DONE_DATA, null, null, new CloseWhenWritten());
		});
	}

	@Override
	public void failed(Failure failure) {
		synchronized (this) {
			if (!this.responseStarted) {
				this.responseStarted = true;
				this.exchange.dispatch(this.exchange.getIoThread(), () -> ErrorBody.send(this.exchange, failure));
				return;
			}
		}
		String data = toJson(ErrorBody.of(failure));
		writeWhenOpen((stream) -> stream.send(data, "error", null, new CloseWhenWritten()));
	}

	@Override
	public void restarted() {
		throw new IllegalStateException("a streamed generation cannot be restarted: tokens were already sent");
	}

	private synchronized void writeWhenOpen(Consumer<ServerSentEventConnection> write) {
		if (this.connection != null) {
			write.accept(this.connection);
			return;
		}
		this.pendingWrites.add(write);
		if (!this.responseStarted) {
			this.responseStarted = true;
			ServerSentEventHandler handler = new ServerSentEventHandler((opened, lastEventId) -> streamOpened(opened));
			this.exchange.dispatch(this.exchange.getIoThread(), handler);
		}
	}

	private synchronized void streamOpened(ServerSentEventConnection opened) {
		this.connection = opened;
		opened.addCloseTask((closed) -> this.handle.disconnected());
		this.pendingWrites.forEach((write) -> write.accept(opened));
		this.pendingWrites.clear();
	}

	/**
	 * Acknowledges a token once its event has been written.
	 */
	private final class AcknowledgeWhenWritten implements ServerSentEventConnection.EventCallback {

		/** Index after that of the token in the event. */
		private final int nextIndex;

		AcknowledgeWhenWritten(int nextIndex) {
			this.nextIndex = nextIndex;
		}

		@Override
		public void done(ServerSentEventConnection stream, String data, String event, String id) {
			StreamedCompletionWriter.this.handle.acknowledge(this.nextIndex);
		}

		@Override
		public void failed(ServerSentEventConnection stream, String data, String event, String id,
				IOException failure) {
			StreamedCompletionWriter.this.handle.disconnected();
		}

	}

	/**
	 * Closes the stream once its last event has been written.
	 */
	private static final class CloseWhenWritten implements ServerSentEventConnection.EventCallback {

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
