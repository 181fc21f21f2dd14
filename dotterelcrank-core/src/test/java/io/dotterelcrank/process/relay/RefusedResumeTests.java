package io.dotterelcrank.process.relay;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.Ran;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of generations whose engine has stopped and whose next engine refuses to go on
 * with them, driven by whole requests.
 */
class RefusedResumeTests {

	/** Number of tries after the first refusal that a caller awaits. */
	private static final int TRIES = 5;

	private final RelayFixture fixture = new RelayFixture();

	private final RecordingCallerChannel caller = new RecordingCallerChannel();

	private final RecordingTargetClient targetClient = this.fixture.targetClient();

	private RelayedRequest relayed;

	@BeforeEach
	void startStream() {
		this.relayed = this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
	}

	private RecordingTargetClient.RecordedExchange exchange(int index) {
		return this.targetClient.exchange(index);
	}

	private String holderId() {
		return exchange(0).request().backupHolder().orElseThrow().id();
	}

	/**
	 * Lets the engine drain, which ends the stream when it is asked to stop.
	 */
	private void drainAndStop() {
		this.fixture.advance(GenerationResumer.MIN_STREAM_MILLIS);
		this.fixture.listTarget(exchange(0).request().target().id(), "bench", true);
		exchange(0).fail(Ran.UNKNOWN);
	}

	/**
	 * Answers the newest call that stops the engine.
	 */
	private void answerStop(TargetClient.CopyOutcome outcome, String handle) {
		int index = this.targetClient.copyRequestCount() - 1;
		assertThat(this.targetClient.copyRequest(index).stopsFirst()).isTrue();
		this.targetClient.completeCopy(index, outcome, handle);
	}

	private void advanceByPolls(long millis) {
		for (long passed = 0; passed < millis; passed += RelayService.POLL_MILLIS) {
			this.fixture.advance(RelayService.POLL_MILLIS);
		}
	}

	private void assertGoesOnAt(int index) {
		exchange(index).startStream();
		exchange(index).sendEvent(2);
		exchange(index).complete();
		assertThat(this.caller.eventIds()).isEqualTo("1 2");
		assertThat(this.caller.aborted()).isFalse();
		assertThat(this.caller.endCount()).isOne();
		assertThat(this.targetClient.sendCount()).isEqualTo(index + 1);
	}

	/** The stream was cut once the stop was not answered, and nothing else was tried. */
	@Test
	void streamGoesOnAtAnEngineThatWasFullForAMoment() {
		drainAndStop();
		exchange(1).refuse(503);
		advanceByPolls(RefusedCopies.INITIAL_PAUSE_MILLIS + RelayService.POLL_MILLIS);
		assertThat(exchange(2).request().target().id()).isEqualTo(holderId());
		assertThat(exchange(2).request().resumeFrom()).isEqualTo(exchange(1).request().resumeFrom());
		assertThat(exchange(2).request().lastEventId()).hasValue(1);
		answerStop(TargetClient.CopyOutcome.UNANSWERED, null);
		assertGoesOnAt(2);
	}

