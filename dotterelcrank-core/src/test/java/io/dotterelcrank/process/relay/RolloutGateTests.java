package io.dotterelcrank.process.relay;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.VersionCounts;
import io.dotterelcrank.process.rollout.RolloutDecision;
import io.dotterelcrank.process.rollout.RolloutOrder;
import io.dotterelcrank.request.Ran;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that every path on which a request, a KV backup or a KV copy reaches a target
 * obeys {@link RolloutGate}.
 */
class RolloutGateTests {

	private static final RolloutOrder DESK_ORDER = new RolloutOrder("desk", "v2", 12_000, 7);

	private static final RolloutOrder BENCH_ORDER = new RolloutOrder("bench", "v2", 12_000, 7);

	private static final int REQUESTS = 40;

	private final RelayFixture fixture = RelayFixture.withRollouts();

	private final RecordingCallerChannel caller = new RecordingCallerChannel();

	private RecordingTargetClient.RecordedExchange exchange(int index) {
		return this.fixture.targetClient().exchange(index);
	}

	private int sendCount() {
		return this.fixture.targetClient().sendCount();
	}

	@ParameterizedTest
	@CsvSource({ "ROLLED_BACK, old", "SHIFTING, new", "COMPLETED, new" })
	void firstSendsGoToTheVersionThatMayGetThem(RolloutDecision.Stage stage, String target) {
		this.fixture.listTarget("old", "desk", "v1");
		this.fixture.listTarget("new", "desk", "v2");
		this.fixture.rollOut(DESK_ORDER, stage);
		advanceInContact(DESK_ORDER, stage);
		for (int i = 0; i < REQUESTS; i++) {
			this.fixture.accept("/order/1", new RecordingCallerChannel());
			assertThat(exchange(i).request().target().id()).isEqualTo(target);
			exchange(i).respond(200, "booked");
		}
		assertThat(this.fixture.counter("rollouts.refused")).isEqualTo(REQUESTS);
	}

	@Test
	void requestWaitsWhileOnlyAVersionWithoutExposureIsThere() {
		this.fixture.listTarget("new", "desk", "v2");
		this.fixture.rollOut(DESK_ORDER, RolloutDecision.Stage.ROLLED_BACK);
		this.fixture.accept("/order/1", this.caller);
		assertThat(this.caller.failure()).isNull();
		this.fixture.listTarget("old", "desk", "v1");
		assertThat(exchange(0).request().target().id()).isEqualTo("old");
	}

	@Test
	void hedgeDoesNotReachARolledBackVersion() {
		this.fixture.listTarget("old", "desk", "v1");
		this.fixture.accept("/lookup/1", this.caller);
		this.fixture.listTarget("new", "desk", "v2");
		this.fixture.rollOut(DESK_ORDER, RolloutDecision.Stage.ROLLED_BACK);
		this.fixture.advance(300);
		assertThat(sendCount()).isOne();
		this.fixture.listTarget("old2", "desk", "v1");
		this.fixture.advance(RelayService.POLL_MILLIS);
		assertThat(exchange(1).request().target().id()).isEqualTo("old2");
	}

	@Test
	void retryDoesNotReachARolledBackVersion() {
		this.fixture.listTarget("old", "desk", "v1");
		this.fixture.accept("/lookup/1", this.caller);
		this.fixture.listTarget("new", "desk", "v2");
		this.fixture.rollOut(DESK_ORDER, RolloutDecision.Stage.ROLLED_BACK);
		exchange(0).respond(500, "failed");
		assertThat(this.caller.status()).isEqualTo(500);
		assertThat(sendCount()).isOne();
	}

	/**
	 * Lets the time pass after which a version that gets all requests has got them for
	 * some time.
	 */
	private void advanceInContact(RolloutOrder order, RolloutDecision.Stage stage) {
		for (int i = 0; i < 15; i++) {
			this.fixture.advance(300);
			this.fixture.rollOut(order, stage);
		}
	}

	private String acceptStream() {
		this.fixture.accept("/notes/1", this.caller);
		String holder = exchange(0).request().backupHolder().orElseThrow().id();
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		this.fixture.advance(GenerationResumer.MIN_STREAM_MILLIS);
		return holder;
	}

	private void drainEngineOf(int index) {
		this.fixture.listTarget(exchange(index).request().target().id(), "bench", true);
	}

