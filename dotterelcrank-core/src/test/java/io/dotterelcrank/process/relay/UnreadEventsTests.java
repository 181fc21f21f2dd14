package io.dotterelcrank.process.relay;

import java.util.function.BiConsumer;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.dotterelcrank.connection.EngineLoad;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that news of targets and permits that arrive together with the events of a stream
 * or a response, after the traffic thread was held up, do not let the thread take the
 * stream for a stalled one, or the target for a slow one, before it has read them.
 */
class UnreadEventsTests {

	private final RelayFixture fixture = new RelayFixture();

	private final RecordingCallerChannel caller = new RecordingCallerChannel();

	/**
	 * Lets time pass in which the traffic thread does not run.
	 */
	private void holdUpThread(long millis) {
		this.fixture.clock().advance(millis);
	}

	private RecordingTargetClient.RecordedExchange exchange() {
		return this.fixture.targetClient().exchange(0);
	}

	/**
	 * Returns an engine that neither runs the stream nor holds its backup.
	 */
	private String uninvolvedEngine() {
		TargetRequest request = exchange().request();
		return Stream.of("e1", "e2", "e3")
			.filter((id) -> !id.equals(request.target().id()))
			.filter((id) -> request.backupHolder().filter((holder) -> holder.id().equals(id)).isEmpty())
			.findFirst()
			.orElseThrow();
	}

	@ParameterizedTest
	@EnumSource
	void streamIsNotStoppedWhileItsEventsAreUnread(News news) {
		this.fixture.accept("/notes/1", this.caller);
		exchange().startStream();
		exchange().sendEvent(1);
		this.fixture.advance(GenerationResumer.MIN_STREAM_MILLIS);
		exchange().sendEvent(2);
		holdUpThread(2 * GenerationResumer.STALL_GAPS * 180);
		news.handle(this.fixture, uninvolvedEngine());
		exchange().sendEvent(3);
		this.fixture.advance(0);
		assertThat(this.fixture.targetClient().copyRequestCount()).isZero();
		assertThat(exchange().cancelled()).isFalse();
	}

	@ParameterizedTest
	@EnumSource
	void requestIsNotHedgedWhileItsResponseIsUnread(News news) {
		this.fixture.accept("/lookup/1", this.caller);
		exchange().beginWrite();
		holdUpThread(1_000);
		news.handle(this.fixture, "e1");
		exchange().respondUnlessCancelled(200, "ok");
		this.fixture.advance(0);
		assertThat(this.caller.status()).isEqualTo(200);
		assertThat(this.fixture.targetClient().sendCount()).isOne();
	}

	/**
	 * News that cause a poll.
	 */
	private enum News {

		ENGINE_LEAVES((fixture, engine) -> fixture.relayService()
			.updateLoad(new EngineLoad(engine, "bench", "giza", fixture.engineAddress(engine), 1, 1, 0, 0, 100,
					RelayFixture.MEMORY_TOKENS, true, 1_500, 0))),

		ENGINE_GONE((fixture, engine) -> fixture.relayService()
			.updateTargets(fixture.relayService()
				.targetPool()
				.targets()
				.stream()
				.filter((target) -> !target.id().equals(engine))
				.map(TrackedTarget::membership)
				.toList())),

		PERMIT_LENT((fixture, engine) -> fixture.relayService().addRetryLoan("bench"));

		private final BiConsumer<RelayFixture, String> handler;

		News(BiConsumer<RelayFixture, String> handler) {
			this.handler = handler;
		}

		private void handle(RelayFixture fixture, String engine) {
			this.handler.accept(fixture, engine);
		}

	}

}
