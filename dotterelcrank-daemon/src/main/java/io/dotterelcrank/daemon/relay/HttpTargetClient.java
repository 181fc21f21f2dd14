package io.dotterelcrank.daemon.relay;

import java.util.Optional;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.process.relay.TargetClient;
import io.dotterelcrank.process.relay.TargetRequest;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.RequestException;

/**
 * Sends requests to targets over HTTP. Belongs to the traffic thread.
 */
public final class HttpTargetClient implements TargetClient {

	/** Longest time until a connection to a target is open, in milliseconds. */
	static final int CONNECT_MILLIS = 400;

	/** Longest time for a copy, in milliseconds; above the notice that engines give. */
	static final long COPY_MILLIS = 3_000;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(HttpTargetClient.class);

	/** Connections to targets. */
	private final HttpExchanges exchanges;

	/** Names of headers. */
	private final HttpDialect dialect;

	private HttpTargetClient(HttpExchanges exchanges, HttpDialect dialect) {
		this.exchanges = exchanges;
		this.dialect = dialect;
	}

	/**
	 * Creates a client.
	 * @param exchanges connections to targets
	 * @param dialect names of headers
	 * @return a new client
	 */
	public static HttpTargetClient of(HttpExchanges exchanges, HttpDialect dialect) {
		return new HttpTargetClient(exchanges, dialect);
	}

	@Override
	public Exchange send(TargetRequest request, Listener listener) {
		HttpExchanges.Call call = new HttpExchanges.Call(request.target().address(),
				HttpMethod.valueOf(request.request().method()), request.request().uri(),
				this.dialect.targetHeaders(request), request.request().body(), request.reuseConnection(),
				CONNECT_MILLIS);
		TargetAnswer answer = new TargetAnswer(request, listener);
		answer.handle = this.exchanges.send(call, answer);
		return answer;
	}

	@Override
	public void copyKv(CopyRequest request, Consumer<CopyResult> listener) {
		HttpReply.to(this.exchanges, this.dialect.copyCall(request), COPY_MILLIS).whenComplete((reply, failure) -> {
			if (failure != null) {
				LogEvent.KV_COPY_UNANSWERED.log(logger, request.attemptId(), request.source().id(),
						failure.getMessage());
			}
			listener.accept((failure != null) ? new CopyResult(CopyOutcome.UNANSWERED, Optional.empty())
					: this.dialect.copyAnswer(reply));
		});
	}

	/**
	 * One exchange with a target.
	 */
	private final class TargetAnswer implements HttpExchanges.Answer, Exchange {

		/** The request. */
		private final TargetRequest request;

		/** Hears of the answer. */
		private final Listener listener;

		/** The call. */
		private HttpExchanges.Handle handle;

		TargetAnswer(TargetRequest request, Listener listener) {
			this.request = request;
			this.listener = listener;
		}

		@Override
		public void head(HttpResponse response, boolean reused) {
			ResponseHead head;
			try {
				head = HttpTargetClient.this.dialect.head(response, this.request, reused);
			}
			catch (RequestException ex) {
				this.handle.cancel();
				this.listener.failed(Ran.UNKNOWN, ex.getMessage());
				return;
			}
			this.listener.head(head);
		}

		@Override
		public void body(byte[] piece) {
			this.listener.body(piece);
		}

		@Override
		public void complete() {
			this.listener.complete();
		}

		@Override
		public void failed(boolean written, String reason) {
			this.listener.failed(written ? Ran.UNKNOWN : Ran.NO, reason);
		}

		@Override
		public void cancel() {
			this.handle.cancel();
		}

		@Override
		public void setReadEnabled(boolean reading) {
			this.handle.read(reading);
		}

		@Override
		public boolean writeStarted() {
			return this.handle.written();
		}

	}

}
