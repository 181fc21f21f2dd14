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
 * A plain service over HTTP. Each call is sent at most once: the library's repetition on
 * connection failure, on redirects and on answers that ask for it are off. Thread-safe.
 */
public final class HttpServiceClient implements ServiceClient {

	/**
	 * Header that makes the library repeat a request at once when an answer 503 carries
	 * 0.
	 */
	private static final String RETRY_AFTER = "Retry-After";

	/** Name under which that header passes the library. */
	private static final String HIDDEN_RETRY_AFTER = "Hidden-Retry-After";

	/** Calls the service. */
	private final HttpCaller caller;

	/** The HTTP library. */
	private final OkHttpClient client;

	private HttpServiceClient(String address) {
		this.caller = HttpCaller.of(address);
		this.client = HttpCaller.newClient()
			.readTimeout(0, TimeUnit.MILLISECONDS)
			.addNetworkInterceptor(HttpServiceClient::hideRetryAfter)
			.eventListenerFactory((call) -> call.request().tag(SendRecord.class))
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
		SendRecord sent = new SendRecord();
		Request request;
		try {
			request = request(call, sent);
		}
		catch (IllegalArgumentException ex) {
			listener.failed(false, ex.getMessage());
			return;
		}
		Call library = this.client.newCall(request);
		library.timeout().timeout(Math.max(1, call.deadlineMillis()), TimeUnit.MILLISECONDS);
		library.enqueue(new Callback() {

			@Override
			public void onFailure(Call failed, IOException failure) {
				listener.failed(sent.begun, failure.toString());
			}

			@Override
			public void onResponse(Call done, Response response) {
				try (response) {
					listener.responseReceived(reply(response));
				}
				catch (IOException ex) {
					listener.failed(true, ex.toString());
				}
			}

		});
	}

	private Request request(io.dotterelcrank.request.ServiceCall call, SendRecord sent) {
		boolean bodyAllowed = !call.method().equals("GET") && !call.method().equals("HEAD");
		RequestBody body = bodyAllowed ? RequestBody.create(call.body()) : null;
		Request.Builder builder = this.caller.request(call.path()).method(call.method(), body);
		call.headers().forEach((header) -> builder.addHeader(header.name(), header.value()));
		return builder.tag(SendRecord.class, sent).build();
	}

	private static ServiceResponse reply(Response response) throws IOException {
		List<Header> headers = new ArrayList<>();
		response.headers().forEach((header) -> {
			boolean hidden = header.getFirst().equalsIgnoreCase(HIDDEN_RETRY_AFTER);
			headers.add(new Header(hidden ? RETRY_AFTER : header.getFirst(), header.getSecond()));
		});
		return new ServiceResponse(response.code(), headers, response.body().bytes());
	}

	/**
	 * Records whether any byte of a call may have been sent. Thread-safe.
	 */
	private static final class SendRecord extends EventListener {

		/** Whether sending has begun. */
		private volatile boolean begun;

		@Override
		public void requestHeadersStart(Call call) {
			this.begun = true;
		}

	}

}
