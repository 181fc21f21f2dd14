package io.dotterelcrank.daemon.relay;

import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;

/**
 * Makes the log lines of some events fail, as they do without memory or stack.
 * Thread-safe.
 */
final class FailingLog extends AppenderBase<ILoggingEvent> {

	private static final String LOGGERS = "io.dotterelcrank";

	private final Logger logger = (Logger) LoggerFactory.getLogger(LOGGERS);

	private final LogEvent event;

	private final Supplier<Error> errors;

	/** Number of lines that are still to fail. */
	private final AtomicInteger failures;

	private FailingLog(LogEvent event, int failures, Supplier<Error> errors) {
		this.event = event;
		this.failures = new AtomicInteger(failures);
		this.errors = errors;
	}

	/**
	 * Makes lines fail while a step runs.
	 * @param event event whose lines fail
	 * @param failures number of lines that fail
	 * @param errors supplies what they fail with
	 * @param step the step
	 * @return what the step returns
	 */
	static <T> T during(LogEvent event, int failures, Supplier<Error> errors, Callable<T> step) throws Exception {
		FailingLog failing = new FailingLog(event, failures, errors);
		failing.logger.setLevel(Level.TRACE);
		failing.logger.setAdditive(false);
		failing.logger.addAppender(failing);
		try {
			return step.call();
		}
		finally {
			failing.logger.detachAppender(failing);
			failing.logger.setAdditive(true);
			failing.logger.setLevel(null);
		}
	}

	@Override
	public void doAppend(ILoggingEvent line) {
		if (line.getMessage().startsWith("DC" + this.event.number() + ' ') && this.failures.getAndDecrement() > 0) {
			throw this.errors.get();
		}
	}

	@Override
	protected void append(ILoggingEvent line) {
		// All lines pass doAppend, which lets errors through.
	}

}
