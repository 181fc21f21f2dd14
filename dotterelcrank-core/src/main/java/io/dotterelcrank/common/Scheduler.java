package io.dotterelcrank.common;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs control tasks one at a time, in the order of their due times. State that only
 * tasks of one scheduler touch needs no further locking. All methods are thread-safe.
 */
public interface Scheduler extends Executor, AutoCloseable {

	/**
	 * Runs a task after a delay.
	 * @param delayMillis delay in milliseconds
	 * @param task the task
	 * @return a handle that cancels the task
	 */
	ScheduledTask schedule(long delayMillis, Runnable task);

	/**
	 * Runs a task again and again, until the scheduler is closed.
	 * @param intervalMillis time between the end of one run and the start of the next, in
	 * milliseconds
	 * @param task the task
	 */
	default void scheduleWithFixedDelay(long intervalMillis, Runnable task) {
		schedule(intervalMillis, () -> {
			try {
				task.run();
			}
			finally {
				scheduleWithFixedDelay(intervalMillis, task);
			}
		});
	}

	@Override
	void close();

	/**
	 * Creates a scheduler with a thread of its own.
	 * @param name name of the thread
	 * @return a new scheduler
	 */
	static Scheduler singleThread(String name) {
		return new ForSingleThread(name);
	}

	/**
	 * Creates a scheduler that runs tasks when its clock is moved.
	 * @param clock the clock
	 * @return a new scheduler
	 */
	static Manual manual(Clock.Manual clock) {
		return new Manual(clock);
	}

	/**
	 * Handle of a delayed task.
	 */
	interface ScheduledTask {

		/**
		 * Cancels the task unless it has started.
		 */
		void cancel();

	}

	/**
	 * Runs tasks on one daemon thread. Thread-safe.
	 */
	final class ForSingleThread implements Scheduler {

		/** Logger of the class. */
		private static final Logger logger = LoggerFactory.getLogger(Scheduler.class);

		/** The thread. */
		private final ScheduledExecutorService executor;

		private ForSingleThread(String name) {
			this.executor = Executors.newSingleThreadScheduledExecutor((task) -> {
				Thread thread = new Thread(task, name);
				thread.setDaemon(true);
				return thread;
			});
		}

		@Override
		public void execute(Runnable task) {
			schedule(0, task);
		}

		@Override
		public ScheduledTask schedule(long delayMillis, Runnable task) {
			try {
				Future<?> future = this.executor.schedule(() -> run(task), delayMillis, TimeUnit.MILLISECONDS);
				return () -> future.cancel(false);
			}
			catch (RejectedExecutionException ex) {
				return () -> {
				};
			}
		}

		private void run(Runnable task) {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				LogEvent.CONTROL_TASK_FAILED.log(logger, ex.toString(), ex);
			}
		}

		@Override
		public void close() {
			this.executor.shutdownNow();
		}

	}

	/**
	 * Runs tasks on the thread that moves the clock; two runs with the same tasks are
	 * equal. Tasks of equal due time run in the order of their submission.
	 */
	final class Manual implements Scheduler {

		/** The clock that the tasks see. */
		private final Clock.Manual clock;

		/** Tasks not yet run, by due time and number. */
		private final PriorityQueue<Task> tasks = new PriorityQueue<>(
				Comparator.comparingLong(Task::dueMillis).thenComparingLong(Task::number));

		/** Number of tasks submitted. */
		private long submitted;

		private Manual(Clock.Manual clock) {
			this.clock = clock;
		}

		@Override
		public void execute(Runnable task) {
			schedule(0, task);
		}

		@Override
		public synchronized ScheduledTask schedule(long delayMillis, Runnable task) {
			AtomicBoolean cancelled = new AtomicBoolean();
			Runnable guarded = () -> {
				if (!cancelled.get()) {
					task.run();
				}
			};
			this.tasks.add(new Task(this.clock.millis() + Math.max(0, delayMillis), this.submitted++, guarded));
			return () -> cancelled.set(true);
		}

		/**
		 * Runs every task that is due, and those that they make due.
		 */
		public void runDue() {
			advance(0);
		}

		/**
		 * Moves the clock forward, running tasks at their due times.
		 * @param millis how far, in milliseconds
		 */
		public void advance(long millis) {
			long end = this.clock.millis() + millis;
			Task next = takeDue(end);
			while (next != null) {
				this.clock.advance(Math.max(0, next.dueMillis() - this.clock.millis()));
				next.action().run();
				next = takeDue(end);
			}
			this.clock.advance(Math.max(0, end - this.clock.millis()));
		}

		private synchronized Task takeDue(long end) {
			Task first = this.tasks.peek();
			return (first != null && first.dueMillis() <= end) ? this.tasks.remove() : null;
		}

		@Override
		public synchronized void close() {
			this.tasks.clear();
		}

		/**
		 * A task. Immutable.
		 *
		 * @param dueMillis when it is due
		 * @param number position among tasks of equal due time
		 * @param action what it does
		 */
		private record Task(long dueMillis, long number, Runnable action) {
		}

	}

}
