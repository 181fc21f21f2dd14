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

import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.process.platform.SharedJsonMapper;

/**
 * Writes the stream of a generation as lines of JSON. Lines wait while the client reads
 * slowly. Thread-safe.
 */
final class LineStream implements EngineClient.Listener, IoCallback {

	/** Status of a generation that is not known. */
	private static final int NOT_FOUND = 404;

	/** Status of a refused generation. */
	private static final int UNAVAILABLE = 503;

	/** The exchange. */
	private final HttpServerExchange exchange;

	/** Lines not yet written; guarded by this. */
	private final Queue<String> lines = new ArrayDeque<>();

	/** Whether a write is in progress; guarded by this. */
	private boolean writing;

	/** Whether no more lines follow; guarded by this. */
	private boolean ended;

	/** Whether the response has begun; guarded by this. */
	private boolean begun;

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
	public synchronized void failed(EngineClient.StreamFailure end, String message) {
		if (!this.begun) {
			this.begun = true;
			this.ended = true;
			boolean unknown = end == EngineClient.StreamFailure.UNKNOWN_GENERATION;
			this.exchange.setStatusCode(unknown ? NOT_FOUND : UNAVAILABLE);
			this.exchange.getResponseSender().send(message);
			return;
		}
		closeConnection();
	}

	private synchronized void add(StreamLine line) {
		try {
			this.lines.add(SharedJsonMapper.mapper().writeValueAsString(line) + '\n');
			this.begun = true;
			write();
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("stream lines can always be written", ex);
		}
	}

	private synchronized void end() {
		this.ended = true;
		write();
	}

	private synchronized void write() {
		if (this.writing) {
			return;
		}
		if (this.lines.isEmpty()) {
			if (this.ended) {
				this.exchange.endExchange();
			}
			return;
		}
		this.writing = true;
		StringBuilder text = new StringBuilder();
		while (!this.lines.isEmpty()) {
			text.append(this.lines.remove());
		}
		this.exchange.getResponseSender().send(ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.UTF_8)), this);
	}

	@Override
	public synchronized void onComplete(HttpServerExchange done, Sender sender) {
		this.writing = false;
		write();
	}

	@Override
	public synchronized void onException(HttpServerExchange failed, Sender sender, IOException exception) {
		this.ended = true;
		this.lines.clear();
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
	 * One line. Immutable.
	 *
	 * @param index index of the token, or -1 at the end
	 * @param text text of the token, or {@code null} at the end
	 * @param reason why the generation ended, or {@code null} before
	 * @param count number of tokens in the whole generation, or 0 before the end
	 */
	private record StreamLine(int index, String text, String reason, int count) {
	}

}
