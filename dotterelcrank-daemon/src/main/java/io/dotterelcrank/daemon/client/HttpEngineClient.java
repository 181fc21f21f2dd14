package io.dotterelcrank.daemon.client;

import java.io.IOException;
import java.net.ConnectException;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import okio.BufferedSource;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.SharedJsonMapper;
import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.version.Placement;

/**
 * Client of a model engine over HTTP; streams are lines of JSON. Thread-safe. Each open
 * stream occupies a thread of the HTTP library.
 */
public final class HttpEngineClient implements EngineClient {

	/** Status with which an engine refuses a generation. */
	private static final int SERVICE_UNAVAILABLE = 503;

	/** Time without a byte after which a stream counts as broken, in milliseconds. */
	private static final long STREAM_READ_TIMEOUT_MILLIS = 20_000;

	private final JsonHttpClient client;

	private final OkHttpClient streamClient = JsonHttpClient.newClientBuilder()
		.readTimeout(STREAM_READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
		.build();

	private HttpEngineClient(JsonHttpClient client) {
		this.client = client;
	}

	/**
	 * Creates a client.
	 * @param address address of the engine
	 * @return a new client
	 */
	public static HttpEngineClient at(String address) {
		return new HttpEngineClient(JsonHttpClient.of(address));
	}

	@Override
	public void generate(Generation generation, Listener listener) {
		readStream(this.client.requestBuilder("/generations").post(JsonHttpClient.jsonBody(generation)).build(),
				listener);
	}

	@Override
	public void resume(String id, int fromIndex, Listener listener) {
		readStream(this.client.requestBuilder("/generations/" + id + "?from=" + fromIndex).build(), listener);
	}

	private void readStream(Request request, Listener listener) {
		this.streamClient.newCall(request).enqueue(new StreamCallback(listener));
	}

	@Override
	public void cancel(String id) throws PlatformException {
		this.client.send(this.client.requestBuilder("/generations/" + id).delete().build(), String.class);
	}

	@Override
	public Report report() throws PlatformException {
		return this.client.send(this.client.requestBuilder("/report").build(), Report.class);
	}

	@Override
	public void order(Placement placement) throws PlatformException {
		this.client.send(this.client.requestBuilder("/orders").post(JsonHttpClient.jsonBody(placement)).build(),
				String.class);
	}

	/**
	 * Passes the lines of one stream to its listener.
	 */
	private static final class StreamCallback implements Callback {

		private final Listener listener;

		StreamCallback(Listener listener) {
			this.listener = listener;
		}

		@Override
		public void onFailure(Call call, IOException failure) {
			boolean connectFailed = failure instanceof ConnectException;
			this.listener.failed(connectFailed ? StreamFailure.NOT_REACHED : StreamFailure.INTERRUPTED,
					failure.toString());
		}

		@Override
		public void onResponse(Call call, Response response) {
			try (response) {
				if (!response.isSuccessful()) {
					StreamFailure streamFailure = (response.code() == SERVICE_UNAVAILABLE) ? StreamFailure.REFUSED
							: StreamFailure.UNKNOWN_GENERATION;
					this.listener.failed(streamFailure, "the engine responded with status " + response.code());
					return;
				}
				readLines(response.body().source());
			}
			catch (IOException ex) {
				this.listener.failed(StreamFailure.INTERRUPTED, ex.toString());
			}
		}

		private void readLines(BufferedSource source) throws IOException {
			String text = source.readUtf8Line();
			while (text != null) {
				Line line = SharedJsonMapper.mapper().readValue(text, Line.class);
				if (line == null || (line.reason() == null && line.text() == null)) {
					throw new IOException("a line that is neither a token nor the end");
				}
				if (line.reason() != null) {
					this.listener.finished(line.count(), line.reason());
					return;
				}
				this.listener.token(line.index(), line.text());
				text = source.readUtf8Line();
			}
			this.listener.failed(StreamFailure.INTERRUPTED, "the stream ended before the generation completed");
		}

	}

	/**
	 * A line of a stream: a token, or the end of the generation. Immutable.
	 *
	 * @param index index of the token; -1 at the end
	 * @param text text of the token; {@code null} at the end
	 * @param reason finish reason; {@code null} for a token
	 * @param count number of tokens in the whole generation; 0 for a token
	 */
	private record Line(int index, String text, String reason, int count) {
	}

}
