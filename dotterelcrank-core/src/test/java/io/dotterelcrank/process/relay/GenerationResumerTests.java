package io.dotterelcrank.process.relay;

import java.util.List;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.request.Ran;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GenerationResumer}, driven by whole requests.
 */
class GenerationResumerTests {

	private final RelayFixture fixture = new RelayFixture();

	private final RecordingCallerChannel caller = new RecordingCallerChannel();

	private RecordingTargetClient.RecordedExchange exchange(int index) {
		return this.fixture.targetClient().exchange(index);
	}

	private int sendCount() {
		return this.fixture.targetClient().sendCount();
	}

	/**
	 * Answers the call that stops the engine before the generation goes on elsewhere.
	 */
	private void answerStop(TargetClient.CopyOutcome outcome, String handle) {
		RecordingTargetClient targetClient = this.fixture.targetClient();
		int index = targetClient.copyRequestCount() - 1;
		assertThat(targetClient.copyRequest(index).stopsFirst()).isTrue();
		targetClient.completeCopy(index, outcome, handle);
	}

	/**
	 * Fails the connections to the engine that is to stop until it counts as gone.
	 */
	private void failConnections() {
		for (long millis = 0; millis <= SourceStop.UNREACHABLE_MILLIS; millis += SourceStop.RETRY_INTERVAL_MILLIS) {
			int sent = sendCount();
			answerStop(TargetClient.CopyOutcome.UNREACHABLE, null);
			if (millis < SourceStop.UNREACHABLE_MILLIS) {
				assertThat(sendCount()).isEqualTo(sent);
				this.fixture.advance(SourceStop.RETRY_INTERVAL_MILLIS);
			}
		}
	}

	@Test
	void streamResumesFromItsKvBackupWhenTheEngineDrains() {
		this.fixture.accept("/notes/1", this.caller);
		String backupId = exchange(0).request().backupHolder().orElseThrow().id();
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		exchange(0).sendEvent(2);
		drainEngineOf(0);
		assertThat(this.fixture.targetClient().copyRequest(0).stopsFirst()).isTrue();
		assertThat(this.fixture.targetClient().copyRequest(0).source().id())
			.isEqualTo(exchange(0).request().target().id());
		assertThat(this.fixture.targetClient().copyRequest(0).holder().id()).isEqualTo(backupId);
		exchange(0).sendEvent(3);
		this.fixture.advance(500);
		assertThat(sendCount()).isOne();
		exchange(0).fail(Ran.UNKNOWN);
		assertThat(exchange(1).request().target().id()).isEqualTo(backupId);
		assertThat(exchange(1).request().resumeFrom().orElseThrow().handle()).isEqualTo("attempt-1");
		assertThat(exchange(1).request().lastEventId()).hasValue(3);
		answerStop(TargetClient.CopyOutcome.COPIED, "h1");
		assertThat(this.fixture.targetClient().freedCopies()).isEmpty();
		exchange(1).startStream();
		assertThat(this.fixture.targetClient().freedCopies()).containsExactly("h1");
		exchange(1).sendEvent(4);
		exchange(1).complete();
		assertThat(this.caller.eventIds()).isEqualTo("1 2 3 4");
		assertThat(this.caller.endCount()).isOne();
		assertThat(sendCount()).isEqualTo(2);
	}

	@Test
	void streamIsCopiedElsewhereWhenItsBackupHolderIsOutOfService() {
		this.fixture.accept("/notes/1", this.caller);
		String holderId = exchange(0).request().backupHolder().orElseThrow().id();
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		this.fixture.listTarget(holderId, "bench", false, 1, true);
		drainEngineOf(0);
		assertThat(sendCount()).isOne();
		assertThat(this.fixture.targetClient().copyRequest(0).holder().id()).isNotEqualTo(holderId);
		this.fixture.targetClient().completeCopy(0, TargetClient.CopyOutcome.COPIED, "h1");
		assertThat(sendCount()).isOne();
		answerStop(TargetClient.CopyOutcome.COPIED, "h2");
		assertThat(exchange(1).request().target()).isEqualTo(this.fixture.targetClient().copyRequest(0).holder());
	}

