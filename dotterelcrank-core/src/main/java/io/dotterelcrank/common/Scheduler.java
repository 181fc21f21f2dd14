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
 * Runs tasks one at a time, in order of their due times. State that is only accessed by
 * tasks of one scheduler needs no locking. All methods are thread-safe.
 */
public interface Scheduler extends Executor, AutoCloseable {

	/**
	 * Runs a task after a delay.
	 * @param delayMillis delay in milliseconds; 0 or less runs it as soon as possible
	 * @param task task to run
	 * @return handle that cancels the task
	 */
	ScheduledTask schedule(long delayMillis, Runnable task);

	/**
	 * Runs a task repeatedly until the scheduler is closed, also after a run that failed.
	 * @param intervalMillis delay before the first run, and from the end of one run to
	 * the start of the next, in milliseconds
	 * @param task task to repeat
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
	 * Creates a scheduler with its own daemon thread.
	 * @param name name of the thread
	 * @return a new scheduler
	 */
	static Scheduler singleThread(String name) {
		return new SingleThreadScheduler(name);
	}

	/**
	 * Creates a scheduler that runs tasks only during {@link Manual#advance} and
	 * {@link Manual#runDue}.
	 * @param clock clock that {@link Manual#advance} advances
	 * @return a new scheduler
	 */
	static Manual manual(Clock.Manual clock) {
		return new Manual(clock);
	}

	/**
	 * Handle of a scheduled task.
	 */
	interface ScheduledTask {

		/**
		 * Cancels the task. Has no effect once the task has started.
		 */
		void cancel();

	}

	/**
	 * Runs tasks on one daemon thread and logs those that fail. Thread-safe.
	 */
	final class SingleThreadScheduler implements Scheduler {

		private static final Logger logger = LoggerFactory.getLogger(Scheduler.class);

		private final ScheduledExecutorService executor;

		private SingleThreadScheduler(String name) {
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
				Future<?> future = this.executor.schedule(() -> Defects.isolate(logger, task), delayMillis,
						TimeUnit.MILLISECONDS);
				return () -> future.cancel(false);
			}
			catch (RejectedExecutionException ex) {
				return () -> {
				};
			}
		}

		@Override
		public void scheduleWithFixedDelay(long intervalMillis, Runnable task) {
			try {
				this.executor.scheduleWithFixedDelay(() -> Defects.isolate(logger, task), intervalMillis,
						intervalMillis, TimeUnit.MILLISECONDS);
			}
			catch (RejectedExecutionException ex) {
				// The scheduler is closed.
			}
		}

		@Override
		public void close() {
			this.executor.shutdownNow();
		}

	}

	/**
	 * Runs tasks on the thread that advances it, so that tests are deterministic. Tasks
	 * with equal due times run in the order of their submission.
	 */
	final class Manual implements Scheduler {

		private final Clock.Manual clock;

		/** Pending tasks, by due time and order of submission. */
		private final PriorityQueue<Task> tasks = new PriorityQueue<>(
				Comparator.comparingLong(Task::dueMillis).thenComparingLong(Task::sequenceNumber));

		private long submittedTasks;

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
			Runnable unlessCancelled = () -> {
				if (!cancelled.get()) {
					task.run();
				}
			};
			this.tasks
				.add(new Task(this.clock.millis() + Math.max(0, delayMillis), this.submittedTasks++, unlessCancelled));
			return () -> cancelled.set(true);
		}

		/**
		 * Runs every task that is due, including due tasks that these submit.
		 */
		public void runDue() {
			advance(0);
		}

		/**
		 * Advances the clock, running tasks at their due times.
		 * @param millis milliseconds to advance by
		 */
		public void advance(long millis) {
			long endMillis = this.clock.millis() + millis;
			Task next = pollDue(endMillis);
			while (next != null) {
				this.clock.advance(Math.max(0, next.dueMillis() - this.clock.millis()));
				next.action().run();
				next = pollDue(endMillis);
			}
			this.clock.advance(Math.max(0, endMillis - this.clock.millis()));
		}

		private synchronized Task pollDue(long endMillis) {
			Task first = this.tasks.peek();
			return (first != null && first.dueMillis() <= endMillis) ? this.tasks.remove() : null;
		}

		@Override
		public synchronized void close() {
			this.tasks.clear();
		}

		/**
		 * Pending task. Immutable.
		 *
		 * @param dueMillis due time by the clock, in milliseconds
		 * @param sequenceNumber order among tasks with equal due times
		 * @param action code to run
		 */
		private record Task(long dueMillis, long sequenceNumber, Runnable action) {
		}

	}

}
