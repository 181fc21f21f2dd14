package io.dotterelcrank.process.relay;

import java.net.InetSocketAddress;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.EngineSpeed;
import io.dotterelcrank.process.limit.RatePermitClient;
import io.dotterelcrank.process.limit.TargetRateLimiter;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PlacementStrategy.ForEngines}.
 */
class ForEnginesTests {

	private static final long MEMORY_TOKENS = 27_000;

	private final Clock.Manual clock = Clock.manual(10_000);

	private final GenerationStatistics statistics = new GenerationStatistics();

	private final PlacementStrategy strategy = new PlacementStrategy.ForEngines(MEMORY_TOKENS, this.statistics,
			RandomSource.XO_RO_SHI_RO_128_PP.create(3));

	private TrackedTarget engine(String id, String dataCentre, long pendingPrefillTokens, long memoryUsed) {
		InetSocketAddress address = new InetSocketAddress("10.0.0.1", 80);
		TrackedTarget target = new TrackedTarget(this.clock,
				new Target(new TargetRegistration(id, "bench", address, dataCentre, 24, false, 0, 1, 1), 0, true,
						false),
				TargetRateLimiter.of(this.clock), RatePermitClient.Disabled.INSTANCE,
				RandomSource.XO_RO_SHI_RO_128_PP.create(2));
		target.updateLoad(new EngineLoad(id, "bench", dataCentre, "10.0.0.1:80", 1, 2, 0, pendingPrefillTokens,
				memoryUsed, MEMORY_TOKENS, false, -1, 0));
		return target;
	}

	private String chosenId(PlacementStrategy.Demand demand, TrackedTarget... targets) {
		return this.strategy.choose(List.of(targets), demand).map(TrackedTarget::id).orElse("none");
	}

	private static PlacementStrategy.Demand demand() {
		return new PlacementStrategy.Demand(3_000, 3_500, "giza",
				PlacementStrategy.Demand.REQUEST_REMOTE_PENALTY_SECONDS, 4, 1_800, 1_800,
				PlacementStrategy.Demand.NO_LIMIT, 0);
	}

	@Test
	void engineWithFewestPendingPrefillTokensIsChosen() {
		assertThat(chosenId(demand(), engine("local", "giza", 3_000, 6_000), engine("remote", "helwan", 0, 6_000)))
			.isEqualTo("remote");
	}

	@Test
	void kvCopyPrefersItsDataCentreOverAShorterPrefillQueue() {
		TrackedTarget local = engine("local", "giza", 1_000, 6_000);
		TrackedTarget remote = engine("remote", "helwan", 0, 6_000);
		assertThat(chosenId(demand(), local, remote)).isEqualTo("remote");
		assertThat(chosenId(demand().forKvCopy("giza", 0.2 / 3_500), local, remote)).isEqualTo("local");
	}

	@Test
	void fullerLocalEngineDoesNotHideARemoteOneThatCanKeepABackup() {
		TrackedTarget local = engine("local", "giza", 0, 9_000);
		TrackedTarget remote = engine("remote", "helwan", 0, 3_000);
		PlacementStrategy.Demand backup = demand().forKvCopy("giza", 0.2 / 3_500).withMaxMemoryFraction(0.4);
		assertThat(chosenId(backup, local, remote)).isEqualTo("remote");
		assertThat(chosenId(backup, local)).isEqualTo("none");
	}

	@Test
	void engineWithoutFreeMemoryIsNotChosen() {
		assertThat(chosenId(demand(), engine("full", "giza", 0, 24_000))).isEqualTo("none");
	}

	@Test
	void engineWithoutLoadReportIsUsedByOneHostOnAverage() {
		TrackedTarget reported = engine("reported", "giza", 3_000, 15_000);
		TrackedTarget unreported = new TrackedTarget(this.clock, reported.membership(),
				TargetRateLimiter.of(this.clock), RatePermitClient.Disabled.INSTANCE,
				RandomSource.XO_RO_SHI_RO_128_PP.create(2));
		PlacementStrategy.Demand demand = new PlacementStrategy.Demand(3_000, 3_500, "giza", 0, 20, 1_800, 1_800,
				PlacementStrategy.Demand.NO_LIMIT, 0);
		int chosenCount = 0;
		for (int request = 0; request < 1_000; request++) {
			chosenCount += (this.strategy.choose(List.of(reported, unreported), demand).orElseThrow() == unreported) ? 1
					: 0;
		}
		assertThat(chosenCount).isBetween(25, 75);
	}

	@Test
	void allEnginesAreUsedIfNoneReportsItsLoad() {
		TrackedTarget unreported = new TrackedTarget(this.clock, engine("e", "giza", 0, 0).membership(),
				TargetRateLimiter.of(this.clock), RatePermitClient.Disabled.INSTANCE,
				RandomSource.XO_RO_SHI_RO_128_PP.create(2));
		assertThat(chosenId(demand(), unreported)).isEqualTo("e");
	}

	@Test
	void engineWithALongPrefillQueueIsNotChosenDespiteFreeMemory() {
		assertThat(chosenId(demand(),
				engine("e", "giza", PlacementStrategy.ForEngines
					.maxPendingPrefillTokens(this.statistics.prefillTokensPerSecond(), demand()) + 1, 3_000)))
			.isEqualTo("none");
	}

	@Test
	void requestsSentSinceTheLoadReportCount() {
		TrackedTarget loaded = engine("loaded", "giza", 0, 6_000);
		this.clock.advance(1);
		loaded.recordSend(3_000, 3_500);
		assertThat(chosenId(demand(), loaded, engine("other", "helwan", 1_000, 6_000))).isEqualTo("other");
	}

	@Test
	void responsesShowTheSpeedOfAnEngineWhoseSidecarTellsNoneWhileOthersDo() {
		TrackedTarget slow = engine("slow", "giza", 0, 6_000);
		TrackedTarget queued = engine("queued", "giza", 1_500, 6_000);
		for (int response = 0; response < 5; response++) {
			slow.recordFirstEvent(3_000, 2_000, this.statistics);
		}
		assertThat(chosenId(demand(), slow, queued)).isEqualTo("slow");
		queued.updateLoad(queued.load().withSpeed(new EngineSpeed(7_000, 8, 8, 8)));
		assertThat(chosenId(demand(), slow, queued)).isEqualTo("queued");
	}

	@Test
	void lowerLoadDecidesOnlyAmongEnginesWithAnEarlyStart() {
		TrackedTarget idle = engine("idle", "giza", 0, 0);
		TrackedTarget busy = engine("busy", "giza", 0, 20_000);
		EngineSpeed slow = new EngineSpeed(5_000, 8, 8, 8);
		idle.updateLoad(idle.load().withSpeed(slow));
		busy.updateLoad(busy.load().withSpeed(new EngineSpeed(14_000, 8, 8, 8)));
		assertThat(chosenId(demand(), idle, busy)).isEqualTo("busy");
		busy.updateLoad(busy.load().withSpeed(new EngineSpeed(6_000, 8, 8, 8)));
		assertThat(chosenId(demand(), idle, busy)).isEqualTo("idle");
	}

}
