package io.dotterelcrank.process.relay;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link LoadSampler}.
 */
class LoadSamplerTests {

	private final RelayFixture fixture = RelayFixture.withoutSidecars();

	private final RecordingCallerChannel caller = new RecordingCallerChannel();

	private int sendCount() {
		return this.fixture.targetClient().sendCount();
	}

	private TargetRequest sent(int index) {
		return this.fixture.targetClient().exchange(index).request();
	}

	private void respondAll(int emptiest) {
		for (int index = 0; index < LoadSampler.SAMPLE_SIZE; index++) {
			boolean isEmpty = index == emptiest;
			this.fixture.loadReader().respond(index, isEmpty ? 0 : 6, isEmpty ? 0 : 20_000);
		}
	}

	@Test
	void generationIsPlacedAtTheEmptiestSampledEngine() {
		this.fixture.accept("/notes/1", this.caller);
		assertThat(sendCount()).isZero();
		respondAll(1);
		assertThat(sendCount()).isOne();
		assertThat(sent(0).target()).isEqualTo(this.fixture.loadReader().engine(1));
	}

	@Test
	void kvBackupIsKeptOnlyByAnEngineWithFreeMemory() {
		this.fixture.accept("/notes/1", this.caller);
		respondAll(1);
		assertThat(sent(0).backupHolder()).isEmpty();
		RelayFixture idle = RelayFixture.withoutSidecars();
		idle.accept("/notes/1", this.caller);
		for (int index = 0; index < LoadSampler.SAMPLE_SIZE; index++) {
			idle.loadReader().respond(index, 1, 4_000);
		}
		TargetRequest sent = idle.targetClient().exchange(0).request();
		assertThat(sent.backupHolder().orElseThrow().id()).isNotEqualTo(sent.target().id());
	}

	@Test
	void generationDoesNotWaitForAnEngineThatDoesNotRespond() {
		this.fixture.accept("/notes/1", this.caller);
		this.fixture.loadReader().fail(0);
		assertThat(sendCount()).isZero();
		this.fixture.advance(LoadSampler.TIMEOUT_MILLIS);
		assertThat(sendCount()).isOne();
	}

	@Test
	void recentReportsAreNotReadAgain() {
		this.fixture.accept("/notes/1", this.caller);
		respondAll(0);
		this.fixture.accept("/notes/2", new RecordingCallerChannel());
		assertThat(sendCount()).isEqualTo(2);
		assertThat(this.fixture.loadReader().readCount()).isEqualTo(LoadSampler.SAMPLE_SIZE);
		this.fixture.advance(LoadSampler.MAX_REPORT_AGE_MILLIS + 1);
		this.fixture.accept("/notes/3", new RecordingCallerChannel());
		assertThat(this.fixture.loadReader().readCount()).isEqualTo(2 * LoadSampler.SAMPLE_SIZE);
	}

	@Test
	void generationsThatArriveTogetherShareTheReports() {
		this.fixture.accept("/notes/1", this.caller);
		this.fixture.accept("/notes/2", new RecordingCallerChannel());
		this.fixture.accept("/notes/3", new RecordingCallerChannel());
		assertThat(this.fixture.loadReader().readCount()).isEqualTo(LoadSampler.SAMPLE_SIZE);
		respondAll(0);
		assertThat(sendCount()).isEqualTo(3);
	}

	@Test
	void leavingEngineOfAGenerationWithoutBackupIsNoticed() {
		this.fixture.accept("/notes/1", this.caller);
		respondAll(1);
		RecordingTargetClient.RecordedExchange exchange = this.fixture.targetClient().exchange(0);
		exchange.startStream();
		exchange.sendEvent(1);
		this.fixture.advance(LoadSampler.MAX_REPORT_AGE_MILLIS + RelayService.POLL_MILLIS);
		int read = LoadSampler.SAMPLE_SIZE;
		assertThat(this.fixture.loadReader().readCount()).isEqualTo(read + 1);
		assertThat(this.fixture.loadReader().engine(read)).isEqualTo(sent(0).target());
		this.fixture.loadReader().respondLeaving(read);
		this.fixture.advance(RelayService.POLL_MILLIS);
		assertThat(this.fixture.targetClient().copyRequest(0).source()).isEqualTo(sent(0).target());
	}

	@Test
	void enginesWithSidecarsAreNotRead() {
		RelayFixture withSidecars = new RelayFixture();
		withSidecars.accept("/notes/1", this.caller);
		assertThat(withSidecars.loadReader().readCount()).isZero();
		assertThat(withSidecars.targetClient().sendCount()).isOne();
	}

	@Test
	void plainServiceRequestIsSentAtOnce() {
		this.fixture.accept("/order/1", this.caller);
		assertThat(this.fixture.loadReader().readCount()).isZero();
		assertThat(sendCount()).isOne();
	}

	@Test
	void callerThatDisconnectsIsNotServedAfterTheReports() {
		this.fixture.accept("/notes/1", this.caller).callerDisconnected();
		respondAll(0);
		this.fixture.advance(1_000);
		assertThat(sendCount()).isZero();
	}

	@Test
	void hostsThatKnowOnlyTheirOwnRequestsUseTheIdleEngine() {
		Set<String> used = new HashSet<>();
		for (int host = 0; host < 10; host++) {
			RelayFixture other = RelayFixture.withoutSidecars();
			other.relayService().updateEntryHosts(10);
			other.accept("/notes/1", new RecordingCallerChannel());
			for (int index = 0; index < LoadSampler.SAMPLE_SIZE; index++) {
				boolean idle = other.loadReader().engine(index).id().equals("e2");
				other.loadReader().respond(index, idle ? 0 : 12, idle ? 0 : 30_000);
			}
			used.add(other.targetClient().exchange(0).request().target().id());
		}
		assertThat(used).containsExactly("e2");
	}

}
