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
 * Tests of {@link Placement.ForEngines}.
 */
class ForEnginesTests {

	private static final long MEMORY_TOKENS = 27_000;

	private final Clock.Manual clock = Clock.manual(10_000);

	private final Placement placement = new Placement.ForEngines(MEMORY_TOKENS,
			RandomSource.XO_RO_SHI_RO_128_PP.create(3));

	private TargetState engine(String id, String dataCentre, long unreadTokens, long memoryUsed) {
		InetSocketAddress address = new InetSocketAddress("10.0.0.1", 80);
		TargetState state = new TargetState(this.clock, new Target(
				new TargetRegistration(id, "bench", address, dataCentre, 24, false, 0, 1, 1), 0, true, false));
		state.report(new EngineLoad(id, "bench", dataCentre, "10.0.0.1:80", 1, 2, 0, unreadTokens, memoryUsed,
				MEMORY_TOKENS, false, -1));
		return state;
	}

	private String chosen(Placement.Demand demand, TargetState... states) {
		return this.placement.choose(List.of(states), demand).map(TargetState::id).orElse("none");
	}

	private static Placement.Demand demand() {
		return new Placement.Demand(3_000, 3_500, "giza", Placement.Demand.REQUEST_FAR_SECONDS, 4);
	}

	@Test
	void promptGoesWhereTheFewestTokensAreStillToBeRead() {
		assertThat(chosen(demand(), engine("near", "giza", 3_000, 6_000), engine("far", "helwan", 0, 6_000)))
			.isEqualTo("far");
	}

	@Test
	void copyStaysInItsDataCentreThoughAnEngineElsewhereHasLessToRead() {
		TargetState near = engine("near", "giza", 1_000, 6_000);
		TargetState far = engine("far", "helwan", 0, 6_000);
		assertThat(chosen(demand(), near, far)).isEqualTo("far");
		assertThat(chosen(demand().copiedFrom("giza"), near, far)).isEqualTo("near");
	}

	@Test
	void engineWithoutRoomIsNotChosen() {
		assertThat(chosen(demand(), engine("full", "giza", 0, 24_000))).isEqualTo("none");
	}

	@Test
	void engineThatHasNotToldItsLoadIsUsedByOneHostOnAverage() {
		TargetState told = engine("told", "giza", 3_000, 15_000);
		TargetState started = new TargetState(this.clock, told.target());
		Placement.Demand amongTwenty = new Placement.Demand(3_000, 3_500, "giza", 0, 20);
		int taken = 0;
		for (int request = 0; request < 1_000; request++) {
			taken += (this.placement.choose(List.of(told, started), amongTwenty).orElseThrow() == started) ? 1 : 0;
		}
		assertThat(taken).isBetween(25, 75);
	}

	@Test
	void enginesThatTellNothingAreAllUsed() {
		TargetState silent = new TargetState(this.clock, engine("e", "giza", 0, 0).target());
		assertThat(chosen(demand(), silent)).isEqualTo("e");
	}

	@Test
	void longQueueTakesNoMoreThoughMemoryHasRoom() {
		assertThat(chosen(demand(), engine("e", "giza", Placement.ForEngines.MAX_UNREAD_TOKENS + 1, 3_000)))
			.isEqualTo("none");
	}

	@Test
	void ownRequestsSinceTheReportCount() {
		TargetState own = engine("own", "giza", 0, 6_000);
		this.clock.advance(1);
		own.sent(3_000, 3_500);
		assertThat(chosen(demand(), own, engine("other", "helwan", 1_000, 6_000))).isEqualTo("other");
	}

}
