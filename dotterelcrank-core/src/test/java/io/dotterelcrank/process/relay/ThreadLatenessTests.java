package io.dotterelcrank.process.relay;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;

import static org.assertj.core.api.Assertions.assertThat;

class ThreadLatenessTests {

	private static final long INTERVAL_MILLIS = 50;

	private final Clock.Manual clock = Clock.manual(1_000);

	private final ThreadLateness lateness = new ThreadLateness(this.clock, new RelayMetrics(new MetricRegistry()),
			INTERVAL_MILLIS);

	@Test
	void taskThatRunsWhenDueIsNotLate() {
		this.clock.advance(INTERVAL_MILLIS);
		run();
		this.clock.advance(INTERVAL_MILLIS);
		assertThat(this.lateness.millis()).isZero();
	}

	@Test
	void threadIsLateBeforeItsTaskRuns() {
		this.clock.advance(INTERVAL_MILLIS + 1_500);
		assertThat(this.lateness.millis()).isEqualTo(1_500);
	}

	@Test
	void latenessIsRememberedForAWhile() {
		this.clock.advance(INTERVAL_MILLIS + 700);
		run();
		this.clock.advance(INTERVAL_MILLIS);
		run();
		assertThat(this.lateness.millis()).isEqualTo(700);
		for (long millis = 0; millis < ThreadLateness.RETENTION_MILLIS; millis += INTERVAL_MILLIS) {
			this.clock.advance(INTERVAL_MILLIS);
			run();
		}
		assertThat(this.lateness.millis()).isZero();
	}

	@Test
	void timeThatTheTaskTakesMakesTheNextRunLate() {
		this.clock.advance(INTERVAL_MILLIS);
		run();
		this.clock.advance(300 + INTERVAL_MILLIS);
		run();
		assertThat(this.lateness.millis()).isEqualTo(300);
	}

	private void run() {
		this.lateness.recordRun(0);
	}

}
