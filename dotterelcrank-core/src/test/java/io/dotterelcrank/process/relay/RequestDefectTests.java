package io.dotterelcrank.process.relay;

import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.Ran;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a request that meets a defect: whatever is thrown, and wherever, its caller
 * gets one response, which is true, and nothing of it is left.
 */
class RequestDefectTests {

	private final RelayFixture fixture = new RelayFixture();

	private final RecordingCallerChannel caller = new RecordingCallerChannel();

	private final RecordingCallerChannel other = new RecordingCallerChannel();

	/**
	 * Returns errors that single steps have met. JUnit ends the run at a failure by an
	 * {@link OutOfMemoryError}, so that another error of the virtual machine replaces it.
	 */
	static Stream<Supplier<Error>> errors() {
		return Stream.of(StackOverflowError::new, InternalError::new, () -> new NoClassDefFoundError("X"),
				() -> new ExceptionInInitializerError("x"));
	}

	private RecordingTargetClient.RecordedExchange exchange(int index) {
		return this.fixture.targetClient().exchange(index);
	}

	private void failSendsOf(String id, Supplier<Error> errors) {
		this.fixture.targetClient().checkSends((request) -> {
			if (request.request().id().equals(id)) {
				throw errors.get();
			}
		});
	}

	private int outstandingRequests() {
		return this.fixture.relayService()
			.targetPool()
			.targets()
			.stream()
			.mapToInt(TrackedTarget::outstandingRequestCount)
			.sum();
	}

	private void assertNothingIsLeft() {
		assertThat(this.fixture.relayService().activeRequests()).isZero();
		assertThat(outstandingRequests()).isZero();
	}

	/** Its connection was closed without a response, though it was not known why. */
	@ParameterizedTest
	@MethodSource("errors")
	void errorWhileARequestIsSentIsAnswered(Supplier<Error> errors) {
		failSendsOf("attempt-1", errors);
		this.fixture.accept("/order/1", this.caller);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
		assertNothingIsLeft();
	}

	/** No other request was polled or placed any more. */
	@ParameterizedTest
	@MethodSource("errors")
	void errorWhileARequestIsPolledLeavesTheOthersAlone(Supplier<Error> errors) {
		this.fixture.accept("/lookup/1", this.caller);
		this.fixture.accept("/lookup/2", this.other);
		failSendsOf("attempt-1", errors);
		this.fixture.advance(200);
		assertThat(this.fixture.targetClient().sendCount()).isEqualTo(3);
		exchange(0).respond(200, "first");
		exchange(1).respond(200, "second");
		assertThat(this.caller.body()).isEqualTo("first");
		assertThat(this.other.body()).isEqualTo("second");
		assertNothingIsLeft();
	}

	/** The caller got nothing until it gave up. */
	@ParameterizedTest
	@MethodSource("errors")
	void errorAsAResponseIsCompleteClosesTheConnection(Supplier<Error> errors) {
		RecordingCallerChannel failing = new RecordingCallerChannel() {

			@Override
			public void sendResponse(int status, List<Header> headers, byte[] bytes) {
				throw errors.get();
			}

		};
		this.fixture.accept("/order/1", failing);
		exchange(0).respond(200, "ok");
		assertThat(failing.failure()).isNull();
		assertThat(failing.aborted()).isTrue();
		assertNothingIsLeft();
	}

	/** The request counted as ended, but the caller was never told. */
	@ParameterizedTest
	@MethodSource("errors")
	void responseIsSentThoughTheEndCannotBeRecorded(Supplier<Error> errors) {
		this.fixture.accept("/order/1", this.caller);
		FailingLog.during(LogEvent.REQUEST_ENDED, 1, errors, () -> exchange(0).respond(200, "ok"));
		assertThat(this.caller.body()).isEqualTo("ok");
		assertThat(this.caller.endCount()).isOne();
		assertNothingIsLeft();
	}

	@ParameterizedTest
	@MethodSource("errors")
	void errorIsSentAtTheDeadlineThoughTheEndCannotBeRecorded(Supplier<Error> errors) {
		this.fixture.accept("/order/1", this.caller);
		FailingLog.during(LogEvent.REQUEST_ENDED, 1, errors, () -> this.fixture.advance(1_000));
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
		assertThat(this.caller.endCount()).isOne();
		assertNothingIsLeft();
	}

	@ParameterizedTest
	@MethodSource("errors")
	void requestIsAnsweredThoughItsDefectCannotBeLogged(Supplier<Error> errors) {
		failSendsOf("attempt-1", errors);
		FailingLog.during(LogEvent.REQUEST_DEFECT, Integer.MAX_VALUE, errors,
				() -> this.fixture.accept("/order/1", this.caller));
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
		assertNothingIsLeft();
	}

