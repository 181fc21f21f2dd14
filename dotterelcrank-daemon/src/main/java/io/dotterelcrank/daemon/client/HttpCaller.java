package io.dotterelcrank.daemon.client;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.type.TypeFactory;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.process.platform.SharedJsonMapper;

/**
 * Calls one HTTP system. Nothing is sent again by the library: repetition on connection
 * failure and redirects are off. Thread-safe.
 */
public final class HttpCaller {

	/** Longest time for a connection attempt, in milliseconds. */
	private static final long CONNECT_MILLIS = 1_000;

	/** Longest time without a byte in a plain exchange, in milliseconds. */
	private static final long READ_MILLIS = 4_000;

	/** Most exchanges at once. */
	private static final int MOST_CALLS = 10_000;

	/** Status of an answer that has not changed. */
	private static final int NOT_MODIFIED = 304;

	/** Type of bodies. */
	private static final MediaType JSON = MediaType.get("application/json");

	/** The HTTP library. */
	private final OkHttpClient client;

	/** Address of the system, without a slash at the end. */
	private final String address;

	private HttpCaller(OkHttpClient client, String address) {
		this.client = client;
		this.address = address.endsWith("/") ? address.substring(0, address.length() - 1) : address;
	}

	/**
	 * Creates a caller.
	 * @param address address of the system, such as {@code http://127.0.0.1:7000}
	 * @return a new caller
	 */
	public static HttpCaller of(String address) {
		return new HttpCaller(newClient().build(), address);
	}

	/**
	 * Returns a client builder that never sends a request twice of its own accord.
	 * @return a new builder
	 */
	static OkHttpClient.Builder newClient() {
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequests(MOST_CALLS);
		dispatcher.setMaxRequestsPerHost(MOST_CALLS);
		return new OkHttpClient.Builder().retryOnConnectionFailure(false)
			.followRedirects(false)
			.followSslRedirects(false)
			.dispatcher(dispatcher)
			.connectTimeout(CONNECT_MILLIS, TimeUnit.MILLISECONDS)
			.readTimeout(READ_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the HTTP library.
	 * @return the client
	 */
	OkHttpClient client() {
		return this.client;
	}

	/**
	 * Begins a request.
	 * @param path path and query, starting with a slash
	 * @return a request builder
	 */
	Request.Builder request(String path) {
		return new Request.Builder().url(this.address + path);
	}

	/**
	 * Turns a value into a JSON body.
	 * @param value the value
	 * @return the body
	 */
	static RequestBody body(Object value) {
		try {
			return RequestBody.create(SharedJsonMapper.mapper().writeValueAsBytes(value), JSON);
		}
		catch (IOException ex) {
			throw new IllegalStateException("request bodies can always be written", ex);
		}
	}

	/**
	 * Sends a request and reads a JSON answer.
	 * @param <T> type of the answer
	 * @param request the request
	 * @param type type of the answer
	 * @return the answer
	 * @throws PlatformException if the system cannot be reached or refuses
	 */
	<T> T send(Request request, Class<T> type) throws PlatformException {
		return send(request, TypeFactory.defaultInstance().constructType(type));
	}

	/**
	 * Sends a request and reads a JSON answer.
	 * @param <T> type of the answer
	 * @param request the request
	 * @param type type of the answer
	 * @return the answer
	 * @throws PlatformException if the system cannot be reached or refuses
	 */
	<T> T send(Request request, JavaType type) throws PlatformException {
		return this.<T>sendTagged(request, type).value();
	}

	/**
	 * Sends a request and reads a JSON answer with its entity tag.
	 * @param <T> type of the answer
	 * @param request the request
	 * @param type type of the answer
	 * @return the answer, whose value is {@code null} if it has not changed
	 * @throws PlatformException if the system cannot be reached or refuses
	 */
	<T> Tagged<T> sendTagged(Request request, JavaType type) throws PlatformException {
		try (Response response = this.client.newCall(request).execute()) {
			byte[] answer = response.body().bytes();
			if (response.code() == NOT_MODIFIED) {
				return new Tagged<>("", null);
			}
			if (!response.isSuccessful()) {
				throw new PlatformException(request.url().encodedPath() + " answered " + response.code() + " "
						+ new String(answer, StandardCharsets.UTF_8));
			}
			return new Tagged<>(response.header("ETag", ""), SharedJsonMapper.mapper().readValue(answer, type));
		}
		catch (IOException ex) {
			throw new PlatformException(request.url().encodedPath() + " failed: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Reads a text.
	 * @param path path and query, starting with a slash
	 * @param token bearer token, or an empty string
	 * @return the text
	 * @throws PlatformException if the system cannot be reached or refuses
	 */
	public String text(String path, String token) throws PlatformException {
		Request.Builder request = request(path);
		if (!token.isEmpty()) {
			request.header("Authorization", "Bearer " + token);
		}
		try (Response response = this.client.newCall(request.build()).execute()) {
			String answer = response.body().string();
			if (!response.isSuccessful()) {
				throw new PlatformException(path + " answered " + response.code() + " " + answer);
			}
			return answer;
		}
		catch (IOException ex) {
			throw new PlatformException(path + " failed: " + ex.getMessage(), ex);
		}
	}

	/**
	 * An answer with its entity tag. Immutable.
	 *
	 * @param <T> type of the answer
	 * @param tag entity tag, or an empty string
	 * @param value the answer, or {@code null} if it has not changed
	 */
	record Tagged<T>(String tag, T value) {
	}

}
