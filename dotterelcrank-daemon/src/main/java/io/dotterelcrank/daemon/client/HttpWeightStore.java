package io.dotterelcrank.daemon.client;

import okhttp3.HttpUrl;
import okhttp3.Request;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.process.platform.WeightStore;

/**
 * Client of the weight store over HTTP. Thread-safe.
 */
public final class HttpWeightStore implements WeightStore {

	private final JsonHttpClient client;

	private HttpWeightStore(JsonHttpClient client) {
		this.client = client;
	}

	/**
	 * Creates a client.
	 * @param address address of the weight store
	 * @return a new client
	 */
	public static HttpWeightStore at(String address) {
		return new HttpWeightStore(JsonHttpClient.of(address));
	}

	@Override
	public long requestPermit(String model) throws PlatformException {
		Request.Builder request = this.client.requestBuilder("/permits");
		// The name of a model may contain slashes, which are escaped here.
		HttpUrl url = request.build().url().newBuilder().addPathSegment(model).build();
		return this.client.send(request.url(url).post(JsonHttpClient.jsonBody("")).build(), Long.class);
	}

}
