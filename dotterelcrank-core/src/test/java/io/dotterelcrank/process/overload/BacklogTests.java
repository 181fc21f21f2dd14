package io.dotterelcrank.process.overload;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Backlog}: a burst that drains in time, and demand above capacity.
 */
class BacklogTests {

	private final Clock.Manual clock = Clock.manual(1_000);

	private final Backlog backlog = Backlog.of(this.clock);

	/** 4,000 tokens free, 10,000 freed per second. */
	private final EngineCapacity capacity = new EngineCapacity(4_000, 10_000, 3);

	private void arrive(int generations, long everyMillis) {
		for (int i = 0; i < generations; i++) {
			this.backlog.recordArrival(4_000);
			this.clock.advance(everyMillis);
		}
	}

	@Test
	void generationThatFitsStartsAtOnce() {
		assertThat(this.backlog.millisUntilStart(this.capacity, 0, 4_000)).isZero();
	}

	@Test
	void generationStartsWhenThoseAheadHaveTheirMemory() {
		assertThat(this.backlog.millisUntilStart(this.capacity, 8_000, 4_000)).isEqualTo(800);
	}

	@Test
	void nothingStartsWhereNoMemoryIsFreed() {
		EngineCapacity full = new EngineCapacity(0, 0, 1);
		assertThat(this.backlog.millisUntilStart(full, 0, 4_000)).isEqualTo(Backlog.NEVER);
	}

	@Test
	void lateGenerationWaitsLongerTheMoreArrive() {
		arrive(40, 800);
		assertThat(this.backlog.millisUntilLateStart(this.capacity, 8_000, 4_000)).isBetween(1_340L, 2_040L);
	}

	@Test
	void lateGenerationDoesNotStartWhileDemandIsAboveCapacity() {
		arrive(40, 200);
		assertThat(this.backlog.millisUntilLateStart(this.capacity, 0, 8_000)).isEqualTo(Backlog.NEVER);
		this.clock.advance(5_000);
		assertThat(this.backlog.millisUntilLateStart(this.capacity, 0, 8_000)).isBetween(400L, 600L);
	}

	@Test
	void hostsDivideTheCapacity() {
		EngineCapacity share = this.capacity.share(4);
		assertThat(share.freeTokens()).isEqualTo(1_000);
		assertThat(share.freedTokensPerSecond()).isEqualTo(2_500);
		assertThat(EngineCapacity.UNKNOWN.share(4).known()).isFalse();
	}

}
