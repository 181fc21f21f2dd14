package io.dotterelcrank.process.platform;

/**
 * A platform system failed, or its answer was lost.
 */
public class PlatformException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what failed
	 */
	public PlatformException(String message) {
		super(message);
	}

	/**
	 * Creates an exception with a cause.
	 * @param message what failed
	 * @param cause why
	 */
	public PlatformException(String message, Throwable cause) {
		super(message, cause);
	}

}
