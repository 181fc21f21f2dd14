package io.dotterelcrank.request;

/**
 * Id of a server-sent event: names the target, the generation and the token, so that any
 * entry host can resume the generation without a store. Immutable.
 *
 * @param target name of the target in the host list
 * @param generation id of the generation
 * @param index index of the token
 */
public record EventId(String target, String generation, int index) {

	/** Separates the parts; neither target names nor ids contain it. */
	private static final String SEPARATOR = "/";

	/** What names and ids are made of. */
	private static final String NAME = "[A-Za-z0-9._-]+";

	/** Number of parts. */
	private static final int PARTS = 3;

	/** Largest accepted length in characters. */
	private static final int LONGEST = 256;

	/**
	 * Reads an id that a caller sent back.
	 * @param text the Last-Event-ID header
	 * @return the parts
	 * @throws RequestException if the text is not an id of this system
	 */
	public static EventId parse(String text) throws RequestException {
		String[] parts = (text.length() > LONGEST) ? new String[0] : text.split(SEPARATOR, -1);
		boolean names = parts.length == PARTS && parts[0].matches(NAME) && parts[1].matches(NAME);
		if (!names || !parts[2].matches("[0-9]{1,9}")) {
			throw Failure.notRun(ResultCode.INVALID_EVENT_ID, "Last-Event-ID is not an id of this system")
				.toException();
		}
		return new EventId(parts[0], parts[1], Integer.parseInt(parts[2]));
	}

	/**
	 * Returns the text sent to callers.
	 * @return target, generation and index
	 */
	public String text() {
		return this.target + SEPARATOR + this.generation + SEPARATOR + this.index;
	}

}
