package io.dotterelcrank.process.relay;

import java.net.InetSocketAddress;
import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.process.limit.RatePermitClient;
import io.dotterelcrank.process.limit.TargetRateLimiter;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.rollout.RolloutClient;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of what load reports and lists of targets cause at once, and what not.
 */
class LoadReportTests {

	private final Clock.Manual clock = Clock.manual(1_000);

	private final TargetPool pool = new TargetPool(this.clock, RandomSource.XO_RO_SHI_RO_128_PP.create(2),
			RatePermitClient.Disabled.INSTANCE,
			RolloutGate.of(this.clock, new RelaySettings("dc", 0.2, 50, 10_000, 2_000, 8_000),
					RolloutClient.Disabled.INSTANCE, new RelayMetrics(new MetricRegistry())),
			new TargetRateLimiter.Factory.ForFirstProcess(this.clock));

	private static Target target(String id, long bornMillis, long sequence, boolean leaving, boolean listed,
			boolean dataCentreOut) {
		return new Target(new TargetRegistration(id, "s", new InetSocketAddress("10.0.0.1", 80), "dc", 4, leaving, 0,
				bornMillis, sequence), 0, listed, dataCentreOut);
	}

	private LoadChange report(int running, long unreadTokens, long memoryUsed, boolean leaving) {
		return this.pool.updateLoad(new EngineLoad("e", "s", "dc", "10.0.0.1:80", 1, running, 0, unreadTokens,
				memoryUsed, 1_000, leaving, -1, 0));
	}

	@Test
	void generationIsResumedAtOnceWhenItsEngineReportsThatItLeaves() {
		RelayFixture fixture = new RelayFixture();
		fixture.accept("/notes/1", new RecordingCallerChannel());
		RecordingTargetClient.RecordedExchange first = fixture.targetClient().exchange(0);
		String engine = first.request().target().id();
		first.startStream();
		first.sendEvent(1);
		fixture.advance(GenerationResumer.MIN_STREAM_MILLIS);
		fixture.relayService()
			.updateLoad(new EngineLoad(engine, "bench", "giza", fixture.engineAddress(engine), 1, 1, 0, 0, 100,
					RelayFixture.MEMORY_TOKENS, true, 1_500, 0));
		fixture.advance(0);
		assertThat(fixture.targetClient().copyRequest(0).stopsFirst()).isTrue();
		fixture.targetClient().completeCopy(0, TargetClient.CopyOutcome.COPIED, "h1");
		assertThat(fixture.targetClient().sendCount()).isEqualTo(2);
		assertThat(fixture.targetClient().exchange(1).request().resumeFrom()).isPresent();
	}

	@Test
	void reportsOfLessLoadLetRequestsBePlaced() {
		this.pool.update(List.of(target("e", 1, 1, false, true, false)));
		assertThat(report(3, 500, 900, false)).isEqualTo(LoadChange.CAPACITY_GAINED);
		assertThat(report(3, 500, 900, false)).isEqualTo(LoadChange.NO_GAIN);
		assertThat(report(4, 600, 950, false)).isEqualTo(LoadChange.NO_GAIN);
		assertThat(report(3, 600, 950, false)).isEqualTo(LoadChange.CAPACITY_GAINED);
		assertThat(report(4, 500, 950, false)).isEqualTo(LoadChange.CAPACITY_GAINED);
		assertThat(report(5, 600, 900, false)).isEqualTo(LoadChange.CAPACITY_GAINED);
	}

	@Test
	void reportAfterSilenceLetsRequestsBePlaced() {
		this.pool.update(List.of(target("e", 1, 1, false, true, false)));
		report(3, 500, 900, false);
		this.clock.advance(TrackedTarget.MAX_LOAD_AGE_MILLIS + 1);
		assertThat(report(4, 600, 950, false)).isEqualTo(LoadChange.CAPACITY_GAINED);
	}

