package io.dotterelcrank.daemon.relay;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.DefaultEventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link EventLoopScheduler} without the memory for another task.
 */
class EventLoopSchedulerTests {

	/** No request was polled any more. */
	@Test
	void repeatedTaskGoesOnThoughNoOtherTaskCanBeScheduled() throws Exception {
		FullLoop loop = new FullLoop();
		CountDownLatch runs = new CountDownLatch(3);
		try {
			new EventLoopScheduler(loop).scheduleWithFixedDelay(1, () -> {
				loop.full = true;
				runs.countDown();
				throw new InternalError("defect");
			});
			assertThat(runs.await(10, TimeUnit.SECONDS)).isTrue();
		}
		finally {
			loop.shutdownGracefully();
		}
	}

	/**
	 * An event loop that takes no other task at some time.
	 */
	private static final class FullLoop extends DefaultEventLoop {

		private volatile boolean full;

		@Override
		public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
			if (this.full) {
				throw new InternalError("no memory");
			}
			return super.schedule(command, delay, unit);
		}

	}

}