	@Test
	void streamIsNotResumedAtADrainingBackupHolder() {
		this.fixture.accept("/notes/1", this.caller);
		String holderId = exchange(0).request().backupHolder().orElseThrow().id();
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		this.fixture.listTarget(holderId, "bench", true);
		exchange(0).fail(Ran.UNKNOWN);
		assertThat(sendCount()).isOne();
		assertThat(this.caller.aborted()).isTrue();
	}

	@Test
	void streamIsNotResumedAtAHolderThatDrainsDuringTheKvCopy() {
		loadEnginesBeyondBackupLimit();
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		drainEngineOf(0);
		String holderId = this.fixture.targetClient().copyRequest(0).holder().id();
		this.fixture.listTarget(holderId, "bench", true);
		this.fixture.targetClient().completeCopy(0, TargetClient.CopyOutcome.COPIED, "h1");
		assertThat(sendCount()).isOne();
		this.fixture.advance(GenerationResumer.RETRY_INTERVAL_MILLIS + RelayService.POLL_MILLIS);
		assertThat(this.fixture.targetClient().copyRequest(1).holder().id()).isNotEqualTo(holderId);
	}

	private void useUpRetryBudget() {
		while (this.fixture.relayService().retryBudgetAllows("bench")) {
			this.fixture.relayService().retryBudget("bench").recordRetry();
		}
	}

	@Test
	void resumeBeyondTheRetryBudgetWaitsForAPermitOfAnotherHost() {
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		useUpRetryBudget();
		drainEngineOf(0);
		assertThat(sendCount()).isOne();
		assertThat(this.fixture.retryLoanRequests()).contains("bench");
		this.fixture.advance(GenerationResumer.RETRY_INTERVAL_MILLIS);
		assertThat(this.fixture.targetClient().copyRequestCount()).isZero();
		this.fixture.relayService().addRetryLoan("bench");
		this.fixture.advance(0);
		answerStop(TargetClient.CopyOutcome.NO_ROOM, "h1");
		assertThat(sendCount()).isEqualTo(2);
		assertThat(exchange(1).request().resumeFrom()).isPresent();
	}

	@Test
	void failedStreamBeyondTheRetryBudgetIsResumedWithABorrowedPermit() {
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		useUpRetryBudget();
		exchange(0).fail(Ran.UNKNOWN);
		failConnections();
		assertThat(this.caller.aborted()).isFalse();
		assertThat(sendCount()).isOne();
		this.fixture.relayService().addRetryLoan("bench");
		this.fixture.advance(0);
		exchange(1).startStream();
		exchange(1).sendEvent(2);
		exchange(1).complete();
		assertThat(this.caller.eventIds()).isEqualTo("1 2");
	}

	@Test
	void failedStreamIsGivenUpWhenNoPermitArrives() {
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		useUpRetryBudget();
		exchange(0).fail(Ran.UNKNOWN);
		failConnections();
		this.fixture.advance(GenerationResumer.PERMIT_WAIT_MILLIS + RelayService.POLL_MILLIS);
		assertThat(this.caller.aborted()).isTrue();
		assertThat(sendCount()).isOne();
	}

	@Test
	void lastCopyIsUsedWhenTheKvBackupIsNotReady() {
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		drainEngineOf(0);
		exchange(0).fail(Ran.UNKNOWN);
		exchange(1).refuse(503);
		this.fixture.advance(500);
		assertThat(sendCount()).isEqualTo(3);
		exchange(2).refuse(503);
		assertThat(this.caller.aborted()).isFalse();
		answerStop(TargetClient.CopyOutcome.COPIED, "h1");
		assertThat(exchange(3).request().resumeFrom().orElseThrow().handle()).isEqualTo("h1");
		exchange(3).startStream();
		exchange(3).sendEvent(2);
		exchange(3).complete();
		assertThat(this.caller.eventIds()).isEqualTo("1 2");
	}

