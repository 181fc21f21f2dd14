package io.dotterelcrank.daemon.client;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.List;
import java.util.regex.Pattern;

import kotlin.Pair;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Fails responses whose head leaves in doubt to which response it belongs or where the
 * body ends. Addresses servers that begin one response and then write another: the
 * library accepts lines that are no headers, and of several lengths it takes the last.
 * Invariant: a response that is passed on has one status line, a status from 200 to 599,
 * and a body in chunks, of one length, or until the connection ends. Stateless.
 */
final class ResponseHeadCheck implements Interceptor {

	private static final int MIN_STATUS = 200;

	private static final int MAX_STATUS = 599;

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] [0-9]{3}");

	private static final Pattern HEADER_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

	private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

	@Override
	public Response intercept(Chain chain) throws IOException {
		Response response = proceed(chain);
		if (!sound(response)) {
			// The library ends the exchange; to close the body would read it first.
			throw new ProtocolException("malformed head of a response with status " + response.code());
		}
		return response;
	}

	private static Response proceed(Chain chain) throws IOException {
		try {
			return chain.proceed(chain.request());
		}
		catch (IllegalStateException ex) {
			// The library skips one informational response and takes the next for the
			// response.
			throw new ProtocolException("informational responses in place of a response");
		}
	}

	private static boolean sound(Response response) {
		boolean sound = response.code() >= MIN_STATUS && response.code() <= MAX_STATUS
				&& !STATUS_LINE.matcher(response.message()).find();
		for (Pair<? extends String, ? extends String> header : response.headers()) {
			sound &= HEADER_NAME.matcher(header.getFirst()).matches()
					&& !STATUS_LINE.matcher(header.getSecond()).find();
		}
		List<String> encodings = response.headers("Transfer-Encoding");
		boolean chunked = encodings.size() == 1 && encodings.get(0).equalsIgnoreCase("chunked");
		List<String> lengths = response.headers("Content-Length");
		boolean oneLength = lengths.stream().allMatch((length) -> LENGTH.matcher(length).matches())
				&& lengths.stream().distinct().count() <= 1;
		return sound && (encodings.isEmpty() || chunked) && oneLength;
	}

}
