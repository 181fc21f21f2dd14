package io.dotterelcrank.common;

/**
 * Thrown when a call to a platform system failed or its response was lost.
 */
public class PlatformException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message human-readable description of the failure
	 */
	public PlatformException(String message) {
		super(message);
	}

	/**
	 * Creates an exception with a cause.
	 * @param message human-readable description of the failure
	 * @param cause the underlying failure
	 */
	public PlatformException(String message, Throwable cause) {
		super(message, cause);
	}

}