	/** The engine that was to resume failed, and its error was sent inside the stream. */
	@Test
	void errorOfTheEngineThatIsToResumeIsNotSentInsideTheStream() {
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		drainEngineOf(0);
		exchange(0).sendEvent(2);
		answerStop(TargetClient.CopyOutcome.COPIED, "h1");
		exchange(1).respondUnlessCancelled(500, "failed");
		assertThat(this.caller.endCount()).isZero();
		assertThat(this.fixture.targetClient().copyRequest(1).source()).isEqualTo(exchange(1).request().target());
		answerStop(TargetClient.CopyOutcome.UNKNOWN_RUN, null);
		exchange(2).startStream();
		exchange(2).sendEvent(3);
		exchange(2).complete();
		assertThat(this.caller.eventIds()).isEqualTo("1 2 3");
		assertThat(this.caller.status()).isEqualTo(200);
		assertThat(this.caller.endCount()).isOne();
	}

	@Test
	void brokenStreamIsAbortedWhenTheEngineThatIsToResumeRespondsWithAnError() {
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		exchange(0).fail(Ran.UNKNOWN);
		failConnections();
		String holderId = exchange(1).request().backupHolder().orElseThrow().id();
		this.fixture.listTarget(holderId, "bench", true);
		exchange(1).respondUnlessCancelled(504, "too late");
		assertThat(this.caller.aborted()).isTrue();
		assertThat(this.caller.status()).isEqualTo(200);
		assertThat(this.caller.endCount()).isOne();
	}

	@Test
	void streamResumesWhenTheEngineCrashes() {
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		exchange(0).sendBytes("id: 2\ndat");
		exchange(0).fail(Ran.UNKNOWN);
		assertThat(sendCount()).isOne();
		failConnections();
		exchange(1).startStream();
		exchange(1).sendEvent(2);
		exchange(1).complete();
		assertThat(this.caller.eventIds()).isEqualTo("1 2");
		assertThat(this.caller.aborted()).isFalse();
	}

	@Test
	void stalledStreamResumesFromItsKvBackup() {
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		this.fixture.advance(GenerationResumer.STALL_GAPS * 180 + RelayService.POLL_MILLIS);
		assertThat(sendCount()).isOne();
		answerStop(TargetClient.CopyOutcome.COPIED, "h1");
		assertThat(exchange(1).request().lastEventId()).hasValue(1);
		assertThat(exchange(1).request().resumeFrom().orElseThrow().handle()).isEqualTo("h1");
	}

	@Test
	void streamOfACallerThatReadsSlowlyIsNotTakenForAStalledOne() {
		RelayedRequest relayed = this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		this.caller.setWritable(false);
		exchange(0).sendEvent(1);
		this.fixture.advance(2 * GenerationResumer.STALL_GAPS * 180);
		assertThat(sendCount()).isOne();
		this.caller.setWritable(true);
		relayed.callerWritabilityChanged(true);
		this.fixture.advance(RelayService.POLL_MILLIS);
		assertThat(sendCount()).isOne();
		exchange(0).sendEvent(2);
		exchange(0).complete();
		assertThat(this.caller.eventIds()).isEqualTo("1 2");
	}

	@Test
	void streamThatSendsBytesButNoEventsResumesFromItsKvBackup() {
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		exchange(0).sendBytes("id: 2\ndata: ");
		for (int i = 0; i < 30; i++) {
			this.fixture.advance(RelayService.POLL_MILLIS);
			exchange(0).sendBytes("x");
		}
		answerStop(TargetClient.CopyOutcome.NO_ROOM, "h1");
		assertThat(exchange(1).request().lastEventId()).hasValue(1);
	}

