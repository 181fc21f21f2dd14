package io.dotterelcrank.process.relay;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.request.Ran;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link AdmissionQuery}.
 */
class AdmissionQueryTests {

	private final RelayFixture fixture = new RelayFixture();

	private final RecordingCaller caller = new RecordingCaller();

	@BeforeEach
	void link() {
		this.fixture.rooms().link();
	}

	private int sends() {
		return this.fixture.targets().count();
	}

	private void answer(int question, boolean granted, String engine, long unreadTokens) {
		EngineLoad load = new EngineLoad(engine, "bench", "giza", this.fixture.address(engine), 1, 1, 0, unreadTokens,
				0, RelayFixture.MEMORY_TOKENS, false, -1);
		this.fixture.service()
			.handleAdmissionResponse(new Message.AdmissionResponse(
					this.fixture.rooms().question(question).requestNumber(), granted, load));
	}

	private String firstChosen() {
		return this.fixture.service()
			.book()
			.states()
			.stream()
			.filter((state) -> state.ownRequests() == 1)
			.findFirst()
			.orElseThrow()
			.id();
	}

	@Test
	void generationIsSentWhenItsSidecarGrantsRoom() {
		this.fixture.accept("/notes/1", this.caller);
		assertThat(sends()).isZero();
		answer(0, true, firstChosen(), 3_000);
		assertThat(sends()).isOne();
	}

	@Test
	void refusedGenerationAsksAnotherSidecarAtOnce() {
		this.fixture.accept("/notes/1", this.caller);
		String first = firstChosen();
		answer(0, false, first, 9_000);
		assertThat(this.fixture.rooms().count()).isEqualTo(2);
		assertThat(firstChosen()).isNotEqualTo(first);
		assertThat(sends()).isZero();
	}

	@Test
	void searchEndsWithAnyQueueThatFits() {
		this.fixture.accept("/notes/1", this.caller);
		answer(0, false, firstChosen(), 9_000);
		answer(1, false, firstChosen(), 9_000);
		assertThat(this.fixture.rooms().question(1).knownUnreadTokens()).isLessThan(RelayFixture.MEMORY_TOKENS);
		assertThat(this.fixture.rooms().question(2).knownUnreadTokens()).isEqualTo(RelayFixture.MEMORY_TOKENS);
	}

	@Test
	void silentSidecarDelaysOneRequestOnly() {
		this.fixture.accept("/notes/1", this.caller);
		this.fixture.advance(AdmissionQuery.ANSWER_MILLIS);
		assertThat(sends()).isOne();
		TrackedTarget silent = this.fixture.service()
			.book()
			.find(this.fixture.targets().sent(0).request().target().id())
			.orElseThrow();
		assertThat(silent.sidecarSilent()).isTrue();
		answer(0, true, silent.id(), 0);
		assertThat(sends()).isOne();
	}

	@Test
	void callerThatLeavesWhileItsRequestIsAskedAboutIsNotSent() {
		RelayedRequest relay = this.fixture.accept("/notes/1", this.caller);
		String first = firstChosen();
		relay.callerDisconnected();
		answer(0, true, first, 0);
		this.fixture.advance(1_000);
		assertThat(sends()).isZero();
	}

	@Test
	void generationThatNoSidecarTakesIsRefusedAsNotRun() {
		this.fixture.accept("/notes/1", this.caller);
		for (int question = 0; question < 3; question++) {
			answer(question, false, firstChosen(), RelayFixture.MEMORY_TOKENS);
		}
		for (int look = 0; look < 200; look++) {
			this.fixture.advance(RelayService.TICK_MILLIS);
			List.of("e1", "e2", "e3").forEach((engine) -> this.fixture.load(engine, 6, RelayFixture.MEMORY_TOKENS));
		}
		assertThat(sends()).isZero();
		assertThat(this.caller.failure().ran()).isEqualTo(Ran.NO);
		assertThat(this.caller.failure().retryAfterMillis()).isPositive();
	}

	@Test
	void plainRequestsAskNobody() {
		this.fixture.accept("/order/1", this.caller);
		assertThat(this.fixture.rooms().count()).isZero();
		assertThat(sends()).isOne();
	}

}
