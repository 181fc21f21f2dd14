package io.dotterelcrank.daemon.relay;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests of {@link PlannedStop} with a grace period of 8 s.
 */
class PlannedStopTests {

	private static final long GRACE_MILLIS = 8_000;

	private static final long FORCED_STOP_MILLIS = 7_680;

	private final Clock.Manual clock = Clock.manual(100_000);

	private final Scheduler.Manual scheduler = Scheduler.manual(this.clock);

	private final RecordingHost host = new RecordingHost();

	private final PlannedStop stop = PlannedStop.of(this.host, this.clock, this.scheduler, GRACE_MILLIS);

	@Test
	void idleHostEndsOnceIdleConnectionsAreClosed() {
		this.host.idle = true;
		this.stop.start();
		this.scheduler.advance(3_200);
		assertThat(this.stop.ended()).isFalse();
		assertThat(this.host.closeAttempts).isZero();
		this.scheduler.advance(PlannedStop.POLL_MILLIS);
		assertThat(this.stop.awaitEnd()).contains(0);
	}

	@Test
	void requestsThatAreActiveAtTheEndAreEndedWithAnError() {
		this.host.activeRequests = 3;
		this.stop.start();
		this.scheduler.advance(FORCED_STOP_MILLIS);
		assertThat(this.host.activeRequests).isEqualTo(3);
		this.scheduler.advance(PlannedStop.POLL_MILLIS);
		assertThat(this.host.activeRequests).isZero();
		assertThat(this.stop.ended()).isFalse();
		this.host.idle = true;
		this.scheduler.advance(PlannedStop.POLL_MILLIS);
		assertThat(this.stop.awaitEnd()).contains(3);
	}

	/** The process ended while responses to slow callers were being sent. */
	@Test
	void responsesThatAreBeingSentAtTheForcedStopGetTheRestOfTheGracePeriod() {
		this.stop.start();
		this.scheduler.advance(FORCED_STOP_MILLIS + 2 * PlannedStop.POLL_MILLIS);
		assertThat(this.stop.ended()).isFalse();
		this.host.idle = true;
		this.scheduler.advance(PlannedStop.POLL_MILLIS);
		assertThat(this.stop.ended()).isTrue();
	}

	@Test
	void errorInOneCheckDoesNotEndTheStop() {
		this.host.failing = true;
		this.stop.start();
		assertThatIllegalStateException().isThrownBy(() -> this.scheduler.advance(GRACE_MILLIS));
		this.host.failing = false;
		this.host.idle = true;
		this.scheduler.advance(PlannedStop.POLL_MILLIS);
		assertThat(this.stop.ended()).isTrue();
	}

	@Test
	void callerThatDoesNotReadDelaysTheEndNoLongerThanTheGracePeriod() {
		this.stop.start();
		this.scheduler.advance(GRACE_MILLIS - 100);
		assertThat(this.stop.awaitEnd()).contains(0);
	}

	/** Requests were sent that the process could not wait for. */
	@Test
	void timeThatTheTrafficThreadTakesToStartTheStopIsNotAddedToTheGracePeriod() {
		this.clock.advance(700);
		this.stop.start();
		assertThat(this.host.acceptMillis).isEqualTo(5_600 - 700);
		assertThat(this.host.endMillis).isEqualTo(FORCED_STOP_MILLIS - 700);
	}

	@Test
	void hostWhoseTrafficThreadStartsTheStopAfterItsEndRefusesAllRequests() {
		this.clock.advance(GRACE_MILLIS);
		this.stop.start();
		assertThat(this.host.acceptMillis).isZero();
		assertThat(this.host.endMillis).isZero();
		assertThat(this.stop.awaitEnd()).isEmpty();
	}

	/**
	 * A host whose state the test sets.
	 */
	private static final class RecordingHost implements PlannedStop.Host {

		private int activeRequests;

		private boolean idle;

		private boolean failing;

		private int closeAttempts;

		private long acceptMillis;

		private long endMillis;

		@Override
		public void startDraining(long acceptForMillis, long endAfterMillis) {
			this.acceptMillis = acceptForMillis;
			this.endMillis = endAfterMillis;
		}

		@Override
		public boolean tryClose() {
			this.closeAttempts++;
			if (this.failing) {
				throw new IllegalStateException("test");
			}
			return this.idle;
		}

		@Override
		public int activeRequests() {
			return this.activeRequests;
		}

		@Override
		public void endActiveRequests() {
			this.activeRequests = 0;
		}

	}

}