	private void tryEngine(String id) {
		List.of("e1", "e2", "e3").forEach((old) -> this.fixture.listTarget(old, "bench", "v1"));
		this.fixture.listTarget(id, "bench", "v2");
		this.fixture.rollOut(BENCH_ORDER, RolloutDecision.Stage.TRIAL);
	}

	@Test
	void requestGoesToTheOldVersionWhileTheEngineOnTrialIsFull() {
		tryEngine("e4");
		this.fixture.reportLoad("e4", 20, RelayFixture.MEMORY_TOKENS);
		this.fixture.accept("/notes/1", this.caller);
		assertThat(sendCount()).isOne();
		assertThat(exchange(0).request().target().id()).isNotEqualTo("e4");
	}

	@Test
	void engineOnTrialKeepsNoBackupOfTheOldVersion() {
		tryEngine("e4");
		for (String id : List.of("e1", "e2", "e3", "e4")) {
			this.fixture.reportLoad(id, 0, 0);
		}
		int ofOldVersion = 0;
		for (int i = 0; i < 8; i++) {
			this.fixture.accept("/notes/1", new RecordingCallerChannel());
			boolean trial = exchange(i).request().target().id().equals("e4");
			exchange(i).request()
				.backupHolder()
				.ifPresent((holder) -> assertThat(holder.id().equals("e4")).isEqualTo(trial));
			ofOldVersion += trial ? 0 : 1;
		}
		assertThat(ofOldVersion).isPositive();
	}

	@Test
	void streamIsNeitherResumedNorCopiedAtARolledBackVersion() {
		List.of("e1", "e2").forEach((id) -> this.fixture.listTarget(id, "bench", "v1"));
		String holder = acceptStream();
		this.fixture.listTarget(holder, "bench", "v2");
		this.fixture.listTarget("e3", "bench", "v2");
		this.fixture.rollOut(BENCH_ORDER, RolloutDecision.Stage.ROLLED_BACK);
		drainEngineOf(0);
		this.fixture.advance(1_000);
		assertThat(sendCount()).isOne();
		assertThat(this.fixture.targetClient().copyRequestCount()).isZero();
		this.fixture.listTarget("e4", "bench", "v1");
		this.fixture.advance(GenerationResumer.RETRY_INTERVAL_MILLIS);
		assertThat(this.fixture.targetClient().copyRequest(0).holder().id()).isEqualTo("e4");
	}

	@Test
	void brokenStreamIsNotResumedAtARolledBackVersion() {
		List.of("e1", "e2").forEach((id) -> this.fixture.listTarget(id, "bench", "v1"));
		String holder = acceptStream();
		this.fixture.listTarget(holder, "bench", "v2");
		this.fixture.rollOut(BENCH_ORDER, RolloutDecision.Stage.ROLLED_BACK);
		exchange(0).fail(Ran.UNKNOWN);
		assertThat(sendCount()).isOne();
		assertThat(this.caller.aborted()).isTrue();
	}

	@Test
	void rolledBackVersionHoldsNoBackups() {
		this.fixture.listTarget("e1", "bench", "v1");
		this.fixture.listTarget("e2", "bench", "v2");
		this.fixture.rollOut(BENCH_ORDER, RolloutDecision.Stage.ROLLED_BACK);
		this.fixture.accept("/notes/1", this.caller);
		assertThat(exchange(0).request().target().id()).isEqualTo("e1");
		assertThat(exchange(0).request().backupHolder()).isEmpty();
	}

	@Test
	void streamsMoveToTheNewVersionWhileTheOldOneIsReplaced() {
		List.of("e1", "e2").forEach((id) -> this.fixture.listTarget(id, "bench", "v1"));
		acceptStream();
		this.fixture.listTarget("e3", "bench", "v2");
		this.fixture.rollOut(BENCH_ORDER, RolloutDecision.Stage.SHIFTING);
		advanceInContact(BENCH_ORDER, RolloutDecision.Stage.SHIFTING);
		assertThat(this.fixture.targetClient().copyRequest(0).holder().id()).isEqualTo("e3");
		this.fixture.targetClient().completeCopy(0, TargetClient.CopyOutcome.COPIED, "h1");
		assertThat(this.fixture.targetClient().copyRequest(1).stopsFirst()).isTrue();
		this.fixture.targetClient().completeCopy(1, TargetClient.CopyOutcome.COPIED, "h2");
		exchange(1).startStream();
		exchange(1).sendEvent(2);
		exchange(1).complete();
		assertThat(exchange(1).request().target().id()).isEqualTo("e3");
		assertThat(exchange(0).cancelled()).isTrue();
		assertThat(this.caller.eventIds()).isEqualTo("1 2");
		assertThat(this.caller.endCount()).isOne();
	}

