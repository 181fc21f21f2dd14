package io.dotterelcrank.daemon.client;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.EventListener;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import io.dotterelcrank.process.platform.ServiceClient;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.ServiceResponse;

/**
 * Client of a plain service over HTTP. Each call is sent at most once: the library's
 * retries on connection failure, redirects and responses that request a retry are off.
 * Each call has a connection of its own. Thread-safe.
 */
public final class HttpServiceClient implements ServiceClient {

	/** The library retries at once if a 503 response carries this header with value 0. */
	private static final String RETRY_AFTER = "Retry-After";

	/** Name that hides that header from the library's retry logic. */
	private static final String HIDDEN_RETRY_AFTER = "Hidden-Retry-After";

	/** Only builds requests; {@link #httpClient} sends them. */
	private final JsonHttpClient requestClient;

	private final OkHttpClient httpClient;

	private HttpServiceClient(String address) {
		this.requestClient = JsonHttpClient.of(address);
		this.httpClient = JsonHttpClient.newClientBuilder()
			.readTimeout(0, TimeUnit.MILLISECONDS)
			.addNetworkInterceptor(HttpServiceClient::hideRetryAfter)
			.eventListenerFactory((call) -> call.request().tag(SendTracker.class))
			.build();
	}

	/**
	 * Creates a client.
	 * @param address address of the service
	 * @return a new client
	 */
	public static HttpServiceClient at(String address) {
		return new HttpServiceClient(address);
	}

	private static Response hideRetryAfter(Interceptor.Chain chain) throws IOException {
		Response response = chain.proceed(chain.request());
		String value = response.header(RETRY_AFTER);
		if (value == null) {
			return response;
		}
		return response.newBuilder().removeHeader(RETRY_AFTER).header(HIDDEN_RETRY_AFTER, value).build();
	}

	@Override
	public void invoke(io.dotterelcrank.request.ServiceCall call, Listener listener) {
		SendTracker tracker = new SendTracker();
		Request request;
		try {
			request = toRequest(call, tracker);
		}
		catch (IllegalArgumentException ex) {
			listener.failed(false, ex.getMessage());
			return;
		}
		Call httpCall = this.httpClient.newCall(request);
		httpCall.timeout().timeout(Math.max(1, call.deadlineMillis()), TimeUnit.MILLISECONDS);
		httpCall.enqueue(new Callback() {

			@Override
			public void onFailure(Call failed, IOException failure) {
				listener.failed(tracker.sendStarted, failure.toString());
			}

			@Override
			public void onResponse(Call done, Response response) {
				try (response) {
					listener.responseReceived(toServiceResponse(response));
				}
				catch (IOException ex) {
					listener.failed(true, ex.toString());
				}
			}

		});
	}

	private Request toRequest(io.dotterelcrank.request.ServiceCall call, SendTracker tracker) {
		boolean bodyAllowed = !call.method().equals("GET") && !call.method().equals("HEAD");
		RequestBody body = bodyAllowed ? RequestBody.create(call.body()) : null;
		Request.Builder builder = this.requestClient.requestBuilder(call.path()).method(call.method(), body);
		call.headers().forEach((header) -> builder.addHeader(header.name(), header.value()));
		return builder.tag(SendTracker.class, tracker).build();
	}

	private static ServiceResponse toServiceResponse(Response response) throws IOException {
		List<Header> headers = new ArrayList<>();
		response.headers().forEach((header) -> {
			boolean hidden = header.getFirst().equalsIgnoreCase(HIDDEN_RETRY_AFTER);
			headers.add(new Header(hidden ? RETRY_AFTER : header.getFirst(), header.getSecond()));
		});
		return new ServiceResponse(response.code(), headers, response.body().bytes());
	}

	/**
	 * Tracks whether any byte of a call may have been sent. Thread-safe.
	 */
	private static final class SendTracker extends EventListener {

		private volatile boolean sendStarted;

		@Override
		public void requestHeadersStart(Call call) {
			this.sendStarted = true;
		}

	}

}
