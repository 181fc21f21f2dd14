package io.dotterelcrank.standin;

import java.util.ArrayList;
import java.util.List;

import io.dotterelcrank.process.entry.EntryProcess;
import io.dotterelcrank.process.entry.GenerationListener;
import io.dotterelcrank.request.EventId;
import io.dotterelcrank.request.Failure;

/**
 * A caller of generations that records what it hears, and reads at once unless told not
 * to.
 */
final class TestCaller implements GenerationListener {

	final List<String> tokens = new ArrayList<>();

	final List<String> faults = new ArrayList<>();

	final String workspace = "bandmasters";

	private final boolean streams;

	EntryProcess.GenerationHandle handle;

	boolean reads = true;

	int restarts;

	int finishedCount = -1;

	Failure failure;

	String target = "";

	String generation = "";

	int firstIndex = -1;

	TestCaller(boolean streams) {
		this.streams = streams;
	}

	@Override
	public boolean streaming() {
		return this.streams;
	}

	@Override
	public void tokens(String from, String id, int index, List<String> fresh) {
		if (this.firstIndex < 0) {
			this.firstIndex = index;
		}
		if (!this.generation.isEmpty() && !this.generation.equals(id)) {
			this.faults.add("tokens of " + this.generation + " and " + id);
		}
		if (index != this.firstIndex + this.tokens.size()) {
			this.faults.add("index " + index + " after " + this.tokens.size() + " tokens");
		}
		if (this.finishedCount >= 0 || this.failure != null) {
			this.faults.add("tokens after the end");
		}
		this.target = from;
		this.generation = id;
		for (int i = 0; i < fresh.size(); i++) {
			if (!fresh.get(i).endsWith("." + (index + i) + " ")) {
				this.faults.add("token " + (index + i) + " is " + fresh.get(i));
			}
		}
		this.tokens.addAll(fresh);
		if (this.reads && this.handle != null) {
			this.handle.acknowledge(this.firstIndex + this.tokens.size());
		}
	}

	@Override
	public void finished(int count, String reason) {
		end();
		this.finishedCount = count;
	}

	@Override
	public void failed(Failure how) {
		end();
		this.failure = how;
	}

	private void end() {
		if (this.finishedCount >= 0 || this.failure != null) {
			this.faults.add("two ends");
		}
	}

	@Override
	public void restarted() {
		if (this.streams) {
			this.faults.add("shown tokens taken back");
		}
		this.restarts++;
		this.tokens.clear();
		this.generation = "";
		this.firstIndex = -1;
	}

	boolean whole(int count) {
		return this.faults.isEmpty() && this.finishedCount == count && this.firstIndex + this.tokens.size() == count;
	}

	String describe() {
		return this.generation + " " + this.tokens.size() + " tokens, " + this.failure + " " + this.faults;
	}

	EventId lastEvent() {
		return new EventId(this.target, this.generation, this.firstIndex + this.tokens.size() - 1);
	}

}
