package io.dotterelcrank.process.relay;

import java.util.List;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RelayedRequest}: fault points by kind of request.
 */
class RelayedRequestTests {

	private final RelayFixture fixture = new RelayFixture();

	private final RecordingCaller caller = new RecordingCaller();

	private RecordingTargets.Sent sent(int index) {
		return this.fixture.targets().sent(index);
	}

	private int sends() {
		return this.fixture.targets().count();
	}

	@Test
	void answerIsPassedOnUnchanged() {
		this.fixture.accept("/order/1", this.caller);
		sent(0).answer(201, "booked");
		assertThat(this.caller.status()).isEqualTo(201);
		assertThat(this.caller.body()).isEqualTo("booked");
		assertThat(this.caller.ends()).isOne();
	}

	@Test
	void workspaceIsNamedAndItsPriorityReplacesTheRoutes() {
		this.fixture.accept("/notes/1", this.caller);
		assertThat(sent(0).request().workspace()).contains("shop");
		assertThat(sent(0).request().priority()).hasValue(3);
	}

	@Test
	void unknownRouteAndKeyAreRefused() {
		this.fixture.accept("/nothing/", this.caller);
		assertThat(this.caller.status()).isEqualTo(404);
		RecordingCaller second = new RecordingCaller();
		this.fixture.accept("/order/1", "other", second);
		assertThat(second.status()).isEqualTo(401);
		assertThat(sends()).isZero();
	}

