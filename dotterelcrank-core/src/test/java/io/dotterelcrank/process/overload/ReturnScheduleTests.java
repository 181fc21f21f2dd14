package io.dotterelcrank.process.overload;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ReturnSchedule}: callers that are refused together return one after the
 * other.
 */
class ReturnScheduleTests {

	private final Clock.Manual clock = Clock.manual(10_000);

	private final ReturnSchedule schedule = ReturnSchedule.of(this.clock, RandomSource.XO_RO_SHI_RO_128_PP.create(3));

	@Test
	void turnsFollowEachOtherAtTheRateAtWhichMemoryIsFreed() {
		List<Long> delays = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			delays.add(this.schedule.assign(4_000, 8_000, 1_000, 12_000));
		}
		assertThat(delays).containsExactly(1_000L, 1_500L, 2_000L, 2_500L);
	}

	@Test
	void nobodyReturnsSoonWhileDemandIsAboveCapacity() {
		assertThat(this.schedule.assign(4_000, 8_000, Backlog.NEVER, 12_000)).isEqualTo(6_000);
	}

	@Test
	void callersBeyondTheLastTurnReturnSpreadWithinTheirTime() {
		List<Long> delays = new ArrayList<>();
		for (int i = 0; i < 100; i++) {
			delays.add(this.schedule.assign(4_000, 8_000, Backlog.NEVER, 12_000));
		}
		assertThat(delays).allMatch((delay) -> delay >= 6_000 && delay <= 12_000);
		assertThat(new HashSet<>(delays)).hasSizeGreaterThan(90);
	}

	@Test
	void delayIsNeverShorterThanTheMinimum() {
		assertThat(this.schedule.assign(4_000, 0, 0, 12_000)).isEqualTo(ReturnSchedule.MIN_DELAY_MILLIS);
		assertThat(this.schedule.assign(4_000, 0, Backlog.NEVER, 10)).isEqualTo(ReturnSchedule.MIN_DELAY_MILLIS);
	}

	@Test
	void turnsThatHavePassedAreFree() {
		this.schedule.assign(4_000, 8_000, 0, 12_000);
		this.schedule.assign(4_000, 8_000, 0, 12_000);
		this.clock.advance(5_000);
		assertThat(this.schedule.assign(4_000, 8_000, 300, 12_000)).isEqualTo(300);
	}

}
