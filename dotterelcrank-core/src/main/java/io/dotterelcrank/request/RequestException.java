package io.dotterelcrank.request;

/**
 * Checked exception that carries a numbered failure. Immutable.
 */
public class RequestException extends Exception {

	private static final long serialVersionUID = 1L;

	/** What failed. */
	private final transient Failure failure;

	/**
	 * Creates an exception.
	 * @param failure what failed
	 */
	public RequestException(Failure failure) {
		super(failure.code() + ": " + failure.message());
		this.failure = failure;
	}

	/**
	 * Returns what failed.
	 * @return the numbered failure
	 */
	public Failure failure() {
		return this.failure;
	}

}
