package io.dotterelcrank.standin.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;

import io.dotterelcrank.common.SharedJsonMapper;
import io.dotterelcrank.process.platform.EngineClient;

/**
 * Writes the stream of a generation as lines of JSON. Buffers lines, without a limit,
 * while the client reads slowly. Thread-safe.
 */
final class LineStream implements EngineClient.Listener, IoCallback {

	/** Status of an unknown generation. */
	private static final int NOT_FOUND = 404;

	/** Status of any other failure before the first line. */
	private static final int UNAVAILABLE = 503;

	private final HttpServerExchange exchange;

	/** Lines not yet written; guarded by this. */
	private final Queue<String> pendingLines = new ArrayDeque<>();

	/** Whether a write is in progress; guarded by this. */
	private boolean writeInProgress;

	/** Whether no more lines follow; guarded by this. */
	private boolean ended;

	/** Whether the response has begun; guarded by this. */
	private boolean responseStarted;

	LineStream(HttpServerExchange exchange) {
		this.exchange = exchange;
	}

	@Override
	public void token(int index, String text) {
		add(new StreamLine(index, text, null, 0));
	}

	@Override
	public void finished(int count, String reason) {
		add(new StreamLine(-1, null, reason, count));
		end();
	}

	@Override
	public synchronized void failed(EngineClient.StreamFailure failure, String message) {
		if (!this.responseStarted) {
			this.responseStarted = true;
			this.ended = true;
			boolean unknown = failure == EngineClient.StreamFailure.UNKNOWN_GENERATION;
			this.exchange.setStatusCode(unknown ? NOT_FOUND : UNAVAILABLE);
			this.exchange.getResponseSender().send(message);
			return;
		}
		closeConnection();
	}

	private synchronized void add(StreamLine line) {
		try {
			this.pendingLines.add(SharedJsonMapper.mapper().writeValueAsString(line) + '\n');
			this.responseStarted = true;
			writePending();
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot serialise a stream line", ex);
		}
	}

	private synchronized void end() {
		this.ended = true;
		writePending();
	}

	private synchronized void writePending() {
		if (this.writeInProgress) {
			return;
		}
		if (this.pendingLines.isEmpty()) {
			if (this.ended) {
				this.exchange.endExchange();
			}
			return;
		}
		this.writeInProgress = true;
		StringBuilder text = new StringBuilder();
		while (!this.pendingLines.isEmpty()) {
			text.append(this.pendingLines.remove());
		}
		this.exchange.getResponseSender().send(ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.UTF_8)), this);
	}

	@Override
	public synchronized void onComplete(HttpServerExchange done, Sender sender) {
		this.writeInProgress = false;
		writePending();
	}

	@Override
	public synchronized void onException(HttpServerExchange failed, Sender sender, IOException exception) {
		this.ended = true;
		this.pendingLines.clear();
		closeConnection();
	}

	private void closeConnection() {
		try {
			this.exchange.getConnection().close();
		}
		catch (IOException ex) {
			this.exchange.endExchange();
		}
	}

	/**
	 * A line of the stream. Immutable.
	 *
	 * @param index index of the token, or -1 in the last line
	 * @param text text of the token, or {@code null} in the last line
	 * @param reason why the generation ended; {@code null} before the last line
	 * @param count number of tokens in the whole generation; 0 before the last line
	 */
	private record StreamLine(int index, String text, String reason, int count) {
	}

}
