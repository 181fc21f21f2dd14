package io.dotterelcrank.process.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Splits a stream of server-sent events into complete events with unchanged bytes, and
 * says which of them are none. Addresses engines that write another response into an open
 * stream. Invariant: the events and the remainder together are the bytes appended. Not
 * thread-safe.
 */
final class EventFramer {

	private static final String ID_FIELD = "id:";

	/**
	 * A comment, a field, or nothing. Names of fields are in lower case, unlike those of
	 * headers, and a status line has none.
	 */
	private static final Pattern EVENT_LINE = Pattern.compile("|:.*|data|[a-z][a-z0-9_-]*:.*", Pattern.DOTALL);

	/** Bytes after the last complete event. */
	private byte[] remainder = new byte[0];

	/**
	 * Appends bytes of the stream.
	 * @param piece next bytes; events may be split anywhere
	 * @return events completed by these bytes; may be empty
	 */
	List<Event> append(byte[] piece) {
		byte[] bytes = join(this.remainder, piece);
		List<Event> events = new ArrayList<>();
		int start = 0;
		int end = endOfEvent(bytes, start);
		while (end > 0) {
			byte[] event = Arrays.copyOfRange(bytes, start, end);
			events.add(Event.of(event));
			start = end;
			end = endOfEvent(bytes, start);
		}
		this.remainder = Arrays.copyOfRange(bytes, start, bytes.length);
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

	/**
	 * Finds the empty line that ends an event.
	 * @param bytes bytes of the stream
	 * @param start index of the event's first byte
	 * @return index of the first byte after the empty line; -1 if the event is incomplete
	 */
	private static int endOfEvent(byte[] bytes, int start) {
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

	/**
	 * Returns the length of the incomplete event at the end.
	 * @return number of bytes after the last complete event
	 */
	int remainingBytes() {
		return this.remainder.length;
	}

	/**
	 * A complete event. The bytes are not modified.
	 *
	 * @param bytes bytes of the event, with the empty line that ends it
	 * @param id numeric id of the event; empty if it has no id or another kind of id
	 * @param wellFormed whether all lines are fields or comments, with one id at most
	 * @param comment whether there is nothing but comments
	 */
	record Event(byte[] bytes, OptionalLong id, boolean wellFormed, boolean comment) {

		private static Event of(byte[] bytes) {
			OptionalLong id = OptionalLong.empty();
			int ids = 0;
			boolean wellFormed = true;
			boolean comment = true;
			for (String line : new String(bytes, StandardCharsets.ISO_8859_1).split("\r?\n")) {
				wellFormed &= EVENT_LINE.matcher(line).matches();
				comment &= line.isEmpty() || line.startsWith(":");
				if (line.startsWith(ID_FIELD)) {
					ids++;
					id = parseNumber(line.substring(ID_FIELD.length()).trim());
				}
			}
			return new Event(bytes, id, wellFormed && ids <= 1, comment);
		}

		private static OptionalLong parseNumber(String text) {
			boolean digits = !text.isEmpty() && text.length() < 18 && text.chars().allMatch(Character::isDigit);
			return digits ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
		}

	}

}
