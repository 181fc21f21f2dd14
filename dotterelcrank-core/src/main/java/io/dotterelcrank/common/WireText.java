package io.dotterelcrank.common;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Texts as HTTP codecs hold them: one character for each byte of their form in UTF-8.
 * Invariant: different texts have different forms. Stateless.
 */
public final class WireText {

	private static final int MAX_ASCII = 0x7f;

	private static final int DELETE = 0x7f;

	private static final int ESCAPE_LENGTH = 3;

	private static final int HEX_RADIX = 16;

	private WireText() {
	}

	/**
	 * Returns the form of a text.
	 * @param text the text
	 * @return characters up to U+00FF; empty if the text has no form, as it has half of a
	 * surrogate pair
	 */
	public static Optional<String> of(String text) {
		if (text.chars().allMatch((letter) -> letter <= MAX_ASCII)) {
			return Optional.of(text);
		}
		if (!StandardCharsets.UTF_8.newEncoder().canEncode(text)) {
			return Optional.empty();
		}
		return Optional.of(new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1));
	}

	/**
	 * Returns the form of a text that a header carries unchanged.
	 * @param text the text
	 * @return the form; empty if the text has control characters, of which readers drop
	 * some, begins or ends with a space, which belongs to no value, or has no form
	 */
	public static Optional<String> ofHeader(String text) {
		boolean bounded = !text.startsWith(" ") && !text.endsWith(" ");
		boolean printable = text.chars().noneMatch((letter) -> letter < ' ' || letter == DELETE);
		return (bounded && printable) ? of(text) : Optional.empty();
	}

	/**
	 * Returns a path with the bytes above ASCII that it has as escapes, for comparisons.
	 * @param path the path, with an escape or a character for each such byte
	 * @return the path without these escapes; all others are kept
	 */
	public static String ofPath(String path) {
		int escape = path.indexOf('%');
		if (escape < 0) {
			return path;
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		for (int i = 0; i < path.length(); i++) {
			int value = escapedByte(path, i);
			bytes.write((value > MAX_ASCII) ? value : path.charAt(i));
			i += (value > MAX_ASCII) ? ESCAPE_LENGTH - 1 : 0;
		}
		return bytes.toString(StandardCharsets.ISO_8859_1);
	}

	private static int escapedByte(String path, int at) {
		if (path.charAt(at) != '%' || at + ESCAPE_LENGTH > path.length()) {
			return -1;
		}
		int high = Character.digit(path.charAt(at + 1), HEX_RADIX);
		int low = Character.digit(path.charAt(at + 2), HEX_RADIX);
		return (high < 0 || low < 0) ? -1 : high * HEX_RADIX + low;
	}

}
