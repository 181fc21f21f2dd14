package io.dotterelcrank.process.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

/**
 * Cuts a stream of server-sent events into whole events, bytes unchanged. Invariant: the
 * events and the rest together are the bytes taken in. Not thread-safe.
 */
final class EventFramer {

	/** Field that carries an event's id. */
	private static final String ID_FIELD = "id:";

	/** Bytes after the last whole event. */
	private byte[] rest = new byte[0];

	/**
	 * Takes bytes in.
	 * @param piece the bytes
	 * @return events that are whole now
	 */
	List<Event> take(byte[] piece) {
		byte[] bytes = join(this.rest, piece);
		List<Event> events = new ArrayList<>();
		int start = 0;
		int end = boundary(bytes, start);
		while (end > 0) {
			byte[] event = Arrays.copyOfRange(bytes, start, end);
			events.add(new Event(event, id(event)));
			start = end;
			end = boundary(bytes, start);
		}
		this.rest = Arrays.copyOfRange(bytes, start, bytes.length);
		return events;
	}

	private static byte[] join(byte[] first, byte[] second) {
		if (first.length == 0) {
			return second;
		}
		byte[] both = Arrays.copyOf(first, first.length + second.length);
		System.arraycopy(second, 0, both, first.length, second.length);
		return both;
	}

	private static int boundary(byte[] bytes, int start) {
		for (int i = start; i + 1 < bytes.length; i++) {
			if (bytes[i] == '\n') {
				if (bytes[i + 1] == '\n') {
					return i + 2;
				}
				if (bytes[i + 1] == '\r' && i + 2 < bytes.length && bytes[i + 2] == '\n') {
					return i + 3;
				}
			}
		}
		return -1;
	}

	private static OptionalLong id(byte[] event) {
		String text = new String(event, StandardCharsets.ISO_8859_1);
		for (String line : text.split("\r?\n")) {
			if (line.startsWith(ID_FIELD)) {
				return number(line.substring(ID_FIELD.length()).trim());
			}
		}
		return OptionalLong.empty();
	}

	private static OptionalLong number(String text) {
		boolean digits = !text.isEmpty() && text.length() < 18 && text.chars().allMatch(Character::isDigit);
		return digits ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
	}

	/**
	 * Returns the bytes after the last whole event.
	 * @return the number of bytes
	 */
	int restBytes() {
		return this.rest.length;
	}

	/**
	 * A whole event. The bytes are not modified.
	 *
	 * @param bytes its bytes, with the empty line that ends it
	 * @param id its id, if it has a numeric one
	 */
	record Event(byte[] bytes, OptionalLong id) {
	}

}
