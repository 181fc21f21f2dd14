package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.dotterelcrank.request.GenerationTraits;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A planned stop of an entry host: what it sends to targets until the process ends, and
 * what callers get by then.
 */
class PlannedStopTests {

	private static final long ACCEPT_MILLIS = 5_600;

	private static final long END_MILLIS = 7_680;

	private static final long EARLY_MILLIS = 2_400;

	/** A generation that takes about two seconds at most. */
	private static final GenerationTraits SHORT = new GenerationTraits(100, 100, OptionalLong.empty(), List.of());

	private final RelayFixture fixture = new RelayFixture();

	private final RecordingCallerChannel caller = new RecordingCallerChannel();

	@BeforeEach
	void stop() {
		this.fixture.relayService().startDraining(ACCEPT_MILLIS, END_MILLIS);
	}

	/** Requests taken late in the grace were cut at its end without an answer. */
	@Test
	void everyRequestThatIsSentAfterTheFirstSecondsIsAnsweredBeforeTheProcessEnds() {
		List<RecordingCallerChannel> sent = new ArrayList<>();
		this.fixture.advance(EARLY_MILLIS);
		for (long millis = EARLY_MILLIS; millis < END_MILLIS; millis += 100) {
			for (long deadlineMillis = 500; deadlineMillis <= 6_000; deadlineMillis += 500) {
				RecordingCallerChannel channel = new RecordingCallerChannel();
				this.fixture.acceptCall("/deposit/1", deadlineMillis, channel);
				if (channel.endCount() == 0) {
					sent.add(channel);
				}
				else {
					assertThat(channel.failure().code()).isEqualTo(ResultCode.ENTRY_LEAVING);
					assertThat(channel.failure().ran()).isEqualTo(Ran.NO);
				}
			}
			this.fixture.advance(100);
		}
		assertThat(sent).hasSizeGreaterThan(100).allMatch((channel) -> channel.endCount() == 1);
	}

	@Test
	void shortRequestIsServedAsLongAsItEndsBeforeTheProcess() {
		this.fixture.advance(ACCEPT_MILLIS - 1);
		this.fixture.acceptCall("/deposit/1", 2_000, this.caller);
		assertThat(this.fixture.targetClient().sendCount()).isOne();
		this.fixture.targetClient().exchange(0).respond(200, "booked");
		assertThat(this.caller.status()).isEqualTo(200);
	}

	/** Streams that waited for memory were started seconds before they were cut. */
	@Test
	void generationThatStillWaitsIsGivenBackAsNotRun() {
		fillEngines();
		this.fixture.acceptGeneration(SHORT, this.caller);
		assertThat(this.caller.endCount()).isZero();
		this.fixture.advance(EARLY_MILLIS + RelayService.POLL_MILLIS);
		assertRefused();
	}

	private void fillEngines() {
		for (String engine : List.of("e1", "e2", "e3")) {
			this.fixture.reportLoad(engine, 8, RelayFixture.MEMORY_TOKENS);
		}
	}

	private void assertRefused() {
		assertThat(this.caller.failure().code()).isEqualTo(ResultCode.ENTRY_LEAVING);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.NO);
		assertThat(this.caller.failure().retryAfterMillis()).isBetween(200L, 1_000L);
		assertThat(this.fixture.targetClient().sendCount()).isZero();
	}

	/** Streams taken after the signal were cut by the end of the process. */
	@Test
	void streamThatCannotEndBeforeTheProcessIsRefusedAtOnce() {
		this.fixture.accept("/summary/1", this.caller);
		assertRefused();
	}

	@Test
	void streamThatEndsBeforeTheProcessIsServed() {
		this.fixture.advance(EARLY_MILLIS - 1);
		this.fixture.acceptGeneration(SHORT, this.caller);
		assertThat(this.fixture.targetClient().sendCount()).isOne();
	}

	@Test
	void streamIsRefusedIfOthersOfItsServiceAreSlow() {
		GenerationStatistics statistics = this.fixture.relayService()
			.targetPool()
			.statistics(this.fixture.relayService().plan().service("bench").orElseThrow());
		for (int i = 0; i < 100; i++) {
			statistics.recordStream(101, 20_000);
		}
		this.fixture.acceptGeneration(SHORT, this.caller);
		assertRefused();
	}

	@ParameterizedTest
	@CsvSource({ "900, 200, true", "900, 300, false", "400, 400, true", "400, 900, true" })
	void lengthOfAStreamIsJudgedByTwiceItsHintUpToTheMaximum(long maxTokens, long hint, boolean served) {
		this.fixture.acceptGeneration(new GenerationTraits(100, maxTokens, OptionalLong.of(hint), List.of()),
				this.caller);
		assertThat(this.fixture.targetClient().sendCount()).isEqualTo(served ? 1 : 0);
		assertThat(this.caller.endCount()).isEqualTo(served ? 0 : 1);
	}

	/** How long it takes is known of its timeout only. */
	@ParameterizedTest
	@CsvSource({ "7680, true", "7681, false" })
	void streamOfUnknownLengthIsServedIfItsTimeoutPassesBeforeTheProcessEnds(long deadlineMillis, boolean served) {
		this.fixture.acceptCall("/notes/1", deadlineMillis, this.caller);
		assertThat(this.fixture.targetClient().sendCount()).isEqualTo(served ? 1 : 0);
		assertThat(this.caller.endCount()).isEqualTo(served ? 0 : 1);
	}

	@Test
	void callersOfWhatIsActiveAtTheEndAreToldThatItMayHaveRun() {
		RecordingCallerChannel waiting = new RecordingCallerChannel();
		this.fixture.acceptCall("/deposit/1", 6_000, this.caller);
		this.fixture.advance(1_000);
		this.fixture.listTarget("p1", "desk", true);
		this.fixture.listTarget("p2", "desk", true);
		this.fixture.acceptCall("/deposit/2", 6_000, waiting);
		this.fixture.relayService().endActiveRequests();
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
		assertThat(waiting.failure().ran()).isEqualTo(Ran.NO);
		assertThat(this.fixture.relayService().activeRequests()).isZero();
	}

}
