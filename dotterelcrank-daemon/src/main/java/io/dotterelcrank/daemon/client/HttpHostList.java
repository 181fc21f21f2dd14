package io.dotterelcrank.daemon.client;

import java.util.List;

import com.fasterxml.jackson.databind.type.TypeFactory;
import okhttp3.Request;

import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.process.platform.PlatformException;

/**
 * The host list over HTTP. The list is sent only when it has changed since the last
 * reading, as its entity tag tells. Thread-safe.
 */
public final class HttpHostList implements HostList {

	/** Calls the list. */
	private final HttpCaller caller;

	/** The last reading, or {@code null}. */
	private volatile Reading last;

	private HttpHostList(HttpCaller caller) {
		this.caller = caller;
	}

	/**
	 * Creates a client.
	 * @param address address of the host list
	 * @return a new client
	 */
	public static HttpHostList at(String address) {
		return new HttpHostList(HttpCaller.of(address));
	}

	@Override
	public List<Host> hosts() throws PlatformException {
		Reading before = this.last;
		Request.Builder request = this.caller.request("/hosts");
		if (before != null) {
			request.header("If-None-Match", before.tag());
		}
		HttpCaller.Tagged<List<Host>> answer = this.caller.sendTagged(request.build(),
				TypeFactory.defaultInstance().constructCollectionType(List.class, Host.class));
		if (answer.value() == null && before != null) {
			return before.hosts();
		}
		this.last = new Reading(answer.tag(), answer.value());
		return answer.value();
	}

	/**
	 * A reading. Immutable.
	 *
	 * @param tag entity tag of the list
	 * @param hosts the hosts
	 */
	private record Reading(String tag, List<Host> hosts) {
	}

}
