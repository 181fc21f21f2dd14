package io.dotterelcrank.process.sidecar;

import java.util.ArrayList;
import java.util.List;

import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.TargetLoad;
import io.dotterelcrank.request.Failure;

/**
 * Tokens of one generation between engine and entry host. Tokens are kept until the
 * generation is forgotten, so that a session can resume at any index. Invariant: on one
 * session tokens are sent in order, each once. Thread-safe.
 */
final class GenerationBuffer {

	/** Unread tokens above which the engine's stream is not read further. */
	static final int WINDOW_TOKENS = 4_096;

	/** Most tokens in one frame. */
	static final int FRAME_TOKENS = 512;

	/** Longest wait before the stream is looked at again, in milliseconds. */
	private static final long WAIT_MILLIS = 1_000;

	/** Id of the generation. */
	private final String id;

	/** Index of the first token kept; larger than 0 after the sidecar was replaced. */
	private final int firstIndex;

	/** Tokens from {@link #firstIndex} on. */
	private final List<String> tokens = new ArrayList<>();

	/** Link of the session that reads, or {@code null}. */
	private Link link;

	/** Index of the next token to send. */
	private int sentIndex;

	/** Index of the first token that the caller has not read. */
	private int readIndex;

	/** Message that ends the generation, or {@code null} while it runs. */
	private Message end;

	/** Whether the end has been sent on the current session. */
	private boolean endSent;

	/** Whether the generation is given up, so that nobody reads any more. */
	private boolean closed;

	GenerationBuffer(String id, int firstIndex) {
		this.id = id;
		this.firstIndex = firstIndex;
		this.sentIndex = firstIndex;
		this.readIndex = firstIndex;
	}

	/**
	 * Sends from an index on to a session, which replaces any other.
	 * @param session link of the session
	 * @param fromIndex index of the first token wanted
	 * @return whether the tokens from that index on are kept
	 */
	synchronized boolean attach(Link session, int fromIndex) {
		if (fromIndex < this.firstIndex || fromIndex > nextIndex()) {
			return false;
		}
		this.link = session;
		this.sentIndex = fromIndex;
		this.readIndex = fromIndex;
		this.endSent = false;
		pump();
		return true;
	}

	/**
	 * Stops sending to a session.
	 * @param session link that is closed
	 * @return whether the session was reading this generation
	 */
	synchronized boolean detach(Link session) {
		if (this.link != session) {
			return false;
		}
		this.link = null;
		return true;
	}

	/**
	 * Appends a token that is next in order, and sends what can be sent. Repeated tokens
	 * are dropped.
	 * @param index index of the token
	 * @param text its text
	 * @return {@code false} if tokens before this one are missing
	 */
	synchronized boolean append(int index, String text) {
		if (index > nextIndex()) {
			return false;
		}
		if (index == nextIndex() && this.end == null) {
			this.tokens.add(text);
			pump();
		}
		return true;
	}

	/**
	 * Waits until the caller has read enough for more tokens to be taken in.
	 */
	synchronized void awaitRoom() {
		while (!this.closed && nextIndex() - this.readIndex >= WINDOW_TOKENS) {
			try {
				wait(WAIT_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	/**
	 * Takes in how far the caller has read.
	 * @param session link of the session that says so
	 * @param nextUnread index of the first token not read
	 */
	synchronized void acknowledge(Link session, int nextUnread) {
		if (this.link == session && nextUnread > this.readIndex) {
			this.readIndex = Math.min(nextUnread, nextIndex());
			notifyAll();
			pump();
		}
	}

	/**
	 * Ends the generation; the end is sent after all tokens.
	 * @param reason why the engine stopped
	 * @param load load of the target
	 */
	synchronized void finish(String reason, TargetLoad load) {
		if (this.end == null) {
			this.end = new Message.Finished(this.id, nextIndex(), reason, load);
			pump();
		}
	}

	/**
	 * Ends the generation with a failure, sent after all tokens.
	 * @param failure how it failed
	 * @param load load of the target
	 */
	synchronized void fail(Failure failure, TargetLoad load) {
		if (this.end == null) {
			this.end = new Message.Failed(this.id, failure, load);
			pump();
		}
		close();
	}

	/**
	 * Lets a waiting engine stream go on, since nobody reads any more.
	 */
	synchronized void close() {
		this.closed = true;
		notifyAll();
	}

	/**
	 * Sends what can be sent now.
	 */
	synchronized void pump() {
		while (this.link != null && this.sentIndex < nextIndex() && this.link.writable()) {
			int from = this.sentIndex - this.firstIndex;
			int to = Math.min(this.tokens.size(), from + FRAME_TOKENS);
			this.link.send(new Message.Tokens(this.id, this.sentIndex, List.copyOf(this.tokens.subList(from, to))));
			this.sentIndex += to - from;
		}
		boolean allSent = this.sentIndex == nextIndex();
		if (this.link != null && allSent && this.end != null && !this.endSent) {
			this.endSent = true;
			this.link.send(this.end);
		}
	}

	/**
	 * Tells whether another session than a given one reads.
	 * @param session the given session
	 * @return {@code true} if the generation has been taken over
	 */
	synchronized boolean takenOverFrom(Link session) {
		return this.link != null && this.link != session;
	}

	/**
	 * Returns the index of the next token from the engine.
	 * @return number of tokens produced so far
	 */
	synchronized int nextIndex() {
		return this.firstIndex + this.tokens.size();
	}

	/**
	 * Tells whether the generation has ended and the reading session has been told.
	 * @return {@code true} if nothing more will be sent
	 */
	synchronized boolean delivered() {
		return this.endSent;
	}

	/**
	 * Tells whether the generation has ended.
	 * @return {@code true} once an end is known
	 */
	synchronized boolean ended() {
		return this.end != null;
	}

	/**
	 * Tells whether a session reads.
	 * @return {@code false} while no entry host is attached
	 */
	synchronized boolean attached() {
		return this.link != null;
	}

}
