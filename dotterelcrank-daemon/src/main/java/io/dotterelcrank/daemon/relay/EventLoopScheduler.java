package io.dotterelcrank.daemon.relay;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Defects;
import io.dotterelcrank.common.Scheduler;

/**
 * Runs tasks on the event loop that also handles the traffic, so that the state of
 * requests needs no locks. Exceptions and errors of tasks are logged. Thread-safe.
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
		ScheduledFuture<?> future = this.loop.schedule(() -> Defects.isolate(logger, task), delayMillis,
				TimeUnit.MILLISECONDS);
		return () -> future.cancel(false);
	}

	@Override
	public void scheduleWithFixedDelay(long intervalMillis, Runnable task) {
		// The loop repeats one task, and needs no memory for the next run.
		this.loop.scheduleWithFixedDelay(() -> Defects.isolate(logger, task), intervalMillis, intervalMillis,
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() {
		this.loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}
