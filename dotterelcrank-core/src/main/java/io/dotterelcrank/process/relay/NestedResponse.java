package io.dotterelcrank.process.relay;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Finds a second response to the same request inside a body. Addresses targets that break
 * off a response, or give no length, and then write another one: its bytes are read as
 * the rest of the body. Takes one pass and no memory, whatever the body holds. Stateless.
 */
final class NestedResponse {

	/** Distance from a status line within which its headers name the request. */
	private static final int MAX_HEAD_BYTES = 8 * 1024;

	/** A status line up to its status; {@code 0} stands for a digit. */
	private static final byte[] STATUS_LINE = "HTTP/0.0 000".getBytes(StandardCharsets.US_ASCII);

	private NestedResponse() {
	}

	/**
	 * Returns whether a body contains the head of a response to its own request.
	 * @param body the body
	 * @param requestId id of the request, which responses echo; none is found if it is
	 * empty
	 * @return {@code true} if a status line is followed by the id
	 */
	static boolean isIn(byte[] body, String requestId) {
		byte[] id = requestId.getBytes(StandardCharsets.ISO_8859_1);
		int headEnd = -1;
		for (int i = 0; i < body.length && id.length > 0; i++) {
			if (body[i] == STATUS_LINE[0] && isStatusLine(body, i)) {
				headEnd = i + MAX_HEAD_BYTES;
			}
			else if (i < headEnd && body[i] == id[0] && isAt(body, i, id)) {
				return true;
			}
		}
		return false;
	}

	private static boolean isStatusLine(byte[] body, int start) {
		boolean matches = start + STATUS_LINE.length <= body.length;
		for (int i = 0; matches && i < STATUS_LINE.length; i++) {
			boolean digit = body[start + i] >= '0' && body[start + i] <= '9';
			matches = (STATUS_LINE[i] == '0') ? digit : body[start + i] == STATUS_LINE[i];
		}
		return matches;
	}

	private static boolean isAt(byte[] body, int start, byte[] id) {
		int end = start + id.length;
		return end <= body.length && Arrays.equals(body, start, end, id, 0, id.length);
	}

}
