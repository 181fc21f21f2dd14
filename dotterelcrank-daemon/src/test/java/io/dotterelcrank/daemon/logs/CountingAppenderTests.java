package io.dotterelcrank.daemon.logs;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link CountingAppender}.
 */
class CountingAppenderTests {

	@Test
	void slowAppenderDoesNotBlockLoggingAndDroppedEventsAreCounted() {
		CountDownLatch release = new CountDownLatch(1);
		AtomicLong written = new AtomicLong();
		LoggerContext context = new LoggerContext();
		context.setMDCAdapter(new LogbackMDCAdapter());
		AppenderBase<ILoggingEvent> slow = new AppenderBase<>() {

			@Override
			protected void append(ILoggingEvent event) {
				try {
					release.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				finally {
					written.incrementAndGet();
				}
			}

		};
		slow.setContext(context);
		slow.start();
		CountingAppender counting = new CountingAppender();
		counting.setContext(context);
		counting.setQueueSize(8);
		counting.setDiscardingThreshold(0);
		counting.setNeverBlock(true);
		counting.addAppender(slow);
		counting.start();
		Logger logger = context.getLogger("test");
		logger.setLevel(Level.INFO);
		logger.addAppender(counting);
		long before = CountingAppender.dropped();
		for (int line = 0; line < 100; line++) {
			logger.info("line {}", line);
		}
		long dropped = CountingAppender.dropped() - before;
		release.countDown();
		counting.stop();
		assertThat(dropped).isPositive();
		assertThat(dropped + written.get()).isEqualTo(100);
	}

}
