package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.process.limit.RequestLimit;
import io.dotterelcrank.process.overload.ConnectionShare;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RelayedRequest}: faults at each stage of each kind of request.
 */
class RelayedRequestTests {

	private final RelayFixture fixture = new RelayFixture();

	private final RecordingCallerChannel caller = new RecordingCallerChannel();

	private RecordingTargetClient.RecordedExchange exchange(int index) {
		return this.fixture.targetClient().exchange(index);
	}

	private int sendCount() {
		return this.fixture.targetClient().sendCount();
	}

	@Test
	void responseIsForwardedUnchanged() {
		this.fixture.accept("/order/1", this.caller);
		exchange(0).respond(201, "booked");
		assertThat(this.caller.status()).isEqualTo(201);
		assertThat(this.caller.body()).isEqualTo("booked");
		assertThat(this.caller.endCount()).isOne();
	}

	@Test
	void targetGetsWorkspaceNameAndWorkspacePriority() {
		this.fixture.accept("/notes/1", this.caller);
		assertThat(exchange(0).request().workspace()).contains("shop");
		assertThat(exchange(0).request().priority()).hasValue(3);
	}

	@Test
	void unknownRouteAndUnknownKeyAreRejected() {
		this.fixture.accept("/nothing/", this.caller);
		assertThat(this.caller.status()).isEqualTo(404);
		RecordingCallerChannel second = new RecordingCallerChannel();
		this.fixture.accept("/order/1", "other", second);
		assertThat(second.status()).isEqualTo(401);
		assertThat(sendCount()).isZero();
	}

	/** Routes and keys added within the bound were called unknown. */
	@Test
	void nothingIsUnknownInAPlanOlderThanTheBound() {
		this.fixture.relayService().updatePlanAge(RelayFixture.CONFIG_MILLIS + 1);
		RecordingCallerChannel second = new RecordingCallerChannel();
		this.fixture.accept("/nothing/", this.caller);
		this.fixture.accept("/order/1", "other", second);
		assertThat(List.of(this.caller, second)).allSatisfy((channel) -> {
			assertThat(channel.failure().code()).isEqualTo(ResultCode.NOT_READY);
			assertThat(channel.failure().ran()).isEqualTo(Ran.NO);
			assertThat(channel.failure().retryAfterMillis()).isPositive();
		});
		assertThat(this.caller.failure().message()).contains("in version 1, current 2001 ms ago");
		assertThat(sendCount()).isZero();
	}

	@Test
	void refusedNonIdempotentRequestIsRetriedAtAnotherTarget() {
		this.fixture.accept("/order/1", this.caller);
		exchange(0).refuse(503);
		assertThat(sendCount()).isEqualTo(2);
		assertThat(exchange(1).request().target().id()).isNotEqualTo(exchange(0).request().target().id());
		exchange(1).respond(200, "booked");
		assertThat(this.caller.status()).isEqualTo(200);
	}

	@Test
	void generationThatItsEngineGivesBackLateStartsAtAnotherOne() {
		this.fixture.accept("/notes/1", this.caller);
		for (int i = 0; i < 5; i++) {
			this.fixture.advance(1_000);
			List.of("e1", "e2", "e3").forEach((engine) -> this.fixture.reportLoad(engine, 2, 3_000));
		}
		assertThat(sendCount()).isOne();
		exchange(0).refuse(503);
		assertThat(sendCount()).isEqualTo(2);
		assertThat(exchange(1).request().target().id()).isNotEqualTo(exchange(0).request().target().id());
		exchange(1).startStream();
		assertThat(this.caller.status()).isEqualTo(200);
	}

