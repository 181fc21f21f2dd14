package io.dotterelcrank.daemon.client;

import java.io.IOException;
import java.net.ConnectException;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Request;
import okhttp3.Response;
import okio.BufferedSource;

import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.process.platform.SharedJsonMapper;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.version.Placement;

/**
 * A model engine over HTTP, with streams as lines of JSON. Thread-safe; each open stream
 * is read by a thread of the HTTP library.
 */
public final class HttpEngineClient implements EngineClient {

	/** Status of a refusal. */
	private static final int UNAVAILABLE = 503;

	/** Longest silence on a stream before it counts as broken, in milliseconds. */
	private static final long STREAM_SILENCE_MILLIS = 20_000;

	/** Calls the engine. */
	private final HttpCaller caller;

	private HttpEngineClient(HttpCaller caller) {
		this.caller = caller;
	}

	/**
	 * Creates a client.
	 * @param address address of the engine
	 * @return a new client
	 */
	public static HttpEngineClient at(String address) {
		return new HttpEngineClient(HttpCaller.of(address));
	}

	@Override
	public void generate(Generation generation, Listener listener) {
		stream(this.caller.request("/generations").post(HttpCaller.body(generation)).build(), listener);
	}

	@Override
	public void resume(String id, int fromIndex, Listener listener) {
		stream(this.caller.request("/generations/" + id + "?from=" + fromIndex).build(), listener);
	}

	private void stream(Request request, Listener listener) {
		this.caller.client()
			.newBuilder()
			.readTimeout(STREAM_SILENCE_MILLIS, TimeUnit.MILLISECONDS)
			.build()
			.newCall(request)
			.enqueue(new StreamCallback(listener));
	}

	@Override
	public void cancel(String id) throws PlatformException {
		this.caller.send(this.caller.request("/generations/" + id).delete().build(), String.class);
	}

	@Override
	public Report report() throws PlatformException {
		return this.caller.send(this.caller.request("/report").build(), Report.class);
	}

	@Override
	public void order(Placement placement) throws PlatformException {
		this.caller.send(this.caller.request("/orders").post(HttpCaller.body(placement)).build(), String.class);
	}

	/**
	 * Reads one stream.
	 */
	private static final class StreamCallback implements Callback {

		/** Hears the stream. */
		private final Listener listener;

		StreamCallback(Listener listener) {
			this.listener = listener;
		}

		@Override
		public void onFailure(Call call, IOException failure) {
			boolean refused = failure instanceof ConnectException;
			this.listener.failed(refused ? StreamFailure.NOT_REACHED : StreamFailure.INTERRUPTED, failure.toString());
		}

		@Override
		public void onResponse(Call call, Response response) {
			try (response) {
				if (!response.isSuccessful()) {
					StreamFailure end = (response.code() == UNAVAILABLE) ? StreamFailure.REFUSED
							: StreamFailure.UNKNOWN_GENERATION;
					this.listener.failed(end, "the engine answered " + response.code());
					return;
				}
				read(response.body().source());
			}
			catch (IOException ex) {
				this.listener.failed(StreamFailure.INTERRUPTED, ex.toString());
			}
		}

		private void read(BufferedSource source) throws IOException {
			String text = source.readUtf8Line();
			while (text != null) {
				Line line = SharedJsonMapper.mapper().readValue(text, Line.class);
				if (line.reason() != null) {
					this.listener.finished(line.count(), line.reason());
					return;
				}
				this.listener.token(line.index(), line.text());
				text = source.readUtf8Line();
			}
			this.listener.failed(StreamFailure.INTERRUPTED, "the stream ended early");
		}

	}

	/**
	 * A line of a stream. Immutable.
	 *
	 * @param index index of the token, or -1 at the end
	 * @param text text of the token, or {@code null} at the end
	 * @param reason why the generation ended, or {@code null} before
	 * @param count number of tokens in the whole generation, or 0 before the end
	 */
	private record Line(int index, String text, String reason, int count) {
	}

}
