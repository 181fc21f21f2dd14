package io.dotterelcrank.process.relay;

import java.net.InetSocketAddress;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PlacementStrategy.ForEngines}.
 */
class ForEnginesTests {

	private static final long MEMORY_TOKENS = 27_000;

	private final Clock.Manual clock = Clock.manual(10_000);

	private final PlacementStrategy placement = new PlacementStrategy.ForEngines(MEMORY_TOKENS,
			RandomSource.XO_RO_SHI_RO_128_PP.create(3));

	private TrackedTarget engine(String id, String dataCentre, long unreadTokens, long memoryUsed) {
		InetSocketAddress address = new InetSocketAddress("10.0.0.1", 80);
		TrackedTarget state = new TrackedTarget(this.clock, new Target(
				new TargetRegistration(id, "bench", address, dataCentre, 24, false, 0, 1, 1), 0, true, false));
		state.report(new EngineLoad(id, "bench", dataCentre, "10.0.0.1:80", 1, 2, 0, unreadTokens, memoryUsed,
				MEMORY_TOKENS, false, -1));
		return state;
	}

	private String chosen(PlacementStrategy.Demand demand, TrackedTarget... states) {
		return this.placement.choose(List.of(states), demand).map(TrackedTarget::id).orElse("none");
	}

	private static PlacementStrategy.Demand demand() {
		return new PlacementStrategy.Demand(3_000, 3_500, "giza", PlacementStrategy.Demand.REQUEST_FAR_SECONDS, 4);
	}

	@Test
	void promptGoesWhereTheFewestTokensAreStillToBeRead() {
		assertThat(chosen(demand(), engine("near", "giza", 3_000, 6_000), engine("far", "helwan", 0, 6_000)))
			.isEqualTo("far");
	}

	@Test
	void copyStaysInItsDataCentreThoughAnEngineElsewhereHasLessToRead() {
		TrackedTarget near = engine("near", "giza", 1_000, 6_000);
		TrackedTarget far = engine("far", "helwan", 0, 6_000);
		assertThat(chosen(demand(), near, far)).isEqualTo("far");
		assertThat(chosen(demand().copiedFrom("giza"), near, far)).isEqualTo("near");
	}

	@Test
	void engineWithoutRoomIsNotChosen() {
		assertThat(chosen(demand(), engine("full", "giza", 0, 24_000))).isEqualTo("none");
	}

	@Test
	void engineThatHasNotToldItsLoadIsUsedByOneHostOnAverage() {
		TrackedTarget told = engine("told", "giza", 3_000, 15_000);
		TrackedTarget started = new TrackedTarget(this.clock, told.target());
		PlacementStrategy.Demand amongTwenty = new PlacementStrategy.Demand(3_000, 3_500, "giza", 0, 20);
		int taken = 0;
		for (int request = 0; request < 1_000; request++) {
			taken += (this.placement.choose(List.of(told, started), amongTwenty).orElseThrow() == started) ? 1 : 0;
		}
		assertThat(taken).isBetween(25, 75);
	}

	@Test
	void enginesThatTellNothingAreAllUsed() {
		TrackedTarget silent = new TrackedTarget(this.clock, engine("e", "giza", 0, 0).target());
		assertThat(chosen(demand(), silent)).isEqualTo("e");
	}

	@Test
	void longQueueTakesNoMoreThoughMemoryHasRoom() {
		assertThat(chosen(demand(), engine("e", "giza", PlacementStrategy.ForEngines.MAX_UNREAD_TOKENS + 1, 3_000)))
			.isEqualTo("none");
	}

	@Test
	void ownRequestsSinceTheReportCount() {
		TrackedTarget own = engine("own", "giza", 0, 6_000);
		this.clock.advance(1);
		own.sent(3_000, 3_500);
		assertThat(chosen(demand(), own, engine("other", "helwan", 1_000, 6_000))).isEqualTo("other");
	}

}