	@Test
	void unknownRouteInOldPlanIsNotReady() {
		this.fixture.service().updatePlanAge(RelayService.PLAN_FRESH_MILLIS + 1);
		this.fixture.accept("/nothing/", this.caller);
		assertThat(this.caller.failure().code()).isEqualTo(ResultCode.NOT_READY);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.NO);
		assertThat(this.caller.failure().retryAfterMillis()).isPositive();
	}

	@Test
	void refusedOrderGoesToAnotherTarget() {
		this.fixture.accept("/order/1", this.caller);
		sent(0).refuse(503);
		assertThat(sends()).isEqualTo(2);
		assertThat(sent(1).request().target().id()).isNotEqualTo(sent(0).request().target().id());
		sent(1).answer(200, "booked");
		assertThat(this.caller.status()).isEqualTo(200);
	}

	@Test
	void orderRefusedEverywhereIsNotRun() {
		this.fixture.accept("/order/1", this.caller);
		sent(0).refuse(503);
		sent(1).refuse(503);
		this.fixture.advance(1_000);
		assertThat(this.caller.status()).isEqualTo(503);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.NO);
		assertThat(this.caller.failure().retryAfterMillis()).isPositive();
	}

	@Test
	void orderThatMayHaveRunIsNeverSentAgain() {
		this.fixture.accept("/order/1", this.caller);
		sent(0).fail(Ran.UNKNOWN);
		assertThat(sends()).isOne();
		assertThat(this.caller.status()).isEqualTo(502);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
	}

	@Test
	void orderRefusedAfterOneThatMayHaveRunIsNotToldAsNotRun() {
		this.fixture.accept("/lookup/1", this.caller);
		sent(0).fail(Ran.UNKNOWN);
		sent(1).refuse(503);
		this.fixture.advance(1_000);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
		assertThat(this.caller.status()).isIn(502, 504);
	}

	@Test
	void sentOrderWithoutAnswerTimesOutAsUnknown() {
		this.fixture.accept("/order/1", this.caller);
		this.fixture.advance(801);
		assertThat(this.caller.status()).isEqualTo(504);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
		assertThat(sent(0).cancelled()).isTrue();
	}

	@Test
	void orderThatNeverLeftTimesOutAsNotRun() {
		this.fixture.accept("/order/1", this.caller);
		sent(0).unwritten();
		this.fixture.advance(801);
		assertThat(this.caller.status()).isEqualTo(503);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.NO);
	}

	@Test
	void failedLookupIsRepeatedOnce() {
		this.fixture.accept("/lookup/1", this.caller);
		sent(0).answer(500, "");
		sent(1).answer(200, "found");
		assertThat(this.caller.status()).isEqualTo(200);
		assertThat(sends()).isEqualTo(2);
	}

	@Test
	void lateLookupIsAlsoSentElsewhereAndTheFirstAnswerWins() {
		this.fixture.accept("/lookup/1", this.caller);
		this.fixture.advance(250);
		assertThat(sends()).isEqualTo(2);
		sent(1).answer(200, "found");
		assertThat(sent(0).cancelled()).isTrue();
		assertThat(this.caller.ends()).isOne();
	}

	@Test
	void successWithoutSealIsNoAnswer() {
		this.fixture.accept("/order/1", this.caller);
		sent(0).unsealed(200);
		assertThat(this.caller.status()).isEqualTo(502);
		assertThat(sent(0).cancelled()).isTrue();
	}

	@Test
	void misdirectedRequestGoesToAnotherTarget() {
		this.fixture.accept("/order/1", this.caller);
		sent(0).refuse(421);
		assertThat(sends()).isEqualTo(2);
	}

	@Test
	void callerThatLeavesStopsTheTarget() {
		RelayedRequest relay = this.fixture.accept("/notes/1", this.caller);
		relay.callerDisconnected();
		assertThat(sent(0).cancelled()).isTrue();
		assertThat(this.fixture.service().activeRequests()).isZero();
	}

	@Test
	void streamGoesOnFromItsCopyWhenTheEngineLeaves() {
		this.fixture.accept("/notes/1", this.caller);
		String holder = sent(0).request().backup().orElseThrow().id();
		sent(0).stream();
		sent(0).event(1);
		sent(0).event(2);
		leave(0);
		assertThat(sent(1).request().target().id()).isEqualTo(holder);
		assertThat(sent(1).request().resumeFrom().orElseThrow().handle()).isEqualTo("attempt-1");
		assertThat(sent(1).request().lastEventId()).hasValue(2);
		sent(0).event(3);
		assertThat(sent(0).cancelled()).isFalse();
		sent(1).stream();
		assertThat(sent(0).cancelled()).isTrue();
		sent(1).event(3);
		sent(1).event(4);
		sent(1).complete();
		assertThat(this.caller.ids()).isEqualTo("1 2 3 4");
		assertThat(this.caller.ends()).isOne();
	}

	@Test
	void copyThatIsNotThereYetIsTriedAgain() {
		this.fixture.accept("/notes/1", this.caller);
		sent(0).stream();
		leave(0);
		sent(1).refuse(503);
		sent(0).event(1);
		this.fixture.advance(Continuation.RETRY_MILLIS + RelayService.TICK_MILLIS);
		assertThat(sends()).isEqualTo(3);
		sent(2).stream();
		sent(2).event(2);
		sent(2).complete();
		assertThat(this.caller.ids()).isEqualTo("1 2");
	}

	@Test
	void streamGoesOnWhenTheEngineCrashes() {
		this.fixture.accept("/notes/1", this.caller);
		sent(0).stream();
		sent(0).event(1);
		sent(0).bytes("id: 2\ndat");
		sent(0).fail(Ran.UNKNOWN);
		sent(1).stream();
		sent(1).event(2);
		sent(1).complete();
		assertThat(this.caller.ids()).isEqualTo("1 2");
		assertThat(this.caller.aborted()).isFalse();
	}

	@Test
	void streamWithoutCopyIsBrokenOff() {
		this.fixture.accept("/notes/1", this.caller);
		sent(0).stream();
		sent(0).event(1);
		sent(0).fail(Ran.UNKNOWN);
		sent(1).refuse(503);
		assertThat(this.caller.aborted()).isTrue();
		assertThat(sends()).isEqualTo(2);
	}

	@Test
	void missingEventIsNeverSkipped() {
		this.fixture.accept("/notes/1", this.caller);
		sent(0).stream();
		sent(0).event(1);
		sent(0).event(3);
		assertThat(this.caller.ids()).isEqualTo("1");
		assertThat(sent(0).cancelled()).isTrue();
	}

	@Test
	void silentStreamGoesOnFromItsCopy() {
		this.fixture.accept("/notes/1", this.caller);
		sent(0).stream();
		sent(0).event(1);
		this.fixture.advance(Continuation.SILENT_MILLIS + RelayService.TICK_MILLIS);
		assertThat(sent(1).request().lastEventId()).hasValue(1);
	}

	@Test
	void streamThatEndsInsideAnEventIsNotComplete() {
		this.fixture.accept("/notes/1", this.caller);
		sent(0).stream();
		sent(0).event(1);
		sent(0).bytes("id: 2\nda");
		sent(0).complete();
		sent(1).refuse(503);
		assertThat(this.caller.aborted()).isTrue();
	}

	@Test
	void targetOfLeavingIsNotChosen() {
		this.fixture.list("p1", "desk", true);
		for (int i = 0; i < 10; i++) {
			this.fixture.accept("/order/" + i, new RecordingCaller());
			assertThat(sent(i).request().target().id()).isEqualTo("p2");
		}
	}

	@Test
	void fullEnginesMakeARequestWaitAndThenRefuseIt() {
		fillEngines();
		this.fixture.accept("/notes/1", this.caller);
		long longestMillis = (long) (39_000 * RelayedRequest.WAIT_DEADLINE_PART);
		for (long waited = 0; waited < longestMillis - 1_000; waited += 1_000) {
			this.fixture.advance(1_000);
			fillEngines();
		}
		assertThat(sends()).isZero();
		assertThat(this.caller.status()).isZero();
		this.fixture.advance(1_100);
		assertThat(this.caller.status()).isEqualTo(503);
		assertThat(this.caller.failure().retryAfterMillis()).isPositive();
	}

	private void fillEngines() {
		for (String id : new String[] { "e1", "e2", "e3" }) {
			this.fixture.load(id, 8, RelayFixture.MEMORY_TOKENS);
		}
	}

	@Test
	void runsOfOneEngineAreMovedOneAfterAnother() {
		crowdEngines();
		RecordingCaller second = new RecordingCaller();
		this.fixture.accept("/notes/1", this.caller);
		String source = sent(0).request().target().id();
		sent(0).stream();
		sent(0).event(1);
		int other = acceptAt(source, second);
		sent(other).stream();
		sent(other).event(1);
		leave(0);
		RecordingTargets targets = this.fixture.targets();
		this.fixture.advance(300);
		assertThat(targets.copies()).isOne();
		targets.answerCopy(0, TargetClient.CopyOutcome.COPIED, "h1");
		this.fixture.advance(300);
		assertThat(targets.copies()).isEqualTo(2);
		assertThat(targets.copy(1).attemptId()).isNotEqualTo(targets.copy(0).attemptId());
	}

	@Test
	void runThatSavesMostForEachTokenIsCopiedFirst() {
		crowdEngines();
		this.fixture.accept("/notes/1", this.caller);
		sent(0).stream();
		for (int event = 1; event <= 200; event++) {
			sent(0).event(event);
		}
		int younger = acceptAt(sent(0).request().target().id(), new RecordingCaller());
		sent(younger).stream();
		sent(younger).event(1);
		leave(0);
		this.fixture.advance(300);
		assertThat(this.fixture.targets().copy(0).attemptId()).isEqualTo(sent(younger).request().request().id());
	}

	private int acceptAt(String target, RecordingCaller waiting) {
		for (int i = 0; i < 50; i++) {
			RecordingCaller tried = (i == 0) ? waiting : new RecordingCaller();
			RelayedRequest relay = this.fixture.accept("/notes/x", tried);
			int index = sends() - 1;
			if (sent(index).request().target().id().equals(target)) {
				return index;
			}
			relay.callerDisconnected();
		}
		throw new AssertionError("no request went to " + target);
	}

	@Test
	void waitingRequestIsSentWhenRoomAppears() {
		fillEngines();
		this.fixture.accept("/notes/1", this.caller);
		this.fixture.advance(300);
		this.fixture.load("e2", 1, 2_000);
		assertThat(sent(0).request().target().id()).isEqualTo("e2");
	}

	@Test
	void generationThatCanBeOnTimeIsServedBeforeOneThatIsLateAnyway() {
		fillEngines();
		this.fixture.accept("/notes/late", this.caller);
		for (int look = 0; look < 14; look++) {
			this.fixture.advance(100);
			fillEngines();
		}
		this.fixture.accept("/notes/fresh", new RecordingCaller());
		this.fixture.advance(100);
		this.fixture.load("e2", 1, RelayFixture.MEMORY_TOKENS - 6_500);
		assertThat(sends()).isOne();
		assertThat(sent(0).request().request().uri()).isEqualTo("/notes/fresh");
		this.fixture.load("e3", 1, 2_000);
		assertThat(sends()).isEqualTo(2);
		assertThat(sent(1).request().request().uri()).isEqualTo("/notes/late");
	}

	@Test
	void planNeverReverts() {
		this.fixture.service().plan(RelayFixture.plan(5));
		this.fixture.service().plan(RelayFixture.plan(4));
		assertThat(this.fixture.service().dump()).containsEntry("planVersion", 5L);
	}

	private void leave(int index) {
		this.fixture.advance(Continuation.LEAST_STREAM_MILLIS);
		this.fixture.list(sent(index).request().target().id(), "bench", true);
	}

	@Test
	void runThatHasNotStreamedIsNotMovedYet() {
		this.fixture.accept("/notes/1", this.caller);
		leave(0);
		this.fixture.advance(500);
		assertThat(sends()).isOne();
		assertThat(this.fixture.targets().copies()).isZero();
		sent(0).stream();
		this.fixture.advance(Continuation.LEAST_STREAM_MILLIS + RelayService.TICK_MILLIS);
		assertThat(sends()).isEqualTo(2);
	}

	private void crowdEngines() {
		for (String id : new String[] { "e1", "e2", "e3" }) {
			this.fixture.load(id, 4, (long) (RelayFixture.MEMORY_TOKENS * Continuation.BACKUP_PART) - 2_000);
		}
	}

	@Test
	void crowdedEnginesKeepNoBackup() {
		crowdEngines();
		this.fixture.accept("/notes/1", this.caller);
		assertThat(sent(0).request().backup()).isEmpty();
	}

	@Test
	void runWithoutBackupIsCopiedAndGoesOnAtTheHolder() {
		crowdEngines();
		this.fixture.accept("/notes/1", this.caller);
		sent(0).stream();
		sent(0).event(1);
		leave(0);
		RecordingTargets targets = this.fixture.targets();
		sent(0).event(2);
		targets.answerCopy(0, TargetClient.CopyOutcome.COPIED, "h1");
		assertThat(sent(1).request().target()).isEqualTo(targets.copy(0).holder());
		assertThat(sent(1).request().resumeFrom().orElseThrow().handleOwner().id())
			.isEqualTo(sent(0).request().target().id());
		assertThat(sent(1).request().resumeFrom().orElseThrow().handle()).isEqualTo("h1");
		assertThat(sent(1).request().lastEventId()).hasValue(2);
		sent(0).event(3);
		sent(1).stream();
		assertThat(sent(0).cancelled()).isTrue();
		sent(1).event(3);
		sent(1).event(4);
		sent(1).complete();
		assertThat(this.caller.ids()).isEqualTo("1 2 3 4");
	}

	@Test
	void runThatGoesOnIsNotSentTwiceWhenItsEngineEnds() {
		crowdEngines();
		this.fixture.accept("/notes/1", this.caller);
		sent(0).stream();
		sent(0).event(1);
		leave(0);
		this.fixture.targets().answerCopy(0, TargetClient.CopyOutcome.COPIED, "h1");
		sent(0).fail(Ran.UNKNOWN);
		this.fixture.advance(500);
		assertThat(sends()).isEqualTo(2);
		assertThat(this.fixture.targets().copies()).isOne();
	}

	@Test
	void runIsCopiedWhereItsPromptFitsIfNoEngineHoldsItWhole() {
		crowdEngines();
		this.fixture.accept("/notes/1", this.caller);
		sent(0).stream();
		sent(0).event(1);
		long used = (long) (RelayFixture.MEMORY_TOKENS * 0.95) - 3_500;
		List.of("e1", "e2", "e3").forEach((engine) -> this.fixture.load(engine, 1, used));
		leave(0);
		this.fixture.advance(100);
		assertThat(this.fixture.targets().copies()).isOne();
	}

	@Test
	void copyWithoutRoomIsAskedForAgain() {
		crowdEngines();
		this.fixture.accept("/notes/1", this.caller);
		sent(0).stream();
		leave(0);
		this.fixture.targets().answerCopy(0, TargetClient.CopyOutcome.NO_ROOM, null);
		this.fixture.advance(Continuation.RETRY_MILLIS + RelayService.TICK_MILLIS);
		assertThat(this.fixture.targets().copies()).isEqualTo(2);
		assertThat(sends()).isOne();
	}

	@Test
	void crashDuringTheCopyEndsTheRun() {
		crowdEngines();
		this.fixture.accept("/notes/1", this.caller);
		sent(0).stream();
		sent(0).event(1);
		leave(0);
		sent(0).fail(Ran.UNKNOWN);
		assertThat(this.caller.ends()).isZero();
		this.fixture.targets().answerCopy(0, TargetClient.CopyOutcome.UNANSWERED, null);
		assertThat(this.caller.aborted()).isTrue();
	}

	@Test
	void copyAnsweredAfterTheCallerLeftSendsNothing() {
		crowdEngines();
		RelayedRequest relay = this.fixture.accept("/notes/1", this.caller);
		sent(0).stream();
		leave(0);
		relay.callerDisconnected();
		this.fixture.targets().answerCopy(0, TargetClient.CopyOutcome.COPIED, "h1");
		assertThat(this.fixture.targets().copies()).isOne();
		assertThat(sends()).isOne();
	}

	@Test
	void unreachableTargetIsAvoided() {
		this.fixture.gone("p2");
		this.fixture.accept("/order/1", this.caller);
		sent(0).fail(Ran.NO);
		this.fixture.list("p2", "desk", false);
		this.fixture.advance(RelayAttempt.AVOID_MILLIS - 100);
		this.fixture.accept("/order/2", new RecordingCaller());
		assertThat(sent(sends() - 1).request().target().id()).isEqualTo("p2");
	}

	@Test
	void requestsWaitForTheFirstPlanAfterTheStart() {
		RelayFixture fresh = RelayFixture.withoutPlan();
		fresh.accept("/order/1", this.caller);
		fresh.advance(300);
		assertThat(this.caller.ends()).isZero();
		fresh.service().plan(RelayFixture.plan(1));
		fresh.advance(RelayService.TICK_MILLIS);
		assertThat(fresh.targets().count()).isOne();
	}

	@Test
	void requestsAreRefusedWhenTheFirstPlanDoesNotCome() {
		RelayFixture fresh = RelayFixture.withoutPlan();
		fresh.accept("/order/1", this.caller);
		fresh.advance(RelayService.FIRST_PLAN_MILLIS + RelayService.TICK_MILLIS);
		assertThat(this.caller.failure().code()).isEqualTo(ResultCode.NOT_READY);
		RecordingCaller later = new RecordingCaller();
		fresh.accept("/order/2", later);
		assertThat(later.failure().code()).isEqualTo(ResultCode.NOT_READY);
	}

	@Test
	void callsWaitForTheFirstTargetsAfterTheStart() {
		RelayFixture fresh = RelayFixture.withoutTargets();
		fresh.accept("/order/1", this.caller);
		fresh.advance(RelayService.FIRST_PLAN_MILLIS - 100);
		assertThat(this.caller.ends()).isZero();
		fresh.list("p1", "desk", false);
		assertThat(fresh.targets().count()).isOne();
	}

	@Test
	void stoppingHostServesCallsForAWhileAndThenRefusesThem() {
		this.fixture.service().startDraining(5_600);
		this.fixture.advance(3_000);
		this.fixture.accept("/order/1", this.caller);
		assertThat(sends()).isOne();
		RecordingCaller stream = new RecordingCaller();
		this.fixture.accept("/notes/1", stream);
		assertThat(stream.failure().code()).isEqualTo(ResultCode.ENTRY_LEAVING);
		this.fixture.advance(2_700);
		RecordingCaller late = new RecordingCaller();
		this.fixture.accept("/order/2", late);
		assertThat(late.failure().code()).isEqualTo(ResultCode.ENTRY_LEAVING);
		assertThat(late.failure().ran()).isEqualTo(Ran.NO);
		assertThat(sends()).isOne();
	}

	@Test
	void enginesThatAreFairlyFullKeepNoBackups() {
		List.of("e1", "e2", "e3").forEach((engine) -> this.fixture.load(engine, 3, RelayFixture.MEMORY_TOKENS / 2));
		this.fixture.accept("/notes/1", this.caller);
		assertThat(sent(0).request().backup()).isEmpty();
		List.of("e1", "e2", "e3").forEach((engine) -> this.fixture.load(engine, 1, RelayFixture.MEMORY_TOKENS / 5));
		this.fixture.accept("/notes/2", new RecordingCaller());
		assertThat(sent(1).request().backup()).isPresent();
	}

}
