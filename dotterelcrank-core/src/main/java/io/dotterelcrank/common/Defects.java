package io.dotterelcrank.common;

import org.slf4j.Logger;

/**
 * Keeps what fails unexpectedly from ending other work. Invariant: errors are handled
 * like exceptions; a thread that serves many requests goes on after a lack of memory or
 * stack that one of them meets. Stateless.
 */
public final class Defects {

	private Defects() {
	}

	/**
	 * Runs a step and logs what it throws.
	 * @param logger logger of the class that runs the step
	 * @param step what to run
	 */
	public static void isolate(Logger logger, Runnable step) {
		try {
			step.run();
		}
		catch (Throwable ex) {
			log(LogEvent.CONTROL_TASK_FAILED, logger, ex);
		}
	}

	/**
	 * Runs all steps, also those behind one that fails.
	 * @param steps what to run, in order
	 * @throws RuntimeException or error of the last step that has failed, if any
	 */
	public static void runAll(Runnable... steps) {
		runAll(0, steps);
	}

	private static void runAll(int index, Runnable... steps) {
		if (index < steps.length) {
			try {
				steps[index].run();
			}
			finally {
				runAll(index + 1, steps);
			}
		}
	}

	/**
	 * Logs a defect if that is possible, and never fails.
	 * @param event event whose last placeholder is for the defect
	 * @param logger logger of the class that reports the event
	 * @param defect what was thrown
	 * @param arguments values for the other placeholders
	 */
	public static void log(LogEvent event, Logger logger, Throwable defect, Object... arguments) {
		try {
			Object[] values = new Object[arguments.length + 2];
			System.arraycopy(arguments, 0, values, 0, arguments.length);
			values[arguments.length] = defect.toString();
			values[arguments.length + 1] = defect;
			event.log(logger, values);
		}
		catch (Throwable ex) {
			// Without memory or stack there is nothing else to tell.
		}
	}

}
