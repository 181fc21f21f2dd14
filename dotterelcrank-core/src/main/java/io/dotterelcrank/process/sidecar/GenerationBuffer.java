package io.dotterelcrank.process.sidecar;

import java.util.ArrayList;
import java.util.List;

import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.TargetLoad;
import io.dotterelcrank.request.Failure;

/**
 * Buffers the tokens of one generation between engine and entry process. Tokens are kept
 * until the generation is removed, so that a session can resume at any index. Invariant:
 * on one session each token is sent once, in order. Thread-safe.
 */
final class GenerationBuffer {

	/** Unread tokens at which the engine stream is blocked. */
	static final int MAX_UNREAD_TOKENS = 4_096;

	/** Max tokens in one message. */
	static final int MAX_MESSAGE_TOKENS = 512;

	/** Max wait before the number of unread tokens is checked again. */
	private static final long MAX_WAIT_MILLIS = 1_000;

	private final String id;

	/**
	 * Index of the first buffered token; above 0 if the predecessor of this process
	 * started the generation.
	 */
	private final int firstIndex;

	/** Tokens from {@link #firstIndex} on. */
	private final List<String> tokens = new ArrayList<>();

	/** Link of the attached session, or {@code null}. */
	private Link link;

	/** Index of the next token to send. */
	private int sentIndex;

	/** Index of the first token that the caller has not acknowledged. */
	private int firstUnreadIndex;

	/** Message that ends the generation, or {@code null} while it runs. */
	private Message end;

	private boolean endSent;

	/** Whether the generation has failed, so that the engine stream must not block. */
	private boolean engineStreamUnblocked;

	GenerationBuffer(String id, int firstIndex) {
		this.id = id;
		this.firstIndex = firstIndex;
		this.sentIndex = firstIndex;
		this.firstUnreadIndex = firstIndex;
	}

	/**
	 * Attaches a session, which replaces any other, and sends tokens from an index on.
	 * @param session link of the session
	 * @param fromIndex index of the first token wanted
	 * @return {@code false} if the index is before the first buffered token or after the
	 * next one
	 */
	synchronized boolean attach(Link session, int fromIndex) {
		if (fromIndex < this.firstIndex || fromIndex > nextIndex()) {
			return false;
		}
		this.link = session;
		this.sentIndex = fromIndex;
		this.firstUnreadIndex = fromIndex;
		this.endSent = false;
		sendPending();
		return true;
	}

	/**
	 * Detaches a session.
	 * @param session link of the session
	 * @return whether the session was attached
	 */
	synchronized boolean detach(Link session) {
		if (this.link != session) {
			return false;
		}
		this.link = null;
		return true;
	}

	/**
	 * Appends the next token in order, and sends it if the link is writable. Duplicate
	 * tokens are ignored.
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
			sendPending();
		}
		return true;
	}

	/**
	 * Blocks while the caller has too many unread tokens.
	 */
	synchronized void awaitFreeSpace() {
		while (!this.engineStreamUnblocked && nextIndex() - this.firstUnreadIndex >= MAX_UNREAD_TOKENS) {
			try {
				wait(MAX_WAIT_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	/**
	 * Records an acknowledgement, which may unblock the engine stream. Ignored unless the
	 * session is attached.
	 * @param session link on which the acknowledgement was received
	 * @param nextUnreadIndex index of the first token not read
	 */
	synchronized void acknowledge(Link session, int nextUnreadIndex) {
		if (this.link == session && nextUnreadIndex > this.firstUnreadIndex) {
			this.firstUnreadIndex = Math.min(nextUnreadIndex, nextIndex());
			notifyAll();
			sendPending();
		}
	}

	/**
	 * Ends the generation successfully. The end is sent after all tokens.
	 * @param reason {@code stop} or {@code length}
	 * @param load load of the target
	 */
	synchronized void finish(String reason, TargetLoad load) {
		if (this.end == null) {
			this.end = new Message.Finished(this.id, nextIndex(), reason, load);
			sendPending();
		}
	}

	/**
	 * Ends the generation with a failure, which is sent after all tokens.
	 * @param failure the failure
	 * @param load load of the target
	 */
	synchronized void fail(Failure failure, TargetLoad load) {
		if (this.end == null) {
			this.end = new Message.Failed(this.id, failure, load);
			sendPending();
		}
		unblockEngineStream();
	}

	/**
	 * Unblocks the engine stream, which is not blocked again.
	 */
	synchronized void unblockEngineStream() {
		this.engineStreamUnblocked = true;
		notifyAll();
	}

	/**
	 * Sends pending tokens, and then the end, while the link is writable.
	 */
	synchronized void sendPending() {
		while (this.link != null && this.sentIndex < nextIndex() && this.link.writable()) {
			int from = this.sentIndex - this.firstIndex;
			int to = Math.min(this.tokens.size(), from + MAX_MESSAGE_TOKENS);
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
	 * Returns whether a session other than the given one is attached.
	 * @param session the given session
	 * @return {@code true} if another session has resumed the generation
	 */
	synchronized boolean attachedToOther(Link session) {
		return this.link != null && this.link != session;
	}

	/**
	 * Returns the index of the next token from the engine.
	 * @return number of tokens produced so far, including those before the first buffered
	 * one
	 */
	synchronized int nextIndex() {
		return this.firstIndex + this.tokens.size();
	}

	/**
	 * Returns whether the end was sent to the attached session.
	 * @return {@code true} if nothing remains to be sent
	 */
	synchronized boolean endSent() {
		return this.endSent;
	}

	/**
	 * Returns whether the generation has ended.
	 * @return {@code true} after success or failure, even if not sent yet
	 */
	synchronized boolean ended() {
		return this.end != null;
	}

	/**
	 * Returns whether a session is attached.
	 * @return {@code false} while no entry process receives the tokens
	 */
	synchronized boolean attached() {
		return this.link != null;
	}

}
