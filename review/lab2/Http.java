import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A message of HTTP/1.1 as read from a socket: first line, headers, and what frames its body. */
final class Http {

	String first = "";

	final List<String[]> headers = new ArrayList<>();

	byte[] body = new byte[0];

	/** Whether the body was complete. */
	boolean whole;

	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int b = in.read();
		if (b < 0) {
			return null;
		}
		while (b != '\n') {
			if (b < 0) {
				throw new EOFException("inside a line");
			}
			line.write(b);
			b = in.read();
		}
		String text = line.toString(StandardCharsets.ISO_8859_1);
		return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
	}

	/** Reads first line and headers; null at the end of the connection. */
	static Http head(InputStream in) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		Http message = new Http();
		message.first = first;
		for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			message.headers.add(new String[] { line.substring(0, colon).trim(), line.substring(colon + 1).trim() });
		}
		return message;
	}

	String header(String name) {
		for (String[] header : this.headers) {
			if (header[0].equalsIgnoreCase(name)) {
				return header[1];
			}
		}
		return "";
	}

	boolean chunked() {
		return header("Transfer-Encoding").equalsIgnoreCase("chunked");
	}

	/** Reads a body with a length or in chunks. */
	void readBody(InputStream in) throws IOException {
		if (chunked()) {
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			for (byte[] chunk = chunk(in); chunk.length > 0; chunk = chunk(in)) {
				all.write(chunk);
			}
			this.body = all.toByteArray();
		}
		else {
			int length = header("Content-Length").isEmpty() ? 0 : Integer.parseInt(header("Content-Length"));
			this.body = in.readNBytes(length);
			if (this.body.length < length) {
				throw new EOFException("body of " + length + " bytes ends after " + this.body.length);
			}
		}
		this.whole = true;
	}

	/** Reads a chunk; the last one is empty. */
	static byte[] chunk(InputStream in) throws IOException {
		String size = line(in);
		if (size == null) {
			throw new EOFException("no further chunk");
		}
		int length = Integer.parseInt(size.split(";")[0].trim(), 16);
		byte[] chunk = in.readNBytes(length);
		if (chunk.length < length) {
			throw new EOFException("inside a chunk");
		}
		if (length == 0) {
			for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
				// A trailer.
			}
		}
		else {
			line(in);
		}
		return chunk;
	}

	int status() {
		return Integer.parseInt(this.first.split(" ")[1]);
	}

	String method() {
		return this.first.split(" ")[0];
	}

	String uri() {
		return this.first.split(" ")[1];
	}

	String path() {
		return uri().split("\\?")[0];
	}

	String query(String name, String otherwise) {
		int start = uri().indexOf('?');
		if (start >= 0) {
			for (String pair : uri().substring(start + 1).split("&")) {
				int equals = pair.indexOf('=');
				if (equals > 0 && pair.substring(0, equals).equals(name)) {
					return java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
				}
			}
		}
		return otherwise;
	}

	static void write(OutputStream out, String head, byte[] body) throws IOException {
		byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
		byte[] all = new byte[headBytes.length + body.length];
		System.arraycopy(headBytes, 0, all, 0, headBytes.length);
		System.arraycopy(body, 0, all, headBytes.length, body.length);
		out.write(all);
		out.flush();
	}

}
