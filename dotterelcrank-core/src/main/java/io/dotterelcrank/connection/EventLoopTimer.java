package io.dotterelcrank.connection;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoop;

import io.dotterelcrank.common.Scheduler.ScheduledTask;

/**
 * Runs tasks on an event loop after a delay. Invariant: between the time at which a task
 * is due and its run, the loop has selected and has handled what that select found, so
 * that no timeout is decided against what had arrived before it. Relies on the loop to
 * take timers only before the first task of a turn, and behind the tasks that reads have
 * submitted. Thread-safe.
 */
public final class EventLoopTimer implements Runnable, ScheduledTask {

	private static final Runnable NOTHING = () -> {
	};

	private final EventLoop loop;

	private final Runnable task;

	private volatile boolean cancelled;

	/** Whether the task has been due in a former turn; used by the loop only. */
	private boolean due;

	/** {@code null} for a task that is due already. */
	private Future<?> delay;

	private EventLoopTimer(EventLoop loop, Runnable task) {
		this.loop = loop;
		this.task = task;
	}

	/**
	 * Runs a task after a delay and the reads of the turn that follows.
	 * @param loop event loop that runs the task
	 * @param delayMillis delay in milliseconds; 0 or less is due at once
	 * @param task task to run
	 * @return handle that cancels the task
	 */
	public static ScheduledTask schedule(EventLoop loop, long delayMillis, Runnable task) {
		EventLoopTimer timer = new EventLoopTimer(loop, task);
		timer.delay = loop.schedule(timer, delayMillis, TimeUnit.MILLISECONDS);
		return timer;
	}

	/**
	 * Runs a task after the reads of the next turn, or at once if no memory is left to
	 * wait for it.
	 * @param loop event loop that makes this call
	 * @param task task to run
	 */
	public static void runAfterReads(EventLoop loop, Runnable task) {
		new EventLoopTimer(loop, task).run();
	}

	@Override
	public void run() {
		if (this.cancelled) {
			return;
		}
		if (!this.due) {
			this.due = true;
			try {
				selectBeforeNextTask();
				this.loop.schedule(this, 0, TimeUnit.MILLISECONDS);
				return;
			}
			catch (RuntimeException | Error ex) {
				// Without memory the task runs now: a timeout must not be lost.
			}
		}
		this.task.run();
	}

	/**
	 * Makes the next turn begin with a select: the loop leaves it out if a task is
	 * submitted right before it, but not if one is there at the end of this turn.
	 */
	private void selectBeforeNextTask() {
		if (this.loop instanceof NioEventLoop nioLoop) {
			nioLoop.executeAfterEventLoopIteration(() -> nioLoop.execute(NOTHING));
		}
	}

	@Override
	public void cancel() {
		this.cancelled = true;
		this.delay.cancel(false);
	}

}