	/** The request waited for its deadline, although nothing had been sent. */
	@Test
	void requestThatFailsBeforeItIsWrittenIsAnsweredAsNotRun() {
		FailingLog.during(LogEvent.REQUEST_SENT, 1, StackOverflowError::new,
				() -> this.fixture.accept("/order/1", this.caller));
		assertThat(this.fixture.targetClient().sendCount()).isZero();
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.NO);
		assertNothingIsLeft();
	}

	/** The generation was at work at a target that had not got it, until its deadline. */
	@ParameterizedTest
	@MethodSource("errors")
	void errorAfterAnAdmissionIsAnsweredAtOnce(Supplier<Error> errors) {
		this.fixture.admissionClient().link();
		this.fixture.accept("/notes/1", this.caller);
		failSendsOf("attempt-1", errors);
		EngineLoad load = new EngineLoad("e1", "bench", "giza", this.fixture.engineAddress("e1"), 1, 1, 0, 0, 0,
				RelayFixture.MEMORY_TOKENS, false, -1, 0);
		this.fixture.relayService()
			.handleAdmissionResponse(new Message.AdmissionResponse(
					this.fixture.admissionClient().request(0).requestNumber(), true, load));
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
		assertNothingIsLeft();
	}

	@ParameterizedTest
	@MethodSource("errors")
	void errorAfterAnAdmissionHasTimedOutIsAnsweredAtOnce(Supplier<Error> errors) {
		this.fixture.admissionClient().link();
		this.fixture.accept("/notes/1", this.caller);
		failSendsOf("attempt-1", errors);
		this.fixture.advance(3 * AdmissionRequester.TIMEOUT_MILLIS);
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
		assertNothingIsLeft();
	}

	/** The engine could make no other copy, and the generation was lost with it. */
	@ParameterizedTest
	@MethodSource("errors")
	void errorInTheResultOfACopyLeavesTheEngineFreeToCopy(Supplier<Error> errors) {
		this.fixture.accept("/notes/1", this.caller);
		String holderId = exchange(0).request().backupHolder().orElseThrow().id();
		exchange(0).startStream();
		exchange(0).sendEvent(1);
		this.fixture.listTarget(holderId, "bench", false, 1, true);
		this.fixture.advance(GenerationResumer.MIN_STREAM_MILLIS);
		this.fixture.listTarget(exchange(0).request().target().id(), "bench", true);
		assertThat(this.fixture.targetClient().copyRequestCount()).isOne();
		FailingLog.during(LogEvent.KV_COPY_ENDED, 1, errors,
				() -> this.fixture.targetClient().completeCopy(0, TargetClient.CopyOutcome.COPIED, "h1"));
		TrackedTarget engine = this.fixture.relayService()
			.targetPool()
			.find(exchange(0).request().target().id())
			.orElseThrow();
		assertThat(engine.tryReserveKvCopy()).isTrue();
		exchange(0).sendEvent(2);
		exchange(0).complete();
		assertThat(this.caller.eventIds()).isEqualTo("1 2");
		assertNothingIsLeft();
	}

	/** The second target went on with work that nobody waited for. */
	@ParameterizedTest
	@MethodSource("errors")
	void attemptThatCannotBeCancelledLeavesTheOtherOneToBeCancelled(Supplier<Error> errors) {
		RelayedRequest request = this.fixture.accept("/lookup/1", this.caller);
		this.fixture.advance(200);
		assertThat(this.fixture.targetClient().sendCount()).isEqualTo(2);
		exchange(0).failCancel(errors);
		request.callerDisconnected();
		assertThat(exchange(1).cancelled()).isTrue();
		assertNothingIsLeft();
	}

	@ParameterizedTest
	@MethodSource("errors")
	void errorWhileReadingIsPausedDoesNotEndAStream(Supplier<Error> errors) {
		RelayedRequest request = this.fixture.accept("/notes/1", this.caller);
		exchange(0).startStream();
		exchange(0).failReadPause(errors);
		request.callerWritabilityChanged(false);
		exchange(0).sendEvent(1);
		exchange(0).complete();
		assertThat(this.caller.eventIds()).isEqualTo("1");
		assertNothingIsLeft();
	}

	/** The error ended the request whose response was just read, and not this one. */
	@ParameterizedTest
	@MethodSource("errors")
	void errorWhileALargeResponseIsGivenUpEndsItsOwnRequest(Supplier<Error> errors) {
		this.fixture.accept("/order/1", this.caller);
		exchange(0).startResponse(false);
		exchange(0).sendBytes("x".repeat(200_000));
		exchange(0).failCancel(errors);
		ResponseMemory memory = this.fixture.relayService().targetPool().responseMemory();
		for (int response = 0; this.caller.endCount() == 0; response++) {
			memory.hold(new HeldResponse(response), 100_000);
		}
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.UNKNOWN);
		assertNothingIsLeft();
	}

	/** No request was polled or placed while evidence could not be sent. */
	@ParameterizedTest
	@MethodSource("errors")
	void errorOfTheQuarantineDoesNotKeepRequestsFromBeingPolled(Supplier<Error> errors) {
		this.fixture.failCrashEvidence(errors);
		this.fixture.accept("/order/1", this.caller);
		exchange(0).fail(Ran.UNKNOWN);
		this.fixture.accept("/lookup/1", this.other);
		this.fixture.advance(400);
		assertThat(this.fixture.targetClient().sendCount()).isEqualTo(3);
	}

	/**
	 * A response that is never the largest.
	 *
	 * @param number tells responses apart
	 */
	private record HeldResponse(int number) implements ResponseMemory.Holder {

		@Override
		public void giveUp() {
			throw new IllegalStateException("not the largest");
		}

	}

}
