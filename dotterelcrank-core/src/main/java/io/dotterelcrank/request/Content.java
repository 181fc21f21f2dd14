package io.dotterelcrank.request;

import java.util.List;
import java.util.stream.Stream;

/**
 * What two requests may have in common. Implementations are immutable to their callers.
 */
public interface Content {

	/**
	 * Returns the fingerprint of the whole request.
	 * @return the same text for requests with the same caller, path and body; differs
	 * from the id of any prompt part
	 */
	String fingerprint();

	/**
	 * Returns the parts of the prompt that other prompts may share.
	 * @return ids of the parts, in order
	 */
	List<String> sharedParts();

	/**
	 * Returns all that may be to blame for a crash.
	 * @return fingerprint and parts
	 */
	default Stream<String> keys() {
		return Stream.concat(Stream.of(fingerprint()), sharedParts().stream()).distinct();
	}

}
