package io.dotterelcrank.daemon.client;

import java.util.List;

import com.fasterxml.jackson.databind.type.TypeFactory;
import okhttp3.Request;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.process.platform.HostList;

/**
 * Client of the host list over HTTP. Caches the list, and requests it with the entity tag
 * of the cached one, so that an unchanged list is not sent again. Thread-safe.
 */
public final class HttpHostList implements HostList {

	private final JsonHttpClient client;

	/** {@code null} before the first response. */
	private volatile CachedList cached;

	private HttpHostList(JsonHttpClient client) {
		this.client = client;
	}

	/**
	 * Creates a client.
	 * @param address address of the host list
	 * @return a new client
	 */
	public static HttpHostList at(String address) {
		return new HttpHostList(JsonHttpClient.of(address));
	}

	@Override
	public List<Host> hosts() throws PlatformException {
		CachedList previous = this.cached;
		Request.Builder request = this.client.requestBuilder("/hosts");
		if (previous != null) {
			request.header("If-None-Match", previous.entityTag());
		}
		JsonHttpClient.TaggedResponse<List<Host>> response = this.client.sendWithEntityTag(request.build(),
				TypeFactory.defaultInstance().constructCollectionType(List.class, Host.class));
		if (response.value() == null && previous != null) {
			return previous.hosts();
		}
		this.cached = new CachedList(response.entityTag(), response.value());
		return response.value();
	}

	/**
	 * The list as last received. Immutable.
	 *
	 * @param entityTag entity tag of the list
	 * @param hosts the hosts
	 */
	private record CachedList(String entityTag, List<Host> hosts) {
	}

}