	private VersionCounts countsAfterNextEvidence() {
		this.fixture.advance(1_100);
		List<Message.RolloutEvidence> sent = this.fixture.rolloutEvidence();
		return sent.get(sent.size() - 1).counts().get(0);
	}

	@Test
	void outcomesOfTargetsAreCountedUnlessTheyDidNotRunOrLeaveAsAnnounced() {
		this.fixture.listTarget("old", "desk", "v1");
		this.fixture.rollOut(DESK_ORDER, RolloutDecision.Stage.TRIAL);
		for (int i = 0; i < 5; i++) {
			this.fixture.accept("/order/1", new RecordingCallerChannel());
		}
		exchange(0).respond(200, "booked");
		exchange(1).respond(500, "failed");
		exchange(2).fail(Ran.UNKNOWN);
		exchange(3).fail(Ran.NO);
		this.fixture.listTarget("old", "desk", true);
		exchange(4).fail(Ran.UNKNOWN);
		VersionCounts counts = countsAfterNextEvidence();
		assertThat(counts.candidate()).isFalse();
		assertThat(counts.requests()).isEqualTo(3);
		assertThat(counts.failed()).isEqualTo(2);
	}

	@Test
	void breakOfAStreamIsAFailureBesideItsFirstEvent() {
		this.fixture.listTarget("e1", "bench", "v1");
		this.fixture.rollOut(BENCH_ORDER, RolloutDecision.Stage.TRIAL);
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		assertThat(countsAfterNextEvidence().failed()).isZero();
		exchange(0).fail(Ran.UNKNOWN);
		VersionCounts counts = countsAfterNextEvidence();
		assertThat(counts.requests()).isEqualTo(2);
		assertThat(counts.failed()).isOne();
	}

	@Test
	void targetThatIsSlowWhenAHedgeRespondsIsCounted() {
		this.fixture.listTarget("old", "desk", "v1");
		this.fixture.listTarget("old2", "desk", "v1");
		this.fixture.rollOut(DESK_ORDER, RolloutDecision.Stage.TRIAL);
		this.fixture.accept("/lookup/1", this.caller);
		this.fixture.advance(250);
		exchange(1).respond(200, "found");
		assertThat(exchange(0).cancelled()).isTrue();
		assertThat(countsAfterNextEvidence().requests()).isEqualTo(2);
	}

	@Test
	void targetThatHasNotReceivedTheRequestIsNotCountedAsSlow() {
		this.fixture.listTarget("old", "desk", "v1");
		this.fixture.listTarget("old2", "desk", "v1");
		this.fixture.rollOut(DESK_ORDER, RolloutDecision.Stage.TRIAL);
		this.fixture.accept("/lookup/1", this.caller);
		exchange(0).markUnwritten();
		this.fixture.advance(250);
		exchange(1).respond(200, "found");
		assertThat(exchange(0).cancelled()).isTrue();
		assertThat(countsAfterNextEvidence().requests()).isEqualTo(1);
	}

	@Test
	void versionsAreTreatedAlikeWithoutRolloutsInTheDeployment() {
		RelayFixture disabled = new RelayFixture();
		disabled.listTarget("p3", "desk", "v2");
		disabled.rollOut(DESK_ORDER, RolloutDecision.Stage.ROLLED_BACK);
		for (int i = 0; i < REQUESTS; i++) {
			disabled.accept("/order/1", new RecordingCallerChannel());
		}
		assertThat(disabled.targetClient().sendCount()).isEqualTo(REQUESTS);
		assertThat(IntStream.range(0, REQUESTS)
			.mapToObj((i) -> disabled.targetClient().exchange(i).request().target().id())).contains("p3");
		assertThat(disabled.counter("rollouts.refused")).isZero();
	}

}
