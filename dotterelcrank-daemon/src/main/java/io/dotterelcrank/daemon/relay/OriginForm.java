package io.dotterelcrank.daemon.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * Converts requests whose target is a whole URI, as callers send them to proxies, to the
 * form for servers: path and query, and the authority as Host header (RFC 9112, 3.2.2).
 * Stateless.
 */
final class OriginForm {

	private static final String SCHEME = "http://";

	private OriginForm() {
	}

	/**
	 * Converts a request, unless its target is none of the scheme of callers'
	 * connections.
	 * @param request the request; changed
	 * @throws RequestException if the URI has no host or names a user, or the request has
	 * several Host headers
	 */
	static void apply(HttpRequest request) throws RequestException {
		String uri = request.uri();
		if (!uri.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
			return;
		}
		int end = SCHEME.length();
		while (end < uri.length() && "/?#".indexOf(uri.charAt(end)) < 0) {
			end++;
		}
		String authority = uri.substring(SCHEME.length(), end);
		if (authority.isEmpty() || authority.startsWith(":") || authority.contains("@")) {
			throw Failure.notRun(ResultCode.INVALID_REQUEST, "the URI does not name a host").toException();
		}
		if (request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
			throw Failure.notRun(ResultCode.INVALID_REQUEST, "more than one Host header").toException();
		}
		String pathAndQuery = uri.substring(end);
		request.setUri(pathAndQuery.startsWith("/") ? pathAndQuery : '/' + pathAndQuery);
		request.headers().set(HttpHeaderNames.HOST, authority);
	}

}
