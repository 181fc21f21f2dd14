package io.dotterelcrank.daemon.relay;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Defects;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.EventLoopTimer;

/**
 * Runs tasks on the event loop that also handles the traffic, so that the state of
 * requests needs no locks. Exceptions and errors of tasks are logged. Invariant: what has
 * arrived when a delayed or repeated task is due is read before it runs. Thread-safe.
 */
final class EventLoopScheduler implements Scheduler {

	private static final Logger logger = LoggerFactory.getLogger(EventLoopScheduler.class);

	private final EventLoop loop;

	EventLoopScheduler(EventLoop loop) {
		this.loop = loop;
	}

	@Override
	public void execute(Runnable task) {
		this.loop.execute(() -> Defects.isolate(logger, task));
	}

	@Override
	public ScheduledTask schedule(long delayMillis, Runnable task) {
		return EventLoopTimer.schedule(this.loop, delayMillis, () -> Defects.isolate(logger, task));
	}

	@Override
	public void scheduleWithFixedDelay(long intervalMillis, Runnable task) {
		Runnable repetition = new Repetition(TimeUnit.MILLISECONDS.toNanos(intervalMillis), task);
		// The loop repeats one task, and needs no memory for the next run.
		this.loop.scheduleWithFixedDelay(() -> Defects.isolate(logger, repetition), intervalMillis, intervalMillis,
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() {
		this.loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/**
	 * A repeated task. A run that takes long is followed by a pause of half an interval
	 * at least. Confined to the event loop.
	 */
	private final class Repetition implements Runnable {

		private final long intervalNanos;

		private final Runnable task;

		/** End of the last run, or when the repetition was created. */
		private long endedNanos = System.nanoTime();

		Repetition(long intervalNanos, Runnable task) {
			this.intervalNanos = intervalNanos;
			this.task = task;
		}

		@Override
		public void run() {
			if (System.nanoTime() - this.endedNanos >= this.intervalNanos / 2) {
				EventLoopTimer.runAfterReads(EventLoopScheduler.this.loop, this::runTask);
			}
		}

		private void runTask() {
			Defects.isolate(logger, this.task);
			this.endedNanos = System.nanoTime();
		}

	}

}