	@Test
	void nonIdempotentRequestRefusedByAllTargetsIsReportedAsNotRun() {
		this.fixture.accept("/order/1", this.caller);
		exchange(0).refuse(503);
		exchange(1).refuse(503);
		this.fixture.advance(1_000);
		assertThat(this.caller.status()).isEqualTo(503);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.NO);
		assertThat(this.caller.failure().retryAfterMillis()).isPositive();
	}

	@Test
	void nonIdempotentRequestThatMayHaveRunIsNotRetried() {
		this.fixture.accept("/order/1", this.caller);
		exchange(0).fail(Ran.UNKNOWN);
		assertThat(sendCount()).isOne();
		assertThat(this.caller.status()).isEqualTo(502);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
	}

	@Test
	void requestRefusedAfterAnAttemptThatMayHaveRunIsNotReportedAsNotRun() {
		this.fixture.accept("/lookup/1", this.caller);
		exchange(0).fail(Ran.UNKNOWN);
		exchange(1).refuse(503);
		this.fixture.advance(1_000);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
		assertThat(this.caller.status()).isIn(502, 504);
	}

	/** The refusal said that the request had not run. */
	@Test
	void retriedRequestThatFindsTooManyWaitingIsNotReportedAsNotRun() {
		this.fixture.relayService().updateEntryHosts(100);
		this.fixture.accept("/lookup/1", this.caller);
		this.fixture.accept("/order/1", new RecordingCallerChannel());
		RecordingCallerChannel refused = new RecordingCallerChannel();
		for (int i = 0; i <= ActiveRequests.MAX_WAITING_REQUESTS; i++) {
			refused = new RecordingCallerChannel();
			this.fixture.acceptCall("/deposit/" + i, 6_000, refused);
		}
		assertThat(refused.failure().ran()).isEqualTo(Ran.NO);
		exchange(0).fail(Ran.UNKNOWN);
		assertThat(this.caller.failure().message()).isEqualTo("too many requests are waiting");
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
		assertThat(this.caller.status()).isEqualTo(502);
	}

	@Test
	void sentNonIdempotentRequestTimesOutAsUnknown() {
		this.fixture.accept("/order/1", this.caller);
		this.fixture.advance(801);
		assertThat(this.caller.status()).isEqualTo(504);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
		assertThat(exchange(0).cancelled()).isTrue();
	}

	@Test
	void unwrittenNonIdempotentRequestTimesOutAsNotRun() {
		this.fixture.accept("/order/1", this.caller);
		exchange(0).markUnwritten();
		this.fixture.advance(801);
		assertThat(this.caller.status()).isEqualTo(503);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.NO);
	}

	@Test
	void idempotentRequestIsRetriedAfterAServerError() {
		this.fixture.accept("/lookup/1", this.caller);
		exchange(0).respond(500, "");
		exchange(1).respond(200, "found");
		assertThat(this.caller.status()).isEqualTo(200);
		assertThat(sendCount()).isEqualTo(2);
	}

	@Test
	void slowIdempotentRequestIsHedgedAndTheFirstResponseWins() {
		this.fixture.accept("/lookup/1", this.caller);
		this.fixture.advance(250);
		assertThat(sendCount()).isEqualTo(2);
		exchange(1).respond(200, "found");
		assertThat(exchange(0).cancelled()).isTrue();
		assertThat(this.caller.endCount()).isOne();
	}

	@Test
	void unconfirmedSuccessIsRejected() {
		this.fixture.accept("/order/1", this.caller);
		exchange(0).respondUnconfirmed(200);
		assertThat(this.caller.status()).isEqualTo(502);
		assertThat(exchange(0).cancelled()).isTrue();
	}

	@Test
	void misdirectedRequestIsRetriedAtAnotherTarget() {
		this.fixture.accept("/order/1", this.caller);
		exchange(0).refuse(421);
		assertThat(sendCount()).isEqualTo(2);
	}

	@Test
	void callerDisconnectCancelsTheAttempt() {
		RelayedRequest relayed = this.fixture.accept("/notes/1", this.caller);
		relayed.callerDisconnected();
		assertThat(exchange(0).cancelled()).isTrue();
		assertThat(this.fixture.relayService().activeRequests()).isZero();
	}

	@Test
	void admittedRequestIsNotSentToAnEngineThatRestartedMeanwhile() {
		this.fixture.admissionClient().link();
		this.fixture.accept("/notes/1", this.caller);
		for (String id : new String[] { "e1", "e2", "e3" }) {
			this.fixture.listTarget(id, "bench", true, 2, false);
		}
		this.fixture.advance(AdmissionRequester.TIMEOUT_MILLIS);
		assertThat(sendCount()).isZero();
	}

	@Test
	void gapInEventIdsEndsTheAttempt() {
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		exchange(0).sendEvent(3);
		assertThat(this.caller.eventIds()).isEqualTo("1");
		assertThat(exchange(0).cancelled()).isTrue();
	}

	@Test
	void streamEndingInsideAnEventIsNotComplete() {
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		exchange(0).sendBytes("id: 2\nda");
		exchange(0).complete();
		this.fixture.targetClient().completeCopy(0, TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		exchange(1).refuse(421);
		assertThat(this.caller.aborted()).isTrue();
	}

	@Test
	void callsBeyondTheShareOfConnectionsWaitForAnother() {
		this.fixture.relayService().updateEntryHosts(20);
		int share = ConnectionShare.of(100, 20).busy();
		for (int i = 0; i < 2 * share + 3; i++) {
			this.fixture.accept("/order/" + i, new RecordingCallerChannel());
		}
		assertThat(sendCount()).isEqualTo(2 * share);
		exchange(0).respond(200, "booked");
		this.fixture.advance(0);
		assertThat(sendCount()).isEqualTo(2 * share + 1);
		assertThat(exchange(2 * share).request().target()).isEqualTo(exchange(0).request().target());
	}

	@Test
	void drainingTargetIsNotChosen() {
		this.fixture.listTarget("p1", "desk", true);
		for (int i = 0; i < 10; i++) {
			this.fixture.accept("/order/" + i, new RecordingCallerChannel());
			assertThat(exchange(i).request().target().id()).isEqualTo("p2");
		}
	}

	@Test
	void requestWaitsForFullEnginesAndIsThenRefused() {
		fillEngines();
		this.fixture.accept("/notes/1", this.caller);
		long maxWaitMillis = (long) (39_000 * RequestPlacement.MAX_WAIT_DEADLINE_FRACTION);
		for (long waitedMillis = 0; waitedMillis < maxWaitMillis - 1_000; waitedMillis += 1_000) {
			this.fixture.advance(1_000);
			fillEngines();
		}
		assertThat(sendCount()).isZero();
		assertThat(this.caller.status()).isZero();
		this.fixture.advance(1_100);
		assertThat(this.caller.status()).isEqualTo(503);
		assertThat(this.caller.failure().retryAfterMillis()).isPositive();
	}

	@Test
	void generationsBeyondTheCapacityAreRefusedAtTheirArrivalWithTurnsOfTheirOwn() {
		fillEngines();
		List<RecordingCallerChannel> callers = new ArrayList<>();
		for (int i = 0; i < 60; i++) {
			RecordingCallerChannel channel = new RecordingCallerChannel();
			callers.add(channel);
			this.fixture.accept("/notes/" + i, channel);
			this.fixture.advance(10);
		}
		List<RecordingCallerChannel> refused = callers.stream().filter((channel) -> channel.status() == 503).toList();
		assertThat(refused).hasSizeGreaterThan(20);
		assertThat(callers.get(0).status()).isZero();
		assertThat(refused).allMatch((channel) -> channel.failure().ran() == Ran.NO);
		assertThat(refused.stream().map((channel) -> channel.failure().retryAfterMillis()).distinct().count())
			.isGreaterThan(refused.size() * 9L / 10);
		assertThat(refused).allMatch((channel) -> channel.failure().retryAfterMillis() <= 13_000);
	}

	@Test
	void generationWaitsWhileEveryPrefillQueueIsLong() {
		for (String id : new String[] { "e1", "e2", "e3" }) {
			this.fixture.reportLoad(id, 2, 4_000, 9_000);
		}
		this.fixture.accept("/notes/1", this.caller);
		assertThat(sendCount()).isZero();
		this.fixture.reportLoad("e2", 2, 4_000, 7_000);
		assertThat(exchange(0).request().target().id()).isEqualTo("e2");
	}

	private void fillEngines() {
		for (String id : new String[] { "e1", "e2", "e3" }) {
			this.fixture.reportLoad(id, 8, RelayFixture.MEMORY_TOKENS);
		}
	}

	@Test
	void waitingRequestIsSentWhenMemoryIsFreed() {
		fillEngines();
		this.fixture.accept("/notes/1", this.caller);
		this.fixture.advance(300);
		this.fixture.reportLoad("e2", 1, 2_000);
		assertThat(exchange(0).request().target().id()).isEqualTo("e2");
	}

	@Test
	void generationWithinItsLatencyGoalIsSentBeforeALateOne() {
		fillEngines();
		this.fixture.accept("/notes/late", this.caller);
		for (int poll = 0; poll < 14; poll++) {
			this.fixture.advance(100);
			fillEngines();
		}
		this.fixture.accept("/notes/fresh", new RecordingCallerChannel());
		this.fixture.advance(100);
		this.fixture.reportLoad("e2", 1, RelayFixture.MEMORY_TOKENS - 6_500);
		assertThat(sendCount()).isOne();
		assertThat(exchange(0).request().request().uri()).isEqualTo("/notes/fresh");
		this.fixture.reportLoad("e3", 1, 2_000);
		assertThat(sendCount()).isEqualTo(2);
		assertThat(exchange(1).request().request().uri()).isEqualTo("/notes/late");
	}

	@Test
	void olderPlanIsIgnored() {
		this.fixture.relayService().updatePlan(RelayFixture.plan(5));
		this.fixture.relayService().updatePlan(RelayFixture.plan(4));
		assertThat(this.fixture.relayService().dump()).containsEntry("planVersion", 5L);
	}

	@Test
	void unreachableTargetIsInBackoff() {
		this.fixture.removeTarget("p2");
		this.fixture.accept("/order/1", this.caller);
		exchange(0).fail(Ran.NO);
		this.fixture.listTarget("p2", "desk", false);
		this.fixture.advance(RelayAttempt.INITIAL_BACKOFF_MILLIS - 100);
		this.fixture.accept("/order/2", new RecordingCallerChannel());
		assertThat(exchange(sendCount() - 1).request().target().id()).isEqualTo("p2");
	}

	@Test
	void requestWaitsForTheFirstPlan() {
		RelayFixture fresh = RelayFixture.withoutPlan();
		fresh.accept("/order/1", this.caller);
		fresh.advance(300);
		assertThat(this.caller.endCount()).isZero();
		fresh.relayService().updatePlan(RelayFixture.plan(1));
		fresh.advance(RelayService.POLL_MILLIS);
		assertThat(fresh.targetClient().sendCount()).isOne();
	}

	/** Requests that waited for the first plan had no deadline. */
	@Test
	void requestThatWaitsForTheFirstPlanIsAnsweredAtItsDeadline() {
		RelayFixture fresh = RelayFixture.withoutPlan();
		fresh.acceptCall("/order/1", 300, this.caller);
		fresh.advance(299);
		assertThat(this.caller.endCount()).isZero();
		fresh.advance(1);
		assertThat(this.caller.failure().code()).isEqualTo(ResultCode.OVERLOADED);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.NO);
		fresh.relayService().updatePlan(RelayFixture.plan(1));
		fresh.advance(1_000);
		assertThat(this.caller.endCount()).isOne();
		assertThat(fresh.targetClient().sendCount()).isZero();
	}

	@Test
	void requestThatHasWaitedForTheFirstPlanIsAnsweredAtTheTimeoutOfItsRoute() {
		RelayFixture fresh = RelayFixture.withoutPlan();
		fresh.acceptCall("/order/1", 1_500, this.caller);
		fresh.advance(300);
		fresh.relayService().updatePlan(RelayFixture.plan(1));
		fresh.advance(499);
		assertThat(this.caller.endCount()).isZero();
		fresh.advance(1);
		assertThat(this.caller.failure().code()).isEqualTo(ResultCode.DEADLINE_EXCEEDED);
		fresh.advance(1_000);
		assertThat(this.caller.endCount()).isOne();
	}

	@Test
	void generationsThatWaitForTheFirstPlanAreSentWhenItArrives() {
		RelayFixture fresh = RelayFixture.withoutPlan();
		fresh.accept("/notes/1", this.caller);
		fresh.accept("/notes/2", new RecordingCallerChannel());
		fresh.accept("/order/1", new RecordingCallerChannel());
		fresh.advance(300);
		fresh.relayService().updatePlan(RelayFixture.plan(1));
		fresh.advance(RelayService.POLL_MILLIS);
		assertThat(fresh.targetClient().sendCount()).isEqualTo(3);
	}

	@Test
	void generationsAreRefusedWhenTheFirstPlanDoesNotArrive() {
		RelayFixture fresh = RelayFixture.withoutPlan();
		RecordingCallerChannel other = new RecordingCallerChannel();
		fresh.accept("/notes/1", this.caller);
		fresh.accept("/notes/2", other);
		fresh.advance(RelayService.STARTUP_WAIT_MILLIS + RelayService.POLL_MILLIS);
		assertThat(this.caller.failure().code()).isEqualTo(ResultCode.NOT_READY);
		assertThat(other.failure().code()).isEqualTo(ResultCode.NOT_READY);
	}

	@Test
	void requestIsRefusedWhenTheFirstPlanDoesNotArrive() {
		RelayFixture fresh = RelayFixture.withoutPlan();
		fresh.accept("/order/1", this.caller);
		fresh.advance(RelayService.STARTUP_WAIT_MILLIS + RelayService.POLL_MILLIS);
		assertThat(this.caller.failure().code()).isEqualTo(ResultCode.NOT_READY);
		RecordingCallerChannel later = new RecordingCallerChannel();
		fresh.accept("/order/2", later);
		assertThat(later.failure().code()).isEqualTo(ResultCode.NOT_READY);
	}

	@Test
	void requestWaitsForTheFirstTargets() {
		RelayFixture fresh = RelayFixture.withoutTargets();
		fresh.accept("/order/1", this.caller);
		fresh.advance(RelayService.STARTUP_WAIT_MILLIS - 100);
		assertThat(this.caller.endCount()).isZero();
		fresh.listTarget("p1", "desk", false);
		assertThat(fresh.targetClient().sendCount()).isOne();
	}

	@Test
	void drainingHostRefusesStreamsFirstAndThenAllRequests() {
		this.fixture.relayService().startDraining(5_600, 7_680);
		this.fixture.advance(3_000);
		this.fixture.accept("/order/1", this.caller);
		assertThat(sendCount()).isOne();
		RecordingCallerChannel stream = new RecordingCallerChannel();
		this.fixture.accept("/notes/1", stream);
		assertThat(stream.failure().code()).isEqualTo(ResultCode.ENTRY_LEAVING);
		this.fixture.advance(2_700);
		RecordingCallerChannel late = new RecordingCallerChannel();
		this.fixture.accept("/order/2", late);
		assertThat(late.failure().code()).isEqualTo(ResultCode.ENTRY_LEAVING);
		assertThat(late.failure().ran()).isEqualTo(Ran.NO);
		assertThat(sendCount()).isOne();
	}

	@Test
	void onlyAConfirmedResponseLiftsTheRequestLimit() {
		this.fixture.accept("/lookup/1", this.caller);
		RecordingTargetClient.RecordedExchange exchange = this.fixture.targetClient().exchange(0);
		TrackedTarget target = this.fixture.relayService()
			.targetPool()
			.find(exchange.request().target().id())
			.orElseThrow();
		target.rateGate().update(RequestLimit.of(50), 0);
		exchange.refuse(503);
		assertThat(target.rateGate().limit()).isEqualTo(RequestLimit.of(50));
	}

	@Test
	void targetThatSaysThatItIsLeavingGetsNoNewRequest() {
		this.fixture.accept("/order/1", this.caller);
		RecordingTargetClient.RecordedExchange first = this.fixture.targetClient().exchange(0);
		first.withLeaving().respond(200, "");
		for (int i = 2; i < 10; i++) {
			this.fixture.accept("/order/" + i, new RecordingCallerChannel());
			RecordingTargetClient.RecordedExchange next = this.fixture.targetClient().exchange(i - 1);
			assertThat(next.request().target().id()).isNotEqualTo(first.request().target().id());
			next.respond(200, "");
		}
	}

	@Test
	void callerIsRefusedAtOnceWhenAllTargetsWantNoRequests() {
		pauseAllTargets(3_000);
		RecordingCallerChannel refused = new RecordingCallerChannel();
		this.fixture.accept("/order/9", refused);
		assertThat(refused.failure().code()).isEqualTo(ResultCode.OVERLOADED);
		assertThat(refused.failure().ran()).isEqualTo(Ran.NO);
		assertThat(refused.failure().retryAfterMillis()).isBetween(3_000L, 4_400L);
	}

	@Test
	void pausedTargetGetsRequestsAgainAfterItsPause() {
		pauseAllTargets(3_000);
		int sends = this.fixture.targetClient().sendCount();
		this.fixture.advance(2_999);
		this.fixture.accept("/order/8", new RecordingCallerChannel());
		assertThat(this.fixture.targetClient().sendCount()).isEqualTo(sends);
		this.fixture.advance(1_000);
		this.fixture.accept("/order/9", new RecordingCallerChannel());
		assertThat(this.fixture.targetClient().sendCount()).isGreaterThan(sends);
	}

	private void pauseAllTargets(long millis) {
		for (int i = 0; i < 4; i++) {
			int sends = this.fixture.targetClient().sendCount();
			this.fixture.accept("/order/" + i, new RecordingCallerChannel());
			if (this.fixture.targetClient().sendCount() > sends) {
				this.fixture.targetClient().exchange(sends).withPause(millis).refuse(503);
			}
		}
	}

}
