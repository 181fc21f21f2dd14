package io.dotterelcrank.standin.http;

/**
 * A part of a response that a server writes without end: what precedes it, and what is
 * repeated until the connection is closed.
 */
public enum EndlessPart {

	/** Bytes that are no response. */
	NOISE("", "\u0001\u00ff.."),

	/** The status line. */
	STATUS_LINE("HTTP/1.1 200 ", "OK "),

	/** One header. */
	HEADER("HTTP/1.1 200 OK\r\nX: ", "xxxx"),

	/** Many headers. */
	HEADERS("HTTP/1.1 200 OK\r\n", "X: y\r\n"),

	/** Informational responses. */
	INTERIM_RESPONSES("", "HTTP/1.1 102 Processing\r\n\r\n"),

	/** The size of a chunk. */
	CHUNK_SIZE(Constants.HEAD + "Transfer-Encoding: chunked\r\n\r\n1;", "xxxx"),

	/** Chunks of a body. */
	CHUNKS(Constants.HEAD + "Transfer-Encoding: chunked\r\n\r\n", "8\r\n12345678\r\n"),

	/** Trailers of a body. */
	TRAILERS(Constants.HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"),

	/** A body that ends with the connection. */
	BODY(Constants.HEAD + "\r\n", "body"),

	/** A body that is as long as it says. */
	LONG_BODY(Constants.HEAD + "Content-Length: 900000000000\r\n\r\n", "body");

	private final String beginning;

	private final String unit;

	EndlessPart(String beginning, String unit) {
		this.beginning = beginning;
		this.unit = unit;
	}

	/**
	 * Returns what is written first.
	 * @return bytes, one a character
	 */
	public String beginning() {
		return this.beginning;
	}

	/**
	 * Returns what is repeated without end.
	 * @return bytes, one a character
	 */
	public String unit() {
		return this.unit;
	}

	/** Head of a response that its caller would accept, as far as it goes. */
	private static final class Constants {

		private static final String HEAD = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n"
				+ "Attempt-Id: a\r\nResponse-Seal: s\r\n";

	}

}
