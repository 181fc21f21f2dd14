package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;

import io.dotterelcrank.daemon.wiring.Daemon;

/**
 * Runs a daemon until it is told to terminate. The termination signal begins a planned
 * stop; a second one changes nothing. A signal that comes while the daemon starts stops
 * it once it has started.
 */
public final class DaemonRunner {

	private DaemonRunner() {
	}

	/**
	 * Runs a daemon.
	 * @param daemon the daemon
	 * @param started what to do when it serves
	 * @throws IOException if an address cannot be bound
	 */
	public static void run(Daemon daemon, Runnable started) throws IOException {
		CountDownLatch startDone = new CountDownLatch(1);
		CountDownLatch stopped = new CountDownLatch(1);
		boolean[] failed = new boolean[1];
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			await(startDone);
			if (!failed[0]) {
				daemon.stop();
			}
			stopped.countDown();
		}, "stop"));
		try {
			daemon.start();
			started.run();
		}
		catch (IOException ex) {
			failed[0] = true;
			throw ex;
		}
		finally {
			startDone.countDown();
		}
		await(stopped);
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
