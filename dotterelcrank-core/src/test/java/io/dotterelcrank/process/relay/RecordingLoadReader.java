package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.process.membership.TargetRegistration;

/**
 * Records reads of engine loads; the test triggers each response.
 */
final class RecordingLoadReader implements EngineLoadReader {

	/** In the order of reading. */
	private final List<TargetRegistration> engines = new ArrayList<>();

	private final List<Consumer<Optional<EngineReport>>> listeners = new ArrayList<>();

	@Override
	public void read(TargetRegistration engine, Consumer<Optional<EngineReport>> listener) {
		this.engines.add(engine);
		this.listeners.add(listener);
	}

	int readCount() {
		return this.engines.size();
	}

	TargetRegistration engine(int index) {
		return this.engines.get(index);
	}

	void respond(int index, int running, long memoryUsed) {
		respond(index, running, memoryUsed, false);
	}

	void respondLeaving(int index) {
		respond(index, 1, 4_000, true);
	}

	private void respond(int index, int running, long memoryUsed, boolean leaving) {
		TargetRegistration engine = this.engines.get(index);
		String address = engine.address().getAddress().getHostAddress() + ':' + engine.address().getPort();
		EngineLoad load = new EngineLoad("", "", "", address, engine.bornMillis(), running, 0, 0, memoryUsed,
				RelayFixture.MEMORY_TOKENS, leaving, -1, 0);
		this.listeners.get(index).accept(Optional.of(new EngineReport(load, List.of())));
	}

	void fail(int index) {
		this.listeners.get(index).accept(Optional.empty());
	}

}