	@Test
	void generationsOfOneEngineAreCopiedOneAtATime() {
		loadEnginesBeyondBackupLimit();
		RecordingCallerChannel second = new RecordingCallerChannel();
		this.fixture.accept("/notes/1", this.caller);
		String source = exchange(0).request().target().id();
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		int otherIndex = acceptAt(source, second);
		exchange(otherIndex).startStream();
		exchange(otherIndex).sendEvent(1);
		drainEngineOf(0);
		RecordingTargetClient targetClient = this.fixture.targetClient();
		this.fixture.advance(300);
		assertThat(targetClient.copyRequestCount()).isOne();
		targetClient.completeCopy(0, TargetClient.CopyOutcome.COPIED, "h1");
		this.fixture.advance(0);
		assertThat(targetClient.copyRequestCount()).isEqualTo(3);
		assertThat(targetClient.copyRequest(1).attemptId()).isEqualTo(targetClient.copyRequest(0).attemptId());
		assertThat(targetClient.copyRequest(1).stopsFirst()).isTrue();
		assertThat(targetClient.copyRequest(2).attemptId()).isNotEqualTo(targetClient.copyRequest(0).attemptId());
		assertThat(targetClient.copyRequest(2).stopsFirst()).isFalse();
	}

	@Test
	void generationWithMostWorkSavedPerCopiedTokenIsCopiedFirst() {
		loadEnginesBeyondBackupLimit();
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		for (int event = 1; event <= 200; event++) {
			exchange(0).sendEvent(event);
		}
		int youngerIndex = acceptAt(exchange(0).request().target().id(), new RecordingCallerChannel());
		exchange(youngerIndex).startStream();
		exchange(youngerIndex).sendEvent(1);
		drainEngineOf(0);
		this.fixture.advance(300);
		assertThat(this.fixture.targetClient().copyRequest(0).attemptId())
			.isEqualTo(exchange(youngerIndex).request().request().id());
	}

	private int acceptAt(String target, RecordingCallerChannel channel) {
		for (int i = 0; i < 50; i++) {
			RecordingCallerChannel candidateChannel = (i == 0) ? channel : new RecordingCallerChannel();
			RelayedRequest relayed = this.fixture.accept("/notes/x", candidateChannel);
			int index = sendCount() - 1;
			if (exchange(index).request().target().id().equals(target)) {
				return index;
			}
			relayed.callerDisconnected();
		}
		throw new AssertionError("no request went to " + target);
	}

	private void drainEngineOf(int index) {
		this.fixture.advance(GenerationResumer.MIN_STREAM_MILLIS);
		this.fixture.listTarget(exchange(index).request().target().id(), "bench", true);
	}

	@Test
	void generationIsNotResumedElsewhereBeforeItStreams() {
		this.fixture.accept("/notes/1", this.caller);
		drainEngineOf(0);
		this.fixture.advance(500);
		assertThat(sendCount()).isOne();
		assertThat(this.fixture.targetClient().copyRequestCount()).isZero();
		exchange(0).startStream();
		this.fixture.advance(GenerationResumer.MIN_STREAM_MILLIS + RelayService.POLL_MILLIS);
		answerStop(TargetClient.CopyOutcome.NO_ROOM, "h1");
		assertThat(sendCount()).isEqualTo(2);
	}

	private void loadEnginesBeyondBackupLimit() {
		for (String id : new String[] { "e1", "e2", "e3" }) {
			this.fixture.reportLoad(id, 4,
					(long) (RelayFixture.MEMORY_TOKENS * BackupPolicy.UNRESTRICTED_LIMIT_FRACTION) - 2_000);
		}
	}

	@Test
	void enginesBeyondTheBackupLimitGetNoBackup() {
		loadEnginesBeyondBackupLimit();
		this.fixture.accept("/notes/1", this.caller);
		assertThat(exchange(0).request().backupHolder()).isEmpty();
	}

	@Test
	void generationWithoutBackupIsCopiedAndResumed() {
		loadEnginesBeyondBackupLimit();
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		drainEngineOf(0);
		RecordingTargetClient targetClient = this.fixture.targetClient();
		exchange(0).sendEvent(2);
		assertThat(targetClient.copyRequest(0).stopsFirst()).isFalse();
		targetClient.completeCopy(0, TargetClient.CopyOutcome.COPIED, "h1");
		assertThat(sendCount()).isOne();
		answerStop(TargetClient.CopyOutcome.COPIED, "h2");
		assertThat(exchange(1).request().target()).isEqualTo(targetClient.copyRequest(0).holder());
		assertThat(exchange(1).request().resumeFrom().orElseThrow().handleOwner().id())
			.isEqualTo(exchange(0).request().target().id());
		assertThat(exchange(1).request().resumeFrom().orElseThrow().handle()).isEqualTo("h2");
		assertThat(exchange(1).request().lastEventId()).hasValue(2);
		exchange(0).sendEvent(3);
		exchange(1).startStream();
		assertThat(exchange(0).cancelled()).isTrue();
		exchange(1).sendEvent(3);
		exchange(1).sendEvent(4);
		exchange(1).complete();
		assertThat(this.caller.eventIds()).isEqualTo("1 2 3 4");
	}

