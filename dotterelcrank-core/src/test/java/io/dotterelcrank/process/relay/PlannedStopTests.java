package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

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
		for (String engine : List.of("e1", "e2", "e3")) {
			this.fixture.reportLoad(engine, 8, RelayFixture.MEMORY_TOKENS);
		}
		this.fixture.accept("/summary/1", this.caller);
		assertThat(this.caller.endCount()).isZero();
		this.fixture.advance(EARLY_MILLIS + RelayService.POLL_MILLIS);
		assertThat(this.caller.failure().code()).isEqualTo(ResultCode.ENTRY_LEAVING);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.NO);
		assertThat(this.fixture.targetClient().sendCount()).isZero();
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
