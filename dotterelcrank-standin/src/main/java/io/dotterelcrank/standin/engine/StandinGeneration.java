package io.dotterelcrank.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.dotterelcrank.common.RendezvousHash;
import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.request.Generation;

/**
 * A generation in a stand-in engine. Confined to the engine's thread.
 */
final class StandinGeneration {

	/** Marker in a prompt that sets the number of output tokens. */
	private static final Pattern LENGTH_MARKER = Pattern.compile("\\[tokens=(\\d{1,6})]");

	/** Maximum number of output tokens for a prompt without a marker. */
	private static final int MAX_DEFAULT_LENGTH = 200;

	/** Number of distinct outputs; makes tokens of different generations differ. */
	private static final int DISTINCT_OUTPUTS = 100_000;

	private final Generation request;

	private final int outputLength;

	/** Part of each token; identifies the generation. */
	private final long outputNumber;

	/** Output tokens produced so far. */
	private final List<String> tokens = new ArrayList<>();

	private final long arrivalNumber;

	/** {@code null} if no stream is attached. */
	private EngineClient.Listener listener;

	private int nextIndex;

	/** Tokens to prefill before the next output token. */
	private int remainingPrefillTokens;

	private long memoryTokens;

	StandinGeneration(Generation request, long arrivalNumber) {
		this.request = request;
		this.arrivalNumber = arrivalNumber;
		this.outputNumber = Math.floorMod(RendezvousHash.hash(request.id()), DISTINCT_OUTPUTS);
		Matcher matcher = LENGTH_MARKER.matcher(request.prompt());
		int requestedLength = matcher.find() ? Integer.parseInt(matcher.group(1))
				: 1 + Math.floorMod(RendezvousHash.hash(request.prompt()), MAX_DEFAULT_LENGTH);
		this.outputLength = Math.max(1, Math.min(requestedLength, request.maxTokens()));
	}

	/**
	 * Attaches a listener and delivers the tokens produced so far.
	 * @param newListener receives tokens and end
	 * @param fromIndex index of the first token to deliver
	 */
	void attach(EngineClient.Listener newListener, int fromIndex) {
		this.listener = newListener;
		this.nextIndex = fromIndex;
		deliver();
	}

	/**
	 * Detaches the listener.
	 * @return the listener, or {@code null} if there was none
	 */
	EngineClient.Listener detach() {
		EngineClient.Listener previous = this.listener;
		this.listener = null;
		return previous;
	}

	/**
	 * Appends the next output token and delivers it.
	 */
	void produceToken() {
		this.tokens.add("w" + this.outputNumber + "." + this.tokens.size() + " ");
		deliver();
	}

	private void deliver() {
		while (this.listener != null && this.nextIndex < this.tokens.size()) {
			this.listener.token(this.nextIndex, this.tokens.get(this.nextIndex));
			this.nextIndex++;
		}
		if (this.listener != null && isComplete()) {
			detach().finished(this.outputLength, (this.outputLength == this.request.maxTokens()) ? "length" : "stop");
		}
	}

	boolean isComplete() {
		return this.tokens.size() >= this.outputLength;
	}

	int producedCount() {
		return this.tokens.size();
	}

	Generation request() {
		return this.request;
	}

	long arrivalNumber() {
		return this.arrivalNumber;
	}

	int remainingPrefillTokens() {
		return this.remainingPrefillTokens;
	}

	void remainingPrefillTokens(int tokens) {
		this.remainingPrefillTokens = tokens;
	}

	long memoryTokens() {
		return this.memoryTokens;
	}

	void memoryTokens(long tokens) {
		this.memoryTokens = tokens;
	}

}
