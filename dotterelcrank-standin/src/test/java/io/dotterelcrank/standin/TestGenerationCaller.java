package io.dotterelcrank.standin;

import java.util.ArrayList;
import java.util.List;

import io.dotterelcrank.process.entry.EntryProcess;
import io.dotterelcrank.process.entry.GenerationListener;
import io.dotterelcrank.request.EventId;
import io.dotterelcrank.request.Failure;

/**
 * A caller of a generation that records tokens and results, checks their order, and
 * acknowledges tokens at once while {@link #acknowledges} is set.
 */
final class TestGenerationCaller implements GenerationListener {

	final List<String> tokens = new ArrayList<>();

	final List<String> violations = new ArrayList<>();

	final String workspace = "bandmasters";

	private final boolean streaming;

	EntryProcess.GenerationHandle handle;

	boolean acknowledges = true;

	int restarts;

	int finishedCount = -1;

	Failure failure;

	String target = "";

	String generation = "";

	int firstIndex = -1;

	TestGenerationCaller(boolean streaming) {
		this.streaming = streaming;
	}

	@Override
	public boolean streaming() {
		return this.streaming;
	}

	@Override
	public void tokens(String source, String generationId, int index, List<String> newTokens) {
		if (this.firstIndex < 0) {
			this.firstIndex = index;
		}
		if (!this.generation.isEmpty() && !this.generation.equals(generationId)) {
			this.violations.add("tokens of " + this.generation + " and " + generationId);
		}
		if (index != this.firstIndex + this.tokens.size()) {
			this.violations.add("index " + index + " after " + this.tokens.size() + " tokens");
		}
		if (this.finishedCount >= 0 || this.failure != null) {
			this.violations.add("tokens after the result");
		}
		this.target = source;
		this.generation = generationId;
		for (int i = 0; i < newTokens.size(); i++) {
			if (!newTokens.get(i).endsWith("." + (index + i) + " ")) {
				this.violations.add("token " + (index + i) + " is " + newTokens.get(i));
			}
		}
		this.tokens.addAll(newTokens);
		if (this.acknowledges && this.handle != null) {
			this.handle.acknowledge(this.firstIndex + this.tokens.size());
		}
	}

	@Override
	public void finished(int count, String reason) {
		checkSingleResult();
		this.finishedCount = count;
	}

	@Override
	public void failed(Failure reported) {
		checkSingleResult();
		this.failure = reported;
	}

	private void checkSingleResult() {
		if (this.finishedCount >= 0 || this.failure != null) {
			this.violations.add("more than one result");
		}
	}

	@Override
	public void restarted() {
		if (this.streaming) {
			this.violations.add("restarted after streaming tokens");
		}
		this.restarts++;
		this.tokens.clear();
		this.generation = "";
		this.firstIndex = -1;
	}

	boolean isComplete(int count) {
		return this.violations.isEmpty() && this.finishedCount == count
				&& this.firstIndex + this.tokens.size() == count;
	}

	String describe() {
		return this.generation + " " + this.tokens.size() + " tokens, " + this.failure + " " + this.violations;
	}

	EventId lastEventId() {
		return new EventId(this.target, this.generation, this.firstIndex + this.tokens.size() - 1);
	}

}
