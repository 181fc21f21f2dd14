package io.dotterelcrank.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.dotterelcrank.common.RendezvousHash;
import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.request.Generation;

/**
 * A generation inside a stand-in engine. Not thread-safe; belongs to the engine's thread.
 */
final class StandinGeneration {

	/** Where a prompt says how long its answer is. */
	private static final Pattern LENGTH = Pattern.compile("\\[tokens=(\\d{1,6})]");

	/** Longest answer to a prompt that does not say. */
	private static final int UNSAID_LENGTH = 200;

	/** Number of different answers, so that tokens of two generations differ. */
	private static final int ANSWERS = 100_000;

	/** The request. */
	private final Generation request;

	/** Number of tokens in the whole answer. */
	private final int length;

	/** Number by which the tokens of this generation are told from others. */
	private final long mark;

	/** Tokens so far. */
	private final List<String> tokens = new ArrayList<>();

	/** Position in the order of arrival. */
	private final long arrival;

	/** Hears the stream, or {@code null}. */
	private EngineClient.Listener listener;

	/** Number of tokens passed to the listener. */
	private int told;

	/** Tokens that must be processed before the next output token. */
	private int prefillLeft;

	/** Memory held, in tokens. */
	private long memory;

	StandinGeneration(Generation request, long arrival) {
		this.request = request;
		this.arrival = arrival;
		this.mark = Math.floorMod(RendezvousHash.hash(request.id()), ANSWERS);
		Matcher matcher = LENGTH.matcher(request.prompt());
		int wanted = matcher.find() ? Integer.parseInt(matcher.group(1))
				: 1 + Math.floorMod(RendezvousHash.hash(request.prompt()), UNSAID_LENGTH);
		this.length = Math.max(1, Math.min(wanted, request.maxTokens()));
	}

	/**
	 * Passes tokens and end to the listener, from an index on.
	 * @param stream the listener
	 * @param fromIndex index of the first token wanted
	 */
	void attach(EngineClient.Listener stream, int fromIndex) {
		this.listener = stream;
		this.told = fromIndex;
		tell();
	}

	/**
	 * Forgets the listener.
	 * @return the listener, or {@code null}
	 */
	EngineClient.Listener detach() {
		EngineClient.Listener before = this.listener;
		this.listener = null;
		return before;
	}

	/**
	 * Produces the next token.
	 */
	void produce() {
		this.tokens.add("w" + this.mark + "." + this.tokens.size() + " ");
		tell();
	}

	private void tell() {
		while (this.listener != null && this.told < this.tokens.size()) {
			this.listener.token(this.told, this.tokens.get(this.told));
			this.told++;
		}
		if (this.listener != null && complete()) {
			detach().finished(this.length, (this.length == this.request.maxTokens()) ? "length" : "stop");
		}
	}

	boolean complete() {
		return this.tokens.size() >= this.length;
	}

	int produced() {
		return this.tokens.size();
	}

	Generation request() {
		return this.request;
	}

	long arrival() {
		return this.arrival;
	}

	int prefillLeft() {
		return this.prefillLeft;
	}

	void prefillLeft(int left) {
		this.prefillLeft = left;
	}

	long memory() {
		return this.memory;
	}

	void memory(long held) {
		this.memory = held;
	}

}
