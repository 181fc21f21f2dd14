package io.dotterelcrank.daemon.client;

import okhttp3.HttpUrl;
import okhttp3.Request;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.process.replica.KeyedTableStore;

/**
 * Client of keyed tables over HTTP, for commands. Calls block. Thread-safe.
 */
public final class HttpTables {

	private final JsonHttpClient client;

	private HttpTables(JsonHttpClient client) {
		this.client = client;
	}

	/**
	 * Creates a client.
	 * @param address address of the tables
	 * @return a new client
	 */
	public static HttpTables at(String address) {
		return new HttpTables(JsonHttpClient.of(address));
	}

	/**
	 * Lists the newest record of each key.
	 * @param table name of the table
	 * @return the records, without tombstones
	 * @throws PlatformException if the call fails
	 */
	public KeyedTableStore.Batch list(String table) throws PlatformException {
		return this.client.send(this.client.requestBuilder("/tables/" + table).build(), KeyedTableStore.Batch.class);
	}

	/**
	 * Appends a record if the table ends at an offset.
	 * @param table name of the table
	 * @param endOffset offset after the last record that the table must have
	 * @param key the key
	 * @param value content; empty to delete the key
	 * @return {@code false} if another record was appended before
	 * @throws PlatformException if the call fails; the record may have been appended
	 */
	public boolean tryAppend(String table, long endOffset, String key, byte[] value) throws PlatformException {
		Request.Builder request = this.client.requestBuilder("/tables/" + table);
		HttpUrl url = request.build()
			.url()
			.newBuilder()
			.addQueryParameter("key", key)
			.addQueryParameter("at", Long.toString(endOffset))
			.build();
		return this.client.send(request.url(url).post(JsonHttpClient.jsonBody(value)).build(), Boolean.class);
	}

}
