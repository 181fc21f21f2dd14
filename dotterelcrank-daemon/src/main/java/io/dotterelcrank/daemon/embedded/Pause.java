package io.dotterelcrank.daemon.embedded;

/**
 * Waits on the calling thread. Stateless.
 */
public final class Pause {

	private Pause() {
	}

	/**
	 * Waits.
	 * @param millis how long, in milliseconds
	 */
	public static void millis(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
