package io.dotterelcrank.daemon.client;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.standin.engine.EngineFault;
import io.dotterelcrank.version.Placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * What every {@link EngineClient} does.
 */
abstract class EngineClientContract {

	private static final long PATIENCE_SECONDS = 30;

	abstract EngineClient client();

	abstract void fault(EngineFault fault, long value);

	private static Generation generation(String id, int tokens) {
		return new Generation(id, "w", "m", Priority.NORMAL, "[tokens=" + tokens + "]", 10, 5_000, 60_000);
	}

	private Heard generate(String id, int tokens) {
		Heard heard = new Heard();
		client().generate(generation(id, tokens), heard);
		return heard;
	}

	@Test
	void streamsAllTokensInOrder() throws Exception {
		Heard heard = generate("g1", 20);
		assertThat(heard.end()).isEqualTo("finished 20 stop");
		assertThat(heard.indices()).hasSize(20).isSorted().doesNotHaveDuplicates();
	}

	@Test
	void resumesFromAnIndex() throws Exception {
		generate("g2", 20).end();
		Heard resumed = new Heard();
		client().resume("g2", 15, resumed);
		assertThat(resumed.end()).isEqualTo("finished 20 stop");
		assertThat(resumed.indices()).containsExactly(15, 16, 17, 18, 19);
	}

	@Test
	void knowsNoOtherGeneration() throws Exception {
		Heard heard = new Heard();
		client().resume("nothing", 0, heard);
		assertThat(heard.end()).startsWith("broken UNKNOWN_GENERATION");
	}

	@Test
	void aCutStreamIsInterruptedAndCanBeResumed() throws Exception {
		Heard heard = generate("g3", 100);
		heard.firstToken();
		fault(EngineFault.CUT_STREAMS, 0);
		assertThat(heard.end()).startsWith("broken INTERRUPTED");
		Heard resumed = new Heard();
		client().resume("g3", heard.indices().size(), resumed);
		assertThat(resumed.end()).isEqualTo("finished 100 stop");
		assertThat(heard.indices().size() + resumed.indices().size()).isEqualTo(100);
	}

	@Test
	void refusesWhileItTakesNothing() throws Exception {
		fault(EngineFault.REFUSE, 1);
		assertThat(generate("g4", 5).end()).startsWith("broken REFUSED");
	}

	@Test
	void cancelsOnce() throws PlatformException {
		generate("g5", 4_000);
		client().cancel("g5");
		client().cancel("g5");
		client().cancel("nothing");
	}

	@Test
	void refusesAnOldFencingToken() throws PlatformException {
		client().order(new Placement("s", "m", "", "2", "serve", 7));
		assertThatExceptionOfType(PlatformException.class)
			.isThrownBy(() -> client().order(new Placement("s", "m", "", "1", "serve", 6)));
	}

	@Test
	void reportsItsMemory() throws PlatformException {
		assertThat(client().report().memoryTokens()).isPositive();
	}

	/**
	 * Records a stream.
	 */
	private static final class Heard implements EngineClient.Listener {

		private final List<Integer> indices = new ArrayList<>();

		private final CompletableFuture<String> end = new CompletableFuture<>();

		private final CompletableFuture<Void> first = new CompletableFuture<>();

		@Override
		public synchronized void token(int index, String text) {
			this.indices.add(index);
			this.first.complete(null);
		}

		@Override
		public void finished(int count, String reason) {
			this.end.complete("finished " + count + " " + reason);
		}

		@Override
		public void failed(EngineClient.StreamFailure how, String message) {
			this.end.complete("broken " + how + " " + message);
		}

		String end() throws Exception {
			return this.end.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
		}

		void firstToken() throws Exception {
			this.first.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
		}

		synchronized List<Integer> indices() {
			return List.copyOf(this.indices);
		}

	}

}
