package io.dotterelcrank.daemon.client;

import okhttp3.HttpUrl;
import okhttp3.Request;

import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.process.platform.WeightStore;

/**
 * The weight store over HTTP. Thread-safe.
 */
public final class HttpWeightStore implements WeightStore {

	/** Calls the store. */
	private final HttpCaller caller;

	private HttpWeightStore(HttpCaller caller) {
		this.caller = caller;
	}

	/**
	 * Creates a client.
	 * @param address address of the weight store
	 * @return a new client
	 */
	public static HttpWeightStore at(String address) {
		return new HttpWeightStore(HttpCaller.of(address));
	}

	@Override
	public long requestPermit(String model) throws PlatformException {
		Request.Builder request = this.caller.request("/permits");
		HttpUrl url = request.build().url().newBuilder().addPathSegment(model).build();
		return this.caller.send(request.url(url).post(HttpCaller.body("")).build(), Long.class);
	}

}
