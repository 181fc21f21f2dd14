package io.dotterelcrank.request;

/**
 * Id of a server-sent event. It contains the target, the generation and the token index,
 * so that any entry host can resume the generation without shared state. Immutable.
 *
 * @param target name of the target in the host list
 * @param generation id of the generation
 * @param index index of the token, from 0
 */
public record EventId(String target, String generation, int index) {

	/** Neither target names nor generation ids contain it. */
	private static final String SEPARATOR = "/";

	private static final String NAME_PATTERN = "[A-Za-z0-9._-]+";

	private static final int PART_COUNT = 3;

	/** In characters. */
	private static final int MAX_LENGTH = 256;

	/**
	 * Parses an id that a caller sent back.
	 * @param text value of the Last-Event-ID header
	 * @return the parsed id
	 * @throws RequestException if the text is not a valid event id
	 */
	public static EventId parse(String text) throws RequestException {
		String[] parts = (text.length() > MAX_LENGTH) ? new String[0] : text.split(SEPARATOR, -1);
		boolean namesValid = parts.length == PART_COUNT && parts[0].matches(NAME_PATTERN)
				&& parts[1].matches(NAME_PATTERN);
		if (!namesValid || !parts[2].matches("[0-9]{1,9}")) {
			throw Failure.notRun(ResultCode.INVALID_EVENT_ID, "Last-Event-ID is not a valid event id of this system")
				.toException();
		}
		return new EventId(parts[0], parts[1], Integer.parseInt(parts[2]));
	}

	/**
	 * Returns the text form that is sent to callers.
	 * @return target, generation and index, joined by slashes
	 */
	public String text() {
		return this.target + SEPARATOR + this.generation + SEPARATOR + this.index;
	}

}
