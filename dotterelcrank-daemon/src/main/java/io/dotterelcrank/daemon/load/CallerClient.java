package io.dotterelcrank.daemon.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.SharedJsonMapper;

/**
 * HTTP client of the entry daemons that records what it receives. Thread-safe.
 */
public final class CallerClient {

	private static final MediaType JSON = MediaType.get("application/json");

	/** Maximum number of concurrent requests. */
	private static final int MAX_REQUESTS = 10_000;

	/** Maximum time without data on a response, in seconds. */
	private static final long READ_TIMEOUT_SECONDS = 120;

	/** Prefix of lines with an event's id. */
	private static final String ID_PREFIX = "id:";

	/** Prefix of lines with an event's data. */
	private static final String DATA_PREFIX = "data:";

	private final OkHttpClient client;

	private CallerClient(OkHttpClient client) {
		this.client = client;
	}

	/**
	 * Creates a client.
	 * @return a new client
	 */
	public static CallerClient create() {
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequests(MAX_REQUESTS);
		dispatcher.setMaxRequestsPerHost(MAX_REQUESTS);
		return new CallerClient(new OkHttpClient.Builder().retryOnConnectionFailure(false)
			.dispatcher(dispatcher)
			.readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)
			.build());
	}

	/**
	 * Requests a streamed completion.
	 * @param address address of an entry daemon, as a URL
	 * @param spec the request
	 * @return the response, filled as it arrives
	 */
	public ReceivedResponse stream(String address, CompletionSpec spec) {
		return send(address, spec, true, "");
	}

	/**
	 * Resumes a streamed completion.
	 * @param address address of the original entry daemon or of another one, as a URL
	 * @param spec the request
	 * @param lastEventId id of the last event received
	 * @return the rest of the response, filled as it arrives
	 */
	public ReceivedResponse resume(String address, CompletionSpec spec, String lastEventId) {
		return send(address, spec, true, lastEventId);
	}

	/**
	 * Requests a completion that is not streamed.
	 * @param address address of an entry daemon, as a URL
	 * @param spec the request
	 * @return the response, filled as it arrives
	 */
	public ReceivedResponse complete(String address, CompletionSpec spec) {
		return send(address, spec, false, "");
	}

	private ReceivedResponse send(String address, CompletionSpec spec, boolean stream, String lastEventId) {
		String body = SharedJsonMapper.mapper()
			.createObjectNode()
			.put("model", spec.model())
			.put("prompt", spec.prompt())
			.put("max_tokens", spec.maxTokens())
			.put("stream", stream)
			.toString();
		Request.Builder request = new Request.Builder().url(address + "/v1/completions")
			.header("Workspace", spec.workspace())
			.header("Priority", spec.priority())
			.post(RequestBody.create(body, JSON));
		if (!lastEventId.isEmpty()) {
			request.header("Last-Event-ID", lastEventId);
		}
		return enqueue(request.build());
	}

	/**
	 * Calls a plain service.
	 * @param address address of an entry daemon, as a URL
	 * @param path name of the service and path, without a leading slash
	 * @param method name of the HTTP method
	 * @param key idempotency key; empty for none
	 * @param body body of the request; not sent with {@code GET}
	 * @return the response, filled as it arrives
	 */
	public ReceivedResponse call(String address, String path, String method, String key, String body) {
		RequestBody content = method.equals("GET") ? null
				: RequestBody.create(body.getBytes(StandardCharsets.UTF_8), JSON);
		Request.Builder request = new Request.Builder().url(address + "/v1/services/" + path)
			.header("Workspace", "demo")
			.method(method, content);
		if (!key.isEmpty()) {
			request.header("Idempotency-Key", key);
		}
		return enqueue(request.build());
	}

	private ReceivedResponse enqueue(Request request) {
		Call call = this.client.newCall(request);
		ReceivedResponse received = new ReceivedResponse(Clock.system().millis(), call::cancel);
		call.enqueue(new Callback() {

			@Override
			public void onFailure(Call failed, IOException failure) {
				received.recordConnectionError(failure.toString());
			}

			@Override
			public void onResponse(Call done, Response response) {
				try (response) {
					readResponse(response, received);
				}
				catch (IOException ex) {
					received.recordConnectionError(ex.toString());
				}
			}

		});
		return received;
	}

	private static void readResponse(Response response, ReceivedResponse received) throws IOException {
		String type = response.header("Content-Type", "");
		if (!type.startsWith("text/event-stream")) {
			received.recordResponse(response.code(), response.body().string());
			return;
		}
		BufferedSource source = response.body().source();
		String id = "";
		String line = source.readUtf8Line();
		while (line != null) {
			if (line.startsWith(ID_PREFIX)) {
				id = line.substring(ID_PREFIX.length()).trim();
			}
			else if (line.startsWith(DATA_PREFIX)) {
				recordEvent(received, id, line.substring(DATA_PREFIX.length()).trim());
				id = "";
			}
			line = source.readUtf8Line();
		}
		received.recordStreamClosed();
	}

	private static void recordEvent(ReceivedResponse received, String id, String data) throws IOException {
		if (data.equals("[DONE]")) {
			received.recordDoneEvent();
			return;
		}
		JsonNode event = SharedJsonMapper.mapper().readTree(data);
		if (event.has("error")) {
			received.recordError(event.path("error"));
		}
		else if (!id.isEmpty()) {
			received.recordToken(Clock.system().millis(), id, event.path("choices").path(0).path("text").asText());
		}
	}

	/**
	 * A completion request. Immutable.
	 *
	 * @param workspace workspace of the caller
	 * @param model name of the model
	 * @param prompt text of the prompt
	 * @param maxTokens maximum number of output tokens
	 * @param priority value of the {@code Priority} header
	 */
	public record CompletionSpec(String workspace, String model, String prompt, int maxTokens, String priority) {
	}

}
