package io.dotterelcrank.daemon.client;

import java.util.List;

import com.fasterxml.jackson.databind.type.TypeFactory;

import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.process.platform.PlatformException;

/**
 * The host list over HTTP. Thread-safe.
 */
public final class HttpHostList implements HostList {

	/** Calls the list. */
	private final HttpCaller caller;

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
		return this.caller.send(this.caller.request("/hosts").build(),
				TypeFactory.defaultInstance().constructCollectionType(List.class, Host.class));
	}

}
