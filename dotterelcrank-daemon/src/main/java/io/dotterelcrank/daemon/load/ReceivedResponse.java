package io.dotterelcrank.daemon.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;

import io.dotterelcrank.common.SharedJsonMapper;
import io.dotterelcrank.request.EventId;
import io.dotterelcrank.request.RequestException;

/**
 * Response as far as a caller has received it. Thread-safe.
 */
public final class ReceivedResponse {

	/** HTTP status of success; errors are at least twice this. */
	private static final int OK = 200;

	private final long sentMillis;

	private final Runnable cancel;

	/** Completes when the response has ended or the connection failed. */
	private final CompletableFuture<ReceivedResponse> end = new CompletableFuture<>();

	/** Arrival time of each token, in milliseconds; guarded by this. */
	private final List<Long> tokenMillis = new ArrayList<>();

	/** Event id of each token; guarded by this. */
	private final List<String> eventIds = new ArrayList<>();

	/** Text of each token; guarded by this. */
	private final List<String> texts = new ArrayList<>();

	/** HTTP status, or 0 before it is known; guarded by this. */
	private int status;

	/** Body of a response that is not streamed; guarded by this. */
	private String body = "";

	/** Whether the event that marks a complete stream arrived; guarded by this. */
	private boolean doneEventReceived;

	/** Number of the result code of an error, or 0; guarded by this. */
	private int errorNumber;

	/** Whether a target ran the request, as the error reports; guarded by this. */
	private String ran = "";

	/** Error of the connection, or an empty string; guarded by this. */
	private String connectionError = "";

	ReceivedResponse(long sentMillis, Runnable cancel) {
		this.sentMillis = sentMillis;
		this.cancel = cancel;
	}

	synchronized void recordToken(long nowMillis, String id, String text) {
		this.status = OK;
		this.tokenMillis.add(nowMillis);
		this.eventIds.add(id);
		this.texts.add(text);
	}

	synchronized void recordDoneEvent() {
		this.doneEventReceived = true;
	}

	synchronized void recordError(JsonNode error) {
		this.errorNumber = error.path("number").asInt();
		this.ran = error.path("ran").asText();
	}

	synchronized void recordResponse(int code, String text) throws IOException {
		this.status = code;
		this.body = text;
		if (code >= OK * 2 && text.contains("\"error\"")) {
			recordError(SharedJsonMapper.mapper().readTree(text).path("error"));
		}
		this.end.complete(this);
	}

	synchronized void recordStreamClosed() {
		this.end.complete(this);
	}

	synchronized void recordConnectionError(String error) {
		this.connectionError = error;
		this.end.complete(this);
	}

	/**
	 * Closes the connection, as a caller that no longer wants the response does.
	 */
	public void abort() {
		this.cancel.run();
	}

	/**
	 * Returns the end of the response.
	 * @return completes when the response has ended or the connection failed
	 */
	public CompletableFuture<ReceivedResponse> end() {
		return this.end;
	}

	/**
	 * Returns whether the complete response arrived.
	 * @return {@code true} after the event that marks a complete stream, or after a
	 * successful response that is not streamed
	 */
	public synchronized boolean completed() {
		return this.doneEventReceived || this.status == OK && this.eventIds.isEmpty() && this.connectionError.isEmpty();
	}

	/**
	 * Checks that each token arrived once, in order and from one generation.
	 * @param firstIndex expected index of the first token
	 * @return description of the first error, or empty
	 */
	public synchronized Optional<String> findSequenceError(int firstIndex) {
		String generation = null;
		for (int i = 0; i < this.eventIds.size(); i++) {
			EventId id;
			try {
				id = EventId.parse(this.eventIds.get(i));
			}
			catch (RequestException ex) {
				return Optional.of("malformed event id " + this.eventIds.get(i));
			}
			if (generation != null && !generation.equals(id.generation())) {
				return Optional.of("tokens of more than one generation");
			}
			generation = id.generation();
			boolean textMatches = this.texts.get(i).endsWith("." + (firstIndex + i) + " ");
			if (id.index() != firstIndex + i || !textMatches) {
				return Optional.of("token " + id.index() + " '" + this.texts.get(i) + "' where " + (firstIndex + i)
						+ " was expected");
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the id of the last event with a token.
	 * @return an event id, or an empty string before the first token
	 */
	public synchronized String lastEventId() {
		return this.eventIds.isEmpty() ? "" : this.eventIds.get(this.eventIds.size() - 1);
	}

	/**
	 * Returns the number of tokens received.
	 * @return number so far
	 */
	public synchronized int tokenCount() {
		return this.eventIds.size();
	}

	/**
	 * Returns the texts of the tokens.
	 * @return texts received so far, in order of arrival
	 */
	public synchronized List<String> texts() {
		return List.copyOf(this.texts);
	}

	/**
	 * Returns the arrival times of the tokens.
	 * @return times in milliseconds, in order of arrival
	 */
	public synchronized List<Long> tokenMillis() {
		return List.copyOf(this.tokenMillis);
	}

	/**
	 * Returns when the request was sent.
	 * @return time in milliseconds
	 */
	public long sentMillis() {
		return this.sentMillis;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status, or 0 before it is known
	 */
	public synchronized int status() {
		return this.status;
	}

	/**
	 * Returns the body of a response that is not streamed.
	 * @return the body, or an empty string before it is complete or for a stream
	 */
	public synchronized String body() {
		return this.body;
	}

	/**
	 * Returns the number of the error.
	 * @return number of the result code, or 0 without an error
	 */
	public synchronized int errorNumber() {
		return this.errorNumber;
	}

	/**
	 * Returns whether a target ran the request, as the error reports.
	 * @return {@code no}, {@code yes}, {@code unknown}, or an empty string without an
	 * error
	 */
	public synchronized String ran() {
		return this.ran;
	}

	/**
	 * Describes how the response ended, for messages.
	 * @return status, error, number of tokens and error of the connection
	 */
	public synchronized String describe() {
		return "status " + this.status + ", error " + this.errorNumber + ", ran '" + this.ran + "', "
				+ this.eventIds.size() + " tokens, " + this.connectionError;
	}

}
