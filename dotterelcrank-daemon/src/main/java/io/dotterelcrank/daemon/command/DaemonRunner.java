package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;

import io.dotterelcrank.daemon.wiring.Daemon;

/**
 * Runs a daemon until the process receives a termination signal, which starts a graceful
 * shutdown; further signals have no effect. A signal during startup takes effect when the
 * daemon has started.
 */
public final class DaemonRunner {

	private DaemonRunner() {
	}

	/**
	 * Starts a daemon and returns once it has stopped.
	 * @param daemon the daemon
	 * @param onStarted called when the daemon has started
	 * @throws IOException if an address cannot be bound
	 */
	public static void run(Daemon daemon, Runnable onStarted) throws IOException {
		CountDownLatch startFinished = new CountDownLatch(1);
		CountDownLatch stopped = new CountDownLatch(1);
		boolean[] startFailed = new boolean[1];
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			await(startFinished);
			if (!startFailed[0]) {
				daemon.stop();
			}
			stopped.countDown();
		}, "stop"));
		try {
			daemon.start();
			onStarted.run();
		}
		catch (IOException ex) {
			startFailed[0] = true;
			throw ex;
		}
		finally {
			startFinished.countDown();
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
