package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Scheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over a socket that a timer that became due while its thread was held up runs
 * after what had arrived meanwhile is read.
 */
class LateTimerTests {

	private static final int REPETITIONS = 20;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoop loop = this.group.next();

	private final EventLoopScheduler scheduler = new EventLoopScheduler(this.loop);

	/** What the thread has done, in order. */
	private final List<String> events = Collections.synchronizedList(new ArrayList<>());

	/** Counted down with each event. */
	private final CountDownLatch twoEvents = new CountDownLatch(2);

	/** Runs when a byte is read. */
	private volatile Runnable whenRead = () -> {
	};

	/** The connection whose reads are recorded. */
	private HeldThread.Connection connection;

	@BeforeEach
	void connect() throws Exception {
		this.connection = HeldThread.connect(this.loop, new SimpleChannelInboundHandler<ByteBuf>() {

			@Override
			protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
				record("read");
				LateTimerTests.this.whenRead.run();
			}

		});
	}

	@AfterEach
	void stop() throws Exception {
		this.connection.close();
		this.group.shutdownGracefully(0, 5, TimeUnit.SECONDS).syncUninterruptibly();
	}

	@RepeatedTest(REPETITIONS)
	void timerRunsAfterWhatArrivedDuringARead() throws Exception {
		HeldThread.whileHeld(this.loop, () -> {
			this.scheduler.schedule(1, () -> record("timer"));
			arriveAndSleep();
		});
		assertReadFirst();
	}

	@RepeatedTest(REPETITIONS)
	void repeatedTaskRunsAfterWhatArrivedDuringARead() throws Exception {
		HeldThread.whileHeld(this.loop, () -> {
			this.scheduler.scheduleWithFixedDelay(1, () -> record("timer"));
			arriveAndSleep();
		});
		assertReadFirst();
	}

	/** Netty leaves out a select if a task is submitted right before it. */
	@RepeatedTest(REPETITIONS)
	void timerRunsAfterWhatArrivedThoughAnotherThreadSubmitsTasks() throws Exception {
		Thread submitter = new Thread(this::submitUntilTwoEvents);
		submitter.start();
		HeldThread.whileHeld(this.loop, () -> {
			this.scheduler.schedule(1, () -> record("timer"));
			arriveAndSleep();
		});
		assertReadFirst();
		submitter.join();
	}

	@RepeatedTest(REPETITIONS)
	void timerRunsAfterWhatArrivedDuringATask() throws Exception {
		this.loop.submit(() -> {
			this.scheduler.schedule(1, () -> record("timer"));
			arriveAndSleep();
			return null;
		});
		assertReadFirst();
	}

	@RepeatedTest(REPETITIONS)
	void timerCancelledByWhatIsReadDoesNotRun() throws Exception {
		HeldThread.whileHeld(this.loop, () -> {
			Scheduler.ScheduledTask timer = this.scheduler.schedule(1, () -> record("timer"));
			this.whenRead = timer::cancel;
			arriveAndSleep();
		});
		CountDownLatch later = new CountDownLatch(1);
		this.scheduler.schedule(1, later::countDown);
		assertThat(later.await(10, TimeUnit.SECONDS)).isTrue();
		assertThat(this.events).containsExactly("read");
	}

	@Test
	void timerRunsThoughNothingArrives() throws Exception {
		this.scheduler.schedule(1, () -> record("timer"));
		this.scheduler.schedule(1, () -> record("timer"));
		assertThat(this.twoEvents.await(10, TimeUnit.SECONDS)).isTrue();
	}

	@RepeatedTest(REPETITIONS)
	void timersRunInTheOrderOfTheirDueTimes() throws Exception {
		HeldThread.whileHeld(this.loop, () -> {
			this.scheduler.schedule(1, () -> record("first"));
			this.scheduler.schedule(2, () -> record("second"));
			sleep();
		});
		assertThat(this.twoEvents.await(10, TimeUnit.SECONDS)).isTrue();
		assertThat(this.events).containsExactly("first", "second");
	}

	private void submitUntilTwoEvents() {
		for (int i = 0; this.twoEvents.getCount() > 0; i++) {
			this.loop.execute(() -> {
			});
			for (int j = 0; j < i % 500; j++) {
				Thread.onSpinWait();
			}
		}
	}

	private void assertReadFirst() throws InterruptedException {
		assertThat(this.twoEvents.await(10, TimeUnit.SECONDS)).isTrue();
		assertThat(List.copyOf(this.events)).startsWith("read", "timer");
	}

	private void record(String event) {
		this.events.add(event);
		this.twoEvents.countDown();
	}

	/** Sleeps until a byte has arrived and the timers are due. */
	private void arriveAndSleep() throws IOException, InterruptedException {
		this.connection.sendAndAwaitArrival();
		sleep();
	}

	private static void sleep() throws InterruptedException {
		Thread.sleep(5);
	}

}