	@Test
	void leavingCountsMoreThanAnyGain() {
		this.pool.update(List.of(target("e", 1, 1, false, true, false)));
		report(3, 500, 900, false);
		assertThat(report(1, 0, 100, true)).isEqualTo(LoadChange.LEAVING_CHANGED);
		assertThat(report(0, 0, 0, true)).isEqualTo(LoadChange.CAPACITY_GAINED);
		assertThat(report(0, 0, 0, false)).isEqualTo(LoadChange.LEAVING_CHANGED);
	}

	@Test
	void reportOfAnotherIncarnationIsIgnored() {
		this.pool.update(List.of(target("e", 7, 1, false, true, false)));
		assertThat(report(1, 0, 100, true)).isEqualTo(LoadChange.NO_GAIN);
		assertThat(this.pool.find("e").orElseThrow().load()).isNull();
	}

	@Test
	void reportReachesTheTargetsAtItsAddressOnly() {
		Target elsewhere = new Target(
				new TargetRegistration("f", "s", new InetSocketAddress("10.0.0.1", 81), "dc", 4, false, 0, 1, 1), 0,
				true, false);
		this.pool.update(List.of(target("e", 1, 1, false, true, false), elsewhere));
		report(1, 0, 100, false);
		assertThat(this.pool.find("e").orElseThrow().load()).isNotNull();
		assertThat(this.pool.find("f").orElseThrow().load()).isNull();
		this.pool.update(List.of(elsewhere));
		assertThat(report(1, 0, 50, false)).isEqualTo(LoadChange.NO_GAIN);
	}

	@Test
	void onlyListsThatChangeWhatRequestsMayUseAreReported() {
		assertThat(this.pool.update(List.of(target("e", 1, 1, false, true, false)))).isTrue();
		assertThat(this.pool.update(List.of(target("e", 1, 2, false, true, false)))).isFalse();
		assertThat(this.pool.update(List.of(target("e", 1, 3, false, false, false)))).isTrue();
		assertThat(this.pool.update(List.of(target("e", 1, 4, true, false, false)))).isTrue();
		assertThat(this.pool.update(List.of(target("e", 2, 1, false, true, false)))).isTrue();
		assertThat(this.pool.update(List.of(target("e", 2, 1, false, true, true)))).isTrue();
		assertThat(this.pool.update(List.of(target("f", 2, 1, false, true, true)))).isTrue();
		assertThat(this.pool.update(List.of())).isTrue();
		assertThat(this.pool.update(List.of())).isFalse();
	}

	/**
	 * Replays engines that have restarted after a power cut: the former ones stay listed
	 * for seconds, at the same addresses.
	 */
	@Test
	void targetAtWhoseAddressAnotherEngineRunsGetsNothing() {
		this.pool.update(List.of(target("former", 1, 1, false, true, false), target("e", 2, 1, false, true, false)));
		reportStartedAt(2);
		assertThat(this.pool.find("former").orElseThrow().acceptsNewWork()).isFalse();
		assertThat(this.pool.find("e").orElseThrow().acceptsNewWork()).isTrue();
	}

	@Test
	void reportOfTheFormerEngineHoldsUpTheNextOneForAMomentAtMost() {
		this.pool.update(List.of(target("e", 2, 1, false, true, false)));
		reportStartedAt(1);
		assertThat(this.pool.find("e").orElseThrow().acceptsNewWork()).isFalse();
		reportStartedAt(2);
		assertThat(this.pool.find("e").orElseThrow().acceptsNewWork()).isTrue();
		reportStartedAt(1);
		this.clock.advance(TrackedTarget.MAX_LOAD_AGE_MILLIS);
		assertThat(this.pool.find("e").orElseThrow().acceptsNewWork()).isTrue();
	}

	private void reportStartedAt(long bornMillis) {
		this.pool
			.updateLoad(new EngineLoad("e", "s", "dc", "10.0.0.1:80", bornMillis, 0, 0, 0, 0, 1_000, false, -1, 0));
	}

}