	@Test
	void resumedGenerationIsNotSentAgainWhenItsFormerEngineFails() {
		loadEnginesBeyondBackupLimit();
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		drainEngineOf(0);
		this.fixture.targetClient().completeCopy(0, TargetClient.CopyOutcome.COPIED, "h1");
		exchange(0).fail(Ran.UNKNOWN);
		assertThat(exchange(1).request().resumeFrom().orElseThrow().handle()).isEqualTo("h1");
		answerStop(TargetClient.CopyOutcome.COPIED, "h2");
		this.fixture.advance(500);
		assertThat(sendCount()).isEqualTo(2);
		assertThat(this.fixture.targetClient().copyRequestCount()).isEqualTo(2);
	}

	@Test
	void generationIsCopiedWhereOnlyItsPromptFits() {
		loadEnginesBeyondBackupLimit();
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		long usedTokens = (long) (RelayFixture.MEMORY_TOKENS * 0.95) - 3_500;
		List.of("e1", "e2", "e3").forEach((engine) -> this.fixture.reportLoad(engine, 1, usedTokens));
		drainEngineOf(0);
		this.fixture.advance(100);
		assertThat(this.fixture.targetClient().copyRequestCount()).isOne();
	}

	@Test
	void refusedKvCopyIsRetried() {
		loadEnginesBeyondBackupLimit();
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		drainEngineOf(0);
		this.fixture.targetClient().completeCopy(0, TargetClient.CopyOutcome.NO_ROOM, null);
		this.fixture.advance(GenerationResumer.RETRY_INTERVAL_MILLIS + RelayService.POLL_MILLIS);
		assertThat(this.fixture.targetClient().copyRequestCount()).isEqualTo(2);
		assertThat(sendCount()).isOne();
	}

	@Test
	void engineCrashDuringTheKvCopyAbortsTheStream() {
		loadEnginesBeyondBackupLimit();
		this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		drainEngineOf(0);
		exchange(0).fail(Ran.UNKNOWN);
		assertThat(this.caller.endCount()).isZero();
		this.fixture.targetClient().completeCopy(0, TargetClient.CopyOutcome.UNANSWERED, null);
		assertThat(this.caller.aborted()).isTrue();
	}

	@Test
	void kvCopyCompletedAfterCallerDisconnectSendsNothing() {
		loadEnginesBeyondBackupLimit();
		RelayedRequest relayed = this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		drainEngineOf(0);
		relayed.callerDisconnected();
		this.fixture.targetClient().completeCopy(0, TargetClient.CopyOutcome.COPIED, "h1");
		assertThat(this.fixture.targetClient().copyRequestCount()).isOne();
		assertThat(sendCount()).isOne();
	}

	@Test
	void backupHolderIsChosenOnlyWhileMemoryIsFree() {
		List.of("e1", "e2", "e3")
			.forEach((engine) -> this.fixture.reportLoad(engine, 3, RelayFixture.MEMORY_TOKENS / 2));
		this.fixture.accept("/notes/1", this.caller);
		assertThat(exchange(0).request().backupHolder()).isEmpty();
		List.of("e1", "e2", "e3")
			.forEach((engine) -> this.fixture.reportLoad(engine, 1, RelayFixture.MEMORY_TOKENS / 5));
		this.fixture.accept("/notes/2", new RecordingCallerChannel());
		assertThat(exchange(1).request().backupHolder()).isPresent();
	}

}
