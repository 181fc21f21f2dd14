package io.dotterelcrank.daemon.client;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.type.TypeFactory;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.SharedJsonMapper;

/**
 * HTTP client of one system whose responses are JSON or text. Each request is sent at
 * most once, on a connection of its own: the library's retries on connection failure and
 * its redirects are off. Thread-safe.
 */
public final class JsonHttpClient {

	private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

	/** Maximum time without a received byte, in milliseconds. */
	private static final long READ_TIMEOUT_MILLIS = 4_000;

	private static final int MAX_CONCURRENT_REQUESTS = 10_000;

	private static final int NOT_MODIFIED = 304;

	private static final MediaType JSON = MediaType.get("application/json");

	private final OkHttpClient httpClient;

	/** Without a slash at the end. */
	private final String address;

	private JsonHttpClient(OkHttpClient httpClient, String address) {
		this.httpClient = httpClient;
		this.address = address.endsWith("/") ? address.substring(0, address.length() - 1) : address;
	}

	/**
	 * Creates a client.
	 * @param address address of the system, such as {@code http://127.0.0.1:7000}
	 * @return a new client
	 */
	public static JsonHttpClient of(String address) {
		return new JsonHttpClient(newClientBuilder().build(), address);
	}

	/**
	 * Creates a builder for clients that send each request at most once, on a connection
	 * of its own, and accept no response whose head is malformed. Responses do not name
	 * their request: surplus bytes on a kept connection would be read as the next one.
	 * @return a new builder with timeouts and limits set, also for what a response holds
	 */
	static OkHttpClient.Builder newClientBuilder() {
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequests(MAX_CONCURRENT_REQUESTS);
		dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_REQUESTS);
		return new OkHttpClient.Builder().socketFactory(new LimitedSocketFactory())
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.followSslRedirects(false)
			.dispatcher(dispatcher)
			.connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
			.addNetworkInterceptor(new ResponseHeadCheck())
			.connectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.readTimeout(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Creates a builder for a GET request.
	 * @param path path and query, starting with a slash
	 * @return a request builder
	 */
	Request.Builder requestBuilder(String path) {
		return new Request.Builder().url(this.address + path);
	}

	/**
	 * Creates a JSON request body.
	 * @param value a value that Jackson can serialize
	 * @return the body
	 */
	static RequestBody jsonBody(Object value) {
		try {
			return RequestBody.create(SharedJsonMapper.mapper().writeValueAsBytes(value), JSON);
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot serialize a request body as JSON", ex);
		}
	}

	/**
	 * Sends a request and parses the JSON response.
	 * @param <T> type of the content
	 * @param request the request
	 * @param type type of the content
	 * @return the content
	 * @throws PlatformException if the exchange fails or the status is not a success
	 */
	<T> T send(Request request, Class<T> type) throws PlatformException {
		return send(request, TypeFactory.defaultInstance().constructType(type));
	}

	/**
	 * Sends a request and parses the JSON response.
	 * @param <T> type of the content
	 * @param request the request
	 * @param type type of the content
	 * @return the content
	 * @throws PlatformException if the exchange fails or the status is not a success
	 */
	<T> T send(Request request, JavaType type) throws PlatformException {
		return this.<T>sendWithEntityTag(request, type).value();
	}

	/**
	 * Sends a request and parses the JSON response and its entity tag.
	 * @param <T> type of the content
	 * @param request the request; may carry an {@code If-None-Match} header
	 * @param type type of the content
	 * @return the content and its tag; the content is {@code null} if it has not changed
	 * @throws PlatformException if the exchange fails or the status is not a success
	 */
	<T> TaggedResponse<T> sendWithEntityTag(Request request, JavaType type) throws PlatformException {
		try (Response response = this.httpClient.newCall(request).execute()) {
			byte[] content = response.body().bytes();
			if (response.code() == NOT_MODIFIED) {
				return new TaggedResponse<>("", null);
			}
			if (!response.isSuccessful()) {
				throw new PlatformException(request.url().encodedPath() + " responded with status " + response.code()
						+ " " + new String(content, StandardCharsets.UTF_8));
			}
			return new TaggedResponse<>(response.header("ETag", ""),
					SharedJsonMapper.mapper().readValue(content, type));
		}
		catch (IOException ex) {
			throw new PlatformException(request.url().encodedPath() + " failed: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Sends a GET request and returns the body as text.
	 * @param path path and query, starting with a slash
	 * @param token bearer token; empty to send none
	 * @return the body
	 * @throws PlatformException if the exchange fails or the status is not a success
	 */
	public String getText(String path, String token) throws PlatformException {
		Request.Builder request = requestBuilder(path);
		if (!token.isEmpty()) {
			request.header("Authorization", "Bearer " + token);
		}
		try (Response response = this.httpClient.newCall(request.build()).execute()) {
			String content = response.body().string();
			if (!response.isSuccessful()) {
				throw new PlatformException(path + " responded with status " + response.code() + " " + content);
			}
			return content;
		}
		catch (IOException ex) {
			throw new PlatformException(path + " failed: " + ex.getMessage(), ex);
		}
	}

	/**
	 * A response with its entity tag. Immutable.
	 *
	 * @param <T> type of the content
	 * @param entityTag entity tag; empty if none was sent or the content has not changed
	 * @param value the content, or {@code null} if it has not changed
	 */
	record TaggedResponse<T>(String entityTag, T value) {
	}

}
