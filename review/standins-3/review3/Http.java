package review3;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from blocking streams. */
final class Http {

	private Http() {
	}

	/** One message: start line, headers in lower case, whole body. */
	record Message(String startLine, Map<String, List<String>> headers, byte[] body) {

		String header(String name, String other) {
			List<String> values = this.headers.get(name.toLowerCase(Locale.ROOT));
			return (values == null) ? other : values.get(0);
		}

		String method() {
			return this.startLine.split(" ")[0];
		}

		String path() {
			return this.startLine.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.startLine.split(" ")[1]);
		}

	}

	/** Returns the next message, or null if the connection has ended before it. */
	static Message read(InputStream in) throws IOException {
		String start = line(in, true);
		if (start == null) {
			return null;
		}
		Map<String, List<String>> headers = new LinkedHashMap<>();
		for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
			int colon = line.indexOf(':');
			headers.computeIfAbsent(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), (n) -> new ArrayList<>())
				.add(line.substring(colon + 1).trim());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if (headers.containsKey("transfer-encoding")) {
			int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
			while (size > 0) {
				body.writeBytes(exactly(in, size));
				line(in, false);
				size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
			}
			while (!line(in, false).isEmpty()) {
				// Trailers are of no use here.
			}
		}
		else if (headers.containsKey("content-length")) {
			body.writeBytes(exactly(in, Integer.parseInt(headers.get("content-length").get(0))));
		}
		return new Message(start, headers, body.toByteArray());
	}

	private static byte[] exactly(InputStream in, int size) throws IOException {
		byte[] bytes = in.readNBytes(size);
		if (bytes.length < size) {
			throw new EOFException("message cut off after " + bytes.length + " of " + size + " bytes");
		}
		return bytes;
	}

	private static String line(InputStream in, boolean mayEnd) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0 && mayEnd) {
			return null;
		}
		while (next != '\n') {
			if (next < 0) {
				throw new EOFException("message cut off in its head");
			}
			line.write(next);
			next = in.read();
		}
		String text = line.toString(StandardCharsets.ISO_8859_1);
		return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
	}

	static byte[] message(String startLine, Map<String, String> headers, byte[] body) {
		StringBuilder head = new StringBuilder(startLine).append("\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		bytes.writeBytes(body);
		return bytes.toByteArray();
	}

}
