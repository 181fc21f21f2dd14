package io.dotterelcrank.process.relay;

import java.util.function.Supplier;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;

/**
 * Makes the log lines of some events fail, as they do without memory or stack. Not
 * thread-safe.
 */
final class FailingLog extends AppenderBase<ILoggingEvent> {

	private static final String LOGGERS = "io.dotterelcrank";

	private final Logger logger = (Logger) LoggerFactory.getLogger(LOGGERS);

	/** Beginning of the lines that fail. */
	private final String start;

	private final Supplier<Error> errors;

	/** Number of such lines before the first one that fails. */
	private int successes;

	/** Number of lines that are still to fail. */
	private int failures;

	private FailingLog(String start, int successes, int failures, Supplier<Error> errors) {
		this.start = start;
		this.successes = successes;
		this.failures = failures;
		this.errors = errors;
	}

	/**
	 * Makes lines fail while a step runs.
	 * @param event event whose lines fail
	 * @param failures number of lines that fail
	 * @param errors supplies what they fail with
	 * @param step the step
	 */
	static void during(LogEvent event, int failures, Supplier<Error> errors, Runnable step) {
		new FailingLog("DC" + event.number() + ' ', 0, failures, errors).during(step);
	}

	/**
	 * Makes one line fail while a step runs.
	 * @param index number of lines before it
	 * @param errors supplies what it fails with
	 * @param step the step
	 */
	static void duringLine(int index, Supplier<Error> errors, Runnable step) {
		new FailingLog("DC", index, 1, errors).during(step);
	}

	private void during(Runnable step) {
		this.logger.setLevel(Level.TRACE);
		this.logger.setAdditive(false);
		this.logger.addAppender(this);
		try {
			step.run();
		}
		finally {
			this.logger.detachAppender(this);
			this.logger.setAdditive(true);
			this.logger.setLevel(null);
		}
	}

	@Override
	public void doAppend(ILoggingEvent line) {
		if (!line.getMessage().startsWith(this.start)) {
			return;
		}
		if (this.successes > 0) {
			this.successes--;
		}
		else if (this.failures > 0) {
			this.failures--;
			throw this.errors.get();
		}
	}

	@Override
	protected void append(ILoggingEvent line) {
		// All lines pass doAppend, which lets errors through.
	}

}
