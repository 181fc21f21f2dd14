package io.dotterelcrank.daemon.client;

import okhttp3.MediaType;
import okhttp3.RequestBody;

import io.dotterelcrank.process.platform.LogClient;
import io.dotterelcrank.process.platform.PlatformException;

/**
 * The log over HTTP. Thread-safe.
 */
public final class HttpLogClient implements LogClient {

	/** Type of records. */
	private static final MediaType BYTES = MediaType.get("application/octet-stream");

	/** Calls the log. */
	private final HttpCaller caller;

	private HttpLogClient(HttpCaller caller) {
		this.caller = caller;
	}

	/**
	 * Creates a client.
	 * @param address address of the log
	 * @return a new client
	 */
	public static HttpLogClient at(String address) {
		return new HttpLogClient(HttpCaller.of(address));
	}

	@Override
	public long append(String stream, byte[] content) throws PlatformException {
		RequestBody body = RequestBody.create(content, BYTES);
		return this.caller.send(this.caller.request(path(stream)).post(body).build(), Long.class);
	}

	@Override
	public Page read(String stream, long fromOffset, long waitMillis) throws PlatformException {
		String query = path(stream) + "?from=" + fromOffset + "&wait=" + waitMillis;
		return this.caller.send(this.caller.request(query).build(), Page.class);
	}

	private static String path(String stream) {
		return "/streams/" + stream + "/records";
	}

}