	/** The stream was cut as soon as its engine was known to have stopped. */
	@Test
	void streamIsNotCutWhenTheStopIsAnsweredAfterTheRefusal() {
		drainAndStop();
		exchange(1).refuse(503);
		answerStop(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		assertThat(this.caller.aborted()).isFalse();
		advanceByPolls(RefusedCopies.INITIAL_PAUSE_MILLIS + RelayService.POLL_MILLIS);
		assertGoesOnAt(2);
	}

	@Test
	void fullEngineIsTriedLessAndLessOften() {
		drainAndStop();
		answerStop(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		long pauseMillis = RefusedCopies.INITIAL_PAUSE_MILLIS;
		for (int index = 1; index <= 4; index++) {
			exchange(index).refuse(503);
			advanceByPolls(pauseMillis - RelayService.POLL_MILLIS);
			assertThat(this.targetClient.sendCount()).isEqualTo(index + 1);
			advanceByPolls(2 * RelayService.POLL_MILLIS);
			assertThat(this.targetClient.sendCount()).isEqualTo(index + 2);
			pauseMillis = 2 * pauseMillis;
		}
		assertGoesOnAt(5);
	}

	@Test
	void streamIsAbortedOnceItsCallerWouldHaveLeftBeforeTheNextTry() {
		drainAndStop();
		answerStop(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		exchange(1).refuse(503);
		long patienceMillis = 4 * 1_800 - GenerationResumer.MIN_STREAM_MILLIS;
		for (int index = 2; !this.caller.aborted(); patienceMillis -= RelayService.POLL_MILLIS) {
			assertThat(patienceMillis).isPositive();
			this.fixture.advance(RelayService.POLL_MILLIS);
			if (this.targetClient.sendCount() > index) {
				exchange(index++).refuse(503);
			}
		}
		assertThat(patienceMillis).isLessThan(RefusedCopies.INITIAL_PAUSE_MILLIS << TRIES);
		assertThat(this.targetClient.sendCount()).isEqualTo(2 + TRIES);
		assertThat(this.caller.endCount()).isOne();
	}

	@Test
	void streamOfALostEngineIsAbortedWhenTheKvBackupIsMissingUntilTheLastTryThatCallersAwait() {
		exchange(0).fail(Ran.UNKNOWN);
		for (int i = 0; i < 2; i++) {
			answerStop(TargetClient.CopyOutcome.UNREACHABLE, null);
			this.fixture.advance(SourceStop.RETRY_INTERVAL_MILLIS);
		}
		answerStop(TargetClient.CopyOutcome.UNREACHABLE, null);
		long waitedMillis = 2 * SourceStop.RETRY_INTERVAL_MILLIS;
		for (int index = 1; !this.caller.aborted(); waitedMillis += RelayService.POLL_MILLIS) {
			if (this.targetClient.sendCount() > index) {
				exchange(index++).refuse(503);
			}
			this.fixture.advance(RelayService.POLL_MILLIS);
		}
		assertThat(waitedMillis).isBetween(4 * 1_800 - (RefusedCopies.INITIAL_PAUSE_MILLIS << TRIES), 4 * 1_800L);
		assertThat(this.targetClient.sendCount()).isEqualTo(2 + TRIES);
	}

	@Test
	void fullEngineGetsNothingForTheTimeThatItNames() {
		drainAndStop();
		answerStop(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		exchange(1).withPause(1_000).refuse(503);
		advanceByPolls(1_000);
		assertThat(this.targetClient.sendCount()).isEqualTo(2);
		assertThat(this.caller.aborted()).isFalse();
		advanceByPolls(1_000);
		assertGoesOnAt(2);
	}

	@Test
	void engineThatMayHaveTakenOverIsNotTriedAgain() {
		drainAndStop();
		answerStop(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		exchange(1).refuse(503);
		advanceByPolls(RefusedCopies.INITIAL_PAUSE_MILLIS + RelayService.POLL_MILLIS);
		exchange(2).fail(Ran.UNKNOWN);
		advanceByPolls(800);
		assertThat(this.targetClient.sendCount()).isEqualTo(3);
		assertThat(this.targetClient.copyRequest(1).source()).isEqualTo(exchange(2).request().target());
	}

	@Test
	void refusedResumeIsNotTriedForACallerThatLeft() {
		drainAndStop();
		answerStop(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		exchange(1).refuse(503);
		this.relayed.callerDisconnected();
		advanceByPolls(800);
		assertThat(this.targetClient.sendCount()).isEqualTo(2);
	}

	@Test
	void memoryOfARefusedLastCopyIsFreedWhenItsCallerLeaves() {
		drainAndStop();
		answerStop(TargetClient.CopyOutcome.COPIED, "h1");
		exchange(1).refuse(503);
		exchange(2).refuse(503);
		assertThat(this.targetClient.freedCopies()).isEmpty();
		this.relayed.callerDisconnected();
		assertThat(this.targetClient.freedCopies()).containsExactly("h1");
	}

	@Test
	void streamIsAbortedAtOnceIfItsHolderPausesForLongerThanItsCallerWaits() {
		drainAndStop();
		answerStop(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		exchange(1).withPause(60_000).refuse(503);
		assertThat(this.caller.aborted()).isTrue();
	}

	@Test
	void refusedResumeIsNotTriedBeyondTheRetryBudget() {
		drainAndStop();
		answerStop(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		exchange(1).refuse(503);
		while (this.fixture.relayService().retryBudgetAllows("bench")) {
			this.fixture.relayService().retryBudget("bench").recordRetry();
		}
		advanceByPolls(RefusedCopies.INITIAL_PAUSE_MILLIS + RelayService.POLL_MILLIS);
		assertThat(this.targetClient.sendCount()).isEqualTo(2);
		assertThat(this.fixture.retryLoanRequests()).contains("bench");
		assertThat(this.caller.aborted()).isFalse();
		this.fixture.relayService().addRetryLoan("bench");
		this.fixture.advance(0);
		assertGoesOnAt(2);
	}

	@Test
	void refusedLastCopyIsFreedWhenTheBackupIsUsed() {
		drainAndStop();
		exchange(1).refuse(503);
		answerStop(TargetClient.CopyOutcome.COPIED, "h1");
		exchange(2).refuse(503);
		advanceByPolls(2 * RefusedCopies.INITIAL_PAUSE_MILLIS + RelayService.POLL_MILLIS);
		assertThat(exchange(3).request().resumeFrom().orElseThrow().handle()).isEqualTo("attempt-1");
		assertThat(this.targetClient.freedCopies()).isEmpty();
		assertGoesOnAt(3);
		assertThat(this.targetClient.freedCopies()).containsExactly("h1");
	}

	/** The stream was cut, as its backup was left out for a second. */
	@Test
	void streamOfALostEngineGoesOnThoughItsHolderHasRefusedAnotherRequest() {
		this.fixture.relayService().targetPool().find(holderId()).orElseThrow().backOff(1_000);
		exchange(0).fail(Ran.UNKNOWN);
		assertThat(this.caller.aborted()).isFalse();
		answerStop(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		assertThat(exchange(1).request().target().id()).isEqualTo(holderId());
		assertGoesOnAt(1);
	}

	@Test
	void streamOfALostEngineGoesOnThoughItsHolderWantsNoRequestsForAMoment() {
		this.fixture.relayService().targetPool().find(holderId()).orElseThrow().rateGate().pause(600);
		exchange(0).fail(Ran.UNKNOWN);
		answerStop(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		advanceByPolls(500);
		assertThat(this.targetClient.sendCount()).isOne();
		assertThat(this.caller.aborted()).isFalse();
		advanceByPolls(1_000);
		assertGoesOnAt(1);
	}

	/** The stream was cut though its backup was there: only a last copy had no room. */
	@Test
	void streamOfALostEngineGoesOnThoughItsHolderHadNoRoomForALastCopy() {
		this.fixture.advance(GenerationResumer.MIN_STREAM_MILLIS);
		this.fixture.listTarget(exchange(0).request().target().id(), "bench", true);
		answerStop(TargetClient.CopyOutcome.NO_ROOM, null);
		exchange(0).fail(Ran.UNKNOWN);
		assertThat(this.caller.aborted()).isFalse();
		answerStop(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		assertThat(exchange(1).request().resumeFrom().orElseThrow().handle()).isEqualTo("attempt-1");
		assertGoesOnAt(1);
	}

	/** The copy was thrown away, and with it the stream. */
	@Test
	void streamThatBreaksDuringItsKvCopyGoesOnThoughTheHolderWantsNoRequestsForAMoment() {
		this.fixture.advance(GenerationResumer.MIN_STREAM_MILLIS);
		this.fixture.listTarget(exchange(0).request().target().id(), "bench", true);
		answerStop(TargetClient.CopyOutcome.NO_ROOM, null);
		advanceByPolls(GenerationResumer.RETRY_INTERVAL_MILLIS + RelayService.POLL_MILLIS);
		String copyHolderId = this.targetClient.copyRequest(1).holder().id();
		this.fixture.relayService().targetPool().find(copyHolderId).orElseThrow().rateGate().pause(600);
		this.fixture.listTarget(holderId(), "bench", true);
		exchange(0).fail(Ran.UNKNOWN);
		this.targetClient.completeCopy(1, TargetClient.CopyOutcome.COPIED, "h1");
		assertThat(this.caller.aborted()).isFalse();
		answerStop(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		advanceByPolls(1_500);
		assertThat(exchange(1).request().resumeFrom().orElseThrow().handle()).isEqualTo("h1");
		assertGoesOnAt(1);
	}

	/** Nobody asked for the last copy again once the call was given up. */
	@Test
	void lastCopyThatIsNotAnsweredInTimeIsAskedForAgain() {
		drainAndStop();
		exchange(1).refuse(503);
		answerStop(TargetClient.CopyOutcome.UNANSWERED, null);
		advanceByPolls(SourceStop.RETRY_INTERVAL_MILLIS);
		answerStop(TargetClient.CopyOutcome.BUSY, null);
		exchange(2).refuse(503);
		advanceByPolls(SourceStop.RETRY_INTERVAL_MILLIS);
		assertThat(this.targetClient.copyRequestCount()).isEqualTo(3);
		answerStop(TargetClient.CopyOutcome.COPIED, "h1");
		assertThat(exchange(3).request().resumeFrom().orElseThrow().handle()).isEqualTo("h1");
		assertGoesOnAt(3);
		assertThat(this.targetClient.freedCopies()).isEmpty();
	}

	/** The engine kept the memory of the generation, and nobody asked for it. */
	@Test
	void lastCopyForWhichTheHolderHadNoRoomIsMadeAtAnotherEngine() {
		drainAndStop();
		exchange(1).refuse(503);
		answerStop(TargetClient.CopyOutcome.NO_ROOM, "h1");
		advanceByPolls(SourceStop.RETRY_INTERVAL_MILLIS);
		TargetRegistration other = this.targetClient.copyRequest(1).holder();
		assertThat(other.id()).isNotEqualTo(holderId());
		answerStop(TargetClient.CopyOutcome.COPIED, "h2");
		int last = this.targetClient.sendCount() - 1;
		exchange(last).refuse(503);
		assertThat(exchange(last + 1).request().target()).isEqualTo(other);
		assertThat(exchange(last + 1).request().resumeFrom().orElseThrow().handle()).isEqualTo("h2");
		assertGoesOnAt(last + 1);
	}

	/** The same full engine was named for four seconds, and the stream was cut. */
	@Test
	void engineThatRunsOnBehindABrokenConnectionForLackOfRoomIsStoppedForAnotherOne() {
		exchange(0).fail(Ran.UNKNOWN);
		answerStop(TargetClient.CopyOutcome.NO_ROOM, null);
		assertThat(this.targetClient.sendCount()).isOne();
		advanceByPolls(SourceStop.RETRY_INTERVAL_MILLIS);
		TargetRegistration other = this.targetClient.copyRequest(1).holder();
		assertThat(other.id()).isNotEqualTo(holderId());
		answerStop(TargetClient.CopyOutcome.COPIED, "h1");
		assertThat(exchange(1).request().target()).isEqualTo(other);
		assertGoesOnAt(1);
	}

	@Test
	void engineThatKeepsNoMemoryIsAskedForNoLastCopy() {
		drainAndStop();
		exchange(1).refuse(503);
		answerStop(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		advanceByPolls(1_000);
		assertThat(this.targetClient.copyRequestCount()).isOne();
	}

	@Test
	void stoppedEngineIsNotAskedWhileTheGenerationGoesOn() {
		drainAndStop();
		answerStop(TargetClient.CopyOutcome.UNANSWERED, null);
		advanceByPolls(1_000);
		assertThat(this.targetClient.copyRequestCount()).isOne();
		assertGoesOnAt(1);
	}

}
