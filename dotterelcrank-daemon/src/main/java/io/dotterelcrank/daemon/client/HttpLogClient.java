package io.dotterelcrank.daemon.client;

import okhttp3.MediaType;
import okhttp3.RequestBody;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.version.LogClient;

/**
 * Client of the log over HTTP. Thread-safe.
 */
public final class HttpLogClient implements LogClient {

	private static final MediaType OCTET_STREAM = MediaType.get("application/octet-stream");

	private final JsonHttpClient client;

	private HttpLogClient(JsonHttpClient client) {
		this.client = client;
	}

	/**
	 * Creates a client.
	 * @param address address of the log
	 * @return a new client
	 */
	public static HttpLogClient at(String address) {
		return new HttpLogClient(JsonHttpClient.of(address));
	}

	@Override
	public long append(String stream, byte[] content) throws PlatformException {
		RequestBody body = RequestBody.create(content, OCTET_STREAM);
		return this.client.send(this.client.requestBuilder(recordsPath(stream)).post(body).build(), Long.class);
	}

	@Override
	public Page read(String stream, long fromOffset, long waitMillis) throws PlatformException {
		String pathAndQuery = recordsPath(stream) + "?from=" + fromOffset + "&wait=" + waitMillis;
		return this.client.send(this.client.requestBuilder(pathAndQuery).build(), Page.class);
	}

	private static String recordsPath(String stream) {
		return "/streams/" + stream + "/records";
	}

}
