package io.dotterelcrank.daemon.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;

import io.dotterelcrank.process.platform.SharedJsonMapper;
import io.dotterelcrank.request.EventId;
import io.dotterelcrank.request.RequestException;

/**
 * What a caller received. Thread-safe.
 */
public final class Received {

	/** Status of a whole answer. */
	private static final int OK = 200;

	/** When the request was sent, in milliseconds. */
	private final long sentMillis;

	/** Breaks the connection. */
	private final Runnable cancel;

	/** Complete when the answer has ended. */
	private final CompletableFuture<Received> end = new CompletableFuture<>();

	/** When each token arrived, in milliseconds; guarded by this. */
	private final List<Long> tokenMillis = new ArrayList<>();

	/** Event id of each token; guarded by this. */
	private final List<String> ids = new ArrayList<>();

	/** Text of each token; guarded by this. */
	private final List<String> texts = new ArrayList<>();

	/** HTTP status, or 0 before there is one; guarded by this. */
	private int status;

	/** Body of an answer in one piece; guarded by this. */
	private String body = "";

	/** Whether the last event of a stream came; guarded by this. */
	private boolean done;

	/** Number of the result code of a failure, or 0; guarded by this. */
	private int errorNumber;

	/** Whether the target ran the request, as the failure says; guarded by this. */
	private String ran = "";

	/** How the connection broke, or an empty string; guarded by this. */
	private String broken = "";

	Received(long sentMillis, Runnable cancel) {
		this.sentMillis = sentMillis;
		this.cancel = cancel;
	}

	synchronized void token(long nowMillis, String id, String text) {
		this.status = OK;
		this.tokenMillis.add(nowMillis);
		this.ids.add(id);
		this.texts.add(text);
	}

	synchronized void done() {
		this.done = true;
	}

	synchronized void failed(JsonNode error) {
		this.errorNumber = error.path("number").asInt();
		this.ran = error.path("ran").asText();
	}

	synchronized void answered(int code, String text) throws IOException {
		this.status = code;
		this.body = text;
		if (code >= OK * 2 && text.contains("\"error\"")) {
			failed(SharedJsonMapper.mapper().readTree(text).path("error"));
		}
		this.end.complete(this);
	}

	synchronized void ended() {
		this.end.complete(this);
	}

	synchronized void broken(String how) {
		this.broken = how;
		this.end.complete(this);
	}

	/**
	 * Breaks the connection, as a caller does that goes away.
	 */
	public void breakOff() {
		this.cancel.run();
	}

	/**
	 * Returns the end of the answer.
	 * @return complete when the answer has ended
	 */
	public CompletableFuture<Received> end() {
		return this.end;
	}

	/**
	 * Tells whether the whole answer came.
	 * @return {@code true} after the last event, or a successful answer in one piece
	 */
	public synchronized boolean whole() {
		return this.done || this.status == OK && this.ids.isEmpty() && this.broken.isEmpty();
	}

	/**
	 * Checks that the tokens came once, in order, from one generation.
	 * @param firstIndex index of the first token expected
	 * @return what is wrong, or nothing
	 */
	public synchronized Optional<String> sequenceFault(int firstIndex) {
		String generation = null;
		for (int i = 0; i < this.ids.size(); i++) {
			EventId id;
			try {
				id = EventId.parse(this.ids.get(i));
			}
			catch (RequestException ex) {
				return Optional.of("malformed event id " + this.ids.get(i));
			}
			if (generation != null && !generation.equals(id.generation())) {
				return Optional.of("tokens of two generations");
			}
			generation = id.generation();
			boolean textFits = this.texts.get(i).endsWith("." + (firstIndex + i) + " ");
			if (id.index() != firstIndex + i || !textFits) {
				return Optional.of("token " + id.index() + " '" + this.texts.get(i) + "' where " + (firstIndex + i)
						+ " was expected");
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the id of the last event.
	 * @return an event id, or an empty string
	 */
	public synchronized String lastEventId() {
		return this.ids.isEmpty() ? "" : this.ids.get(this.ids.size() - 1);
	}

	/**
	 * Returns the number of tokens.
	 * @return tokens received so far
	 */
	public synchronized int count() {
		return this.ids.size();
	}

	/**
	 * Returns the texts of the tokens.
	 * @return tokens received so far
	 */
	public synchronized List<String> texts() {
		return List.copyOf(this.texts);
	}

	/**
	 * Returns the arrival times.
	 * @return time of each token so far, in milliseconds
	 */
	public synchronized List<Long> tokenMillis() {
		return List.copyOf(this.tokenMillis);
	}

	/**
	 * Returns the time of sending.
	 * @return time in milliseconds
	 */
	public long sentMillis() {
		return this.sentMillis;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status, or 0 before there is one
	 */
	public synchronized int status() {
		return this.status;
	}

	/**
	 * Returns the body.
	 * @return body of an answer in one piece
	 */
	public synchronized String body() {
		return this.body;
	}

	/**
	 * Returns the number of the failure.
	 * @return number of the result code, or 0
	 */
	public synchronized int errorNumber() {
		return this.errorNumber;
	}

	/**
	 * Returns what the failure says about running.
	 * @return {@code no}, {@code yes}, {@code unknown}, or an empty string
	 */
	public synchronized String ran() {
		return this.ran;
	}

	/**
	 * Describes the end, for reports.
	 * @return status, failure and connection
	 */
	public synchronized String describe() {
		return "status " + this.status + ", error " + this.errorNumber + ", ran '" + this.ran + "', " + this.ids.size()
				+ " tokens, " + this.broken;
	}

}
