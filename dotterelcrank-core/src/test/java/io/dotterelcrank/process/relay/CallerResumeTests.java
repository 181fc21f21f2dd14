package io.dotterelcrank.process.relay;

import java.util.List;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.request.Ran;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Streams that their callers resume with the events of an earlier response, on each path
 * on which the generation begins again at another engine.
 */
class CallerResumeTests {

	/** Last event that the caller has. */
	private static final long HAS = 48;

	private final RelayFixture fixture = new RelayFixture();

	private final RecordingCallerChannel caller = new RecordingCallerChannel();

	private RecordingTargetClient.RecordedExchange exchange(int index) {
		return this.fixture.targetClient().exchange(index);
	}

	private int sendCount() {
		return this.fixture.targetClient().sendCount();
	}

	private void answerCopy(TargetClient.CopyOutcome outcome, String handle) {
		this.fixture.targetClient().completeCopy(this.fixture.targetClient().copyRequestCount() - 1, outcome, handle);
	}

	private void acceptAndStart() {
		this.fixture.acceptResumed("/notes/1", HAS, this.caller);
		exchange(0).startStream();
		this.fixture.advance(GenerationResumer.MIN_STREAM_MILLIS);
	}

	private void drainFirstEngine() {
		this.fixture.listTarget(exchange(0).request().target().id(), "bench", true);
	}

	private void assertGoesOnAfterCallersEvents(int index) {
		assertThat(exchange(index).request().resumeFrom()).isPresent();
		assertThat(exchange(index).request().lastEventId()).hasValue(HAS);
		exchange(index).startStream();
		exchange(index).sendEvent(49);
		exchange(index).sendEvent(50);
		exchange(index).complete();
		assertThat(this.caller.eventIds()).isEqualTo("49 50");
		assertThat(this.caller.endCount()).isOne();
	}

	/** The engine drained before the first event, and the stream began anew elsewhere. */
	@Test
	void handoverBeforeTheFirstEventGoesOnAfterTheCallersLastEvent() {
		acceptAndStart();
		drainFirstEngine();
		answerCopy(TargetClient.CopyOutcome.COPIED, "h1");
		assertGoesOnAfterCallersEvents(1);
	}

	/** The connection was reset before the first event, and the stream began anew. */
	@Test
	void resetBeforeTheFirstEventGoesOnAfterTheCallersLastEvent() {
		acceptAndStart();
		exchange(0).fail(Ran.UNKNOWN);
		answerCopy(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		assertGoesOnAfterCallersEvents(1);
	}

	/**
	 * A generation without a backup was copied before the first event, and began anew.
	 */
	@Test
	void copyBeforeTheFirstEventGoesOnAfterTheCallersLastEvent() {
		for (String id : List.of("e1", "e2", "e3")) {
			this.fixture.reportLoad(id, 4,
					(long) (RelayFixture.MEMORY_TOKENS * BackupPolicy.UNRESTRICTED_LIMIT_FRACTION) - 2_000);
		}
		acceptAndStart();
		assertThat(exchange(0).request().backupHolder()).isEmpty();
		drainFirstEngine();
		answerCopy(TargetClient.CopyOutcome.COPIED, "h1");
		answerCopy(TargetClient.CopyOutcome.COPIED, "h2");
		assertGoesOnAfterCallersEvents(1);
	}

	/**
	 * The engine that resumed was lost before its first event, and the next began anew.
	 */
	@Test
	void secondHandoverBeforeTheFirstEventGoesOnAfterTheCallersLastEvent() {
		acceptAndStart();
		drainFirstEngine();
		answerCopy(TargetClient.CopyOutcome.COPIED, "h1");
		exchange(1).startStream();
		this.fixture.advance(GenerationResumer.MIN_STREAM_MILLIS);
		exchange(1).fail(Ran.UNKNOWN);
		answerCopy(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		assertGoesOnAfterCallersEvents(2);
	}

	@Test
	void requestThatAnEngineRefusesIsSentElsewhereAsTheCallerSentIt() {
		this.fixture.acceptResumed("/notes/1", HAS, this.caller);
		exchange(0).refuse(503);
		assertThat(exchange(1).request().resumeFrom()).isEmpty();
		assertThat(exchange(1).request().request().lastEventId()).hasValue(HAS);
		exchange(1).startStream();
		exchange(1).sendEvent(49);
		exchange(1).complete();
		assertThat(this.caller.eventIds()).isEqualTo("49");
	}

	@Test
	void eventsThatTheCallerHasAreNotSentAgain() {
		acceptAndStart();
		exchange(0).sendEvent(1);
		exchange(0).sendEvent(48);
		exchange(0).sendEvent(49);
		exchange(0).complete();
		assertThat(this.caller.eventIds()).isEqualTo("49");
	}

	@Test
	void eventsThatAreSkippedBehindTheCallersLastOneAreRejected() {
		acceptAndStart();
		exchange(0).sendEvent(50);
		assertThat(this.caller.eventIds()).isEmpty();
		assertThat(exchange(0).cancelled()).isTrue();
	}

	@Test
	void streamOfARouteThatIsNotResumableBeginsWithItsFirstEvent() {
		this.fixture.acceptResumed("/summary/1", HAS, this.caller);
		exchange(0).startStream();
		this.fixture.advance(GenerationResumer.MIN_STREAM_MILLIS);
		drainFirstEngine();
		answerCopy(TargetClient.CopyOutcome.COPIED, "h1");
		assertThat(exchange(1).request().lastEventId()).isEqualTo(OptionalLong.of(0));
		exchange(1).startStream();
		exchange(1).sendEvent(1);
		exchange(1).complete();
		assertThat(this.caller.eventIds()).isEqualTo("1");
	}

	/** 9 gaps of 100 ms were taken for 57 of 16 ms. */
	@Test
	void timeOfAnEventIsMeasuredOverTheEventsOfTheResponse() {
		acceptAndStart();
		GenerationStatistics statistics = this.fixture.relayService()
			.targetPool()
			.statistics(RelayFixture.plan(1).service("bench").orElseThrow());
		double before = statistics.eventMillis();
		for (int event = 49; event <= 58; event++) {
			exchange(0).sendEvent(event);
			this.fixture.advance(100);
		}
		exchange(0).complete();
		assertThat(statistics.eventMillis()).isBetween(before, 100.0).isNotEqualTo(before);
	}

}
