package io.dotterelcrank.request;

/**
 * Checked exception that carries the failure of a request. Immutable.
 */
public class RequestException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient Failure failure;

	/**
	 * Creates an exception.
	 * @param failure failure to report
	 */
	public RequestException(Failure failure) {
		super(failure.code() + ": " + failure.message());
		this.failure = failure;
	}

	/**
	 * Returns the failure.
	 * @return the failure; {@code null} after deserialization
	 */
	public Failure failure() {
		return this.failure;
	}

}
