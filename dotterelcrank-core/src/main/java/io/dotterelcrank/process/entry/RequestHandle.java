package io.dotterelcrank.process.entry;

import io.dotterelcrank.common.Scheduler;

/**
 * Handle by which the caller's side controls a request. Thread-safe.
 */
public class RequestHandle {

	/** Runs tasks on the control thread. */
	private final Scheduler scheduler;

	/** Set by the thread that reads the caller's connection; never cleared. */
	private volatile boolean callerLeft;

	/**
	 * {@code null} until the control thread has created the request; confined to it.
	 */
	private AbstractRequest request;

	RequestHandle(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * Reports that the caller has disconnected. No attempt begins from now on, also if
	 * the control thread handles this report later.
	 */
	public void disconnected() {
		this.callerLeft = true;
		execute(() -> {
			if (this.request != null) {
				this.request.callerDisconnected();
			}
		});
	}

	/**
	 * Returns whether the caller has disconnected.
	 * @return {@code true} as soon as it was reported
	 */
	boolean callerLeft() {
		return this.callerLeft;
	}

	/**
	 * Runs a task on the control thread.
	 * @param task the task
	 */
	void execute(Runnable task) {
		this.scheduler.execute(task);
	}

	void setRequest(AbstractRequest created) {
		this.request = created;
	}

}
