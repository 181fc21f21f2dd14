package io.dotterelcrank.daemon.embedded;

/**
 * Blocks the calling thread for a time. Stateless.
 */
public final class Sleeper {

	private Sleeper() {
	}

	/**
	 * Sleeps. Returns early, with the interrupt status set, if the thread is interrupted.
	 * @param millis time to sleep, in milliseconds; returns at once if not positive
	 */
	public static void sleepMillis(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
