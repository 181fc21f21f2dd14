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
import io.dotterelcrank.process.platform.SharedJsonMapper;

/**
 * A caller over HTTP that records what it receives. Thread-safe.
 */
public final class CallerClient {

	/** Type of bodies. */
	private static final MediaType JSON = MediaType.get("application/json");

	/** Most requests at once. */
	private static final int MOST_REQUESTS = 10_000;

	/** Longest silence on a stream, in seconds. */
	private static final long SILENCE_SECONDS = 120;

	/** Start of the lines that carry an event's id. */
	private static final String ID = "id:";

	/** Start of the lines that carry an event's data. */
	private static final String DATA = "data:";

	/** The HTTP library. */
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
		dispatcher.setMaxRequests(MOST_REQUESTS);
		dispatcher.setMaxRequestsPerHost(MOST_REQUESTS);
		return new CallerClient(new OkHttpClient.Builder().retryOnConnectionFailure(false)
			.dispatcher(dispatcher)
			.readTimeout(SILENCE_SECONDS, TimeUnit.SECONDS)
			.build());
	}

	/**
	 * Asks for a streamed generation.
	 * @param address address of an entry daemon
	 * @param wish what is asked for
	 * @return what the caller receives, complete when its answer has ended
	 */
	public Received stream(String address, Wish wish) {
		return send(address, wish, true, "");
	}

	/**
	 * Continues a streamed generation.
	 * @param address address of an entry daemon
	 * @param wish what was asked for
	 * @param lastEventId id of the last event received
	 * @return what the caller receives from there on
	 */
	public Received continueAfter(String address, Wish wish, String lastEventId) {
		return send(address, wish, true, lastEventId);
	}

	/**
	 * Asks for a generation in one piece.
	 * @param address address of an entry daemon
	 * @param wish what is asked for
	 * @return what the caller receives, complete when its answer has ended
	 */
	public Received buffered(String address, Wish wish) {
		return send(address, wish, false, "");
	}

	private Received send(String address, Wish wish, boolean stream, String lastEventId) {
		String body = SharedJsonMapper.mapper()
			.createObjectNode()
			.put("model", wish.model())
			.put("prompt", wish.prompt())
			.put("max_tokens", wish.maxTokens())
			.put("stream", stream)
			.toString();
		Request.Builder request = new Request.Builder().url(address + "/v1/completions")
			.header("Workspace", wish.workspace())
			.header("Priority", wish.priority())
			.post(RequestBody.create(body, JSON));
		if (!lastEventId.isEmpty()) {
			request.header("Last-Event-ID", lastEventId);
		}
		return enqueue(request.build());
	}

	/**
	 * Calls a plain service.
	 * @param address address of an entry daemon
	 * @param path service and path, without a slash at the front
	 * @param method name of the HTTP method
	 * @param key idempotency key, or an empty string
	 * @param body request body
	 * @return what the caller receives, complete when its answer has ended
	 */
	public Received call(String address, String path, String method, String key, String body) {
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

	private Received enqueue(Request request) {
		Call call = this.client.newCall(request);
		Received received = new Received(Clock.system().millis(), call::cancel);
		call.enqueue(new Callback() {

			@Override
			public void onFailure(Call failed, IOException failure) {
				received.broken(failure.toString());
			}

			@Override
			public void onResponse(Call done, Response response) {
				try (response) {
					read(response, received);
				}
				catch (IOException ex) {
					received.broken(ex.toString());
				}
			}

		});
		return received;
	}

	private static void read(Response response, Received received) throws IOException {
		String type = response.header("Content-Type", "");
		if (!type.startsWith("text/event-stream")) {
			received.answered(response.code(), response.body().string());
			return;
		}
		BufferedSource source = response.body().source();
		String id = "";
		String line = source.readUtf8Line();
		while (line != null) {
			if (line.startsWith(ID)) {
				id = line.substring(ID.length()).trim();
			}
			else if (line.startsWith(DATA)) {
				event(received, id, line.substring(DATA.length()).trim());
				id = "";
			}
			line = source.readUtf8Line();
		}
		received.ended();
	}

	private static void event(Received received, String id, String data) throws IOException {
		if (data.equals("[DONE]")) {
			received.done();
			return;
		}
		JsonNode event = SharedJsonMapper.mapper().readTree(data);
		if (event.has("error")) {
			received.failed(event.path("error"));
		}
		else if (!id.isEmpty()) {
			received.token(Clock.system().millis(), id, event.path("choices").path(0).path("text").asText());
		}
	}

	/**
	 * What a caller asks for. Immutable.
	 *
	 * @param workspace workspace of the caller
	 * @param model model asked for
	 * @param prompt text of the prompt
	 * @param maxTokens largest number of output tokens
	 * @param priority admission priority
	 */
	public record Wish(String workspace, String model, String prompt, int maxTokens, String priority) {
	}

}
