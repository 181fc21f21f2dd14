package io.dotterelcrank.daemon.relay;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Defects;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.relay.TargetClient;
import io.dotterelcrank.process.relay.TargetRequest;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.RequestException;

/**
 * Sends requests to targets over HTTP. Confined to the traffic thread.
 */
public final class HttpTargetClient implements TargetClient {

	/** Connection timeout for targets, in milliseconds. */
	static final int CONNECT_TIMEOUT_MILLIS = 400;

	/**
	 * Timeout for a KV copy, in milliseconds; longer than the notice that engines give
	 * before they leave.
	 */
	static final long COPY_TIMEOUT_MILLIS = 3_000;

	/**
	 * Timeout for the call that stops a generation, in milliseconds. Its caller waits
	 * meanwhile, and a second call does no harm.
	 */
	static final long STOP_TIMEOUT_MILLIS = 1_000;

	private static final Logger logger = LoggerFactory.getLogger(HttpTargetClient.class);

	private final PooledHttpClient client;

	private final HttpMessageMapper messageMapper;

	private HttpTargetClient(PooledHttpClient client, HttpMessageMapper messageMapper) {
		this.client = client;
		this.messageMapper = messageMapper;
	}

	/**
	 * Creates a client.
	 * @param client sends the requests
	 * @param messageMapper converts requests and responses
	 * @return a new client
	 */
	public static HttpTargetClient of(PooledHttpClient client, HttpMessageMapper messageMapper) {
		return new HttpTargetClient(client, messageMapper);
	}

	@Override
	public Exchange send(TargetRequest request, Listener listener) {
		PooledHttpClient.Request httpRequest = PooledHttpClient.Request.onNewConnection(request.target().address(),
				HttpMethod.valueOf(request.request().method()), request.request().uri(),
				this.messageMapper.targetHeaders(request), request.request().body(), CONNECT_TIMEOUT_MILLIS);
		TargetExchange exchange = new TargetExchange(request, listener);
		exchange.handle = this.client.send(httpRequest, exchange);
		return exchange;
	}

	@Override
	public void copyKv(CopyRequest request, Consumer<CopyResult> listener) {
		fetchCopy(request).thenApply((response) -> this.messageMapper.readKvCopyResponse(response, request))
			.exceptionally((failure) -> failedCopy(request, failure))
			.thenAccept(listener);
	}

	private CompletableFuture<BufferedResponse> fetchCopy(CopyRequest request) {
		long timeoutMillis = request.stopsFirst() ? STOP_TIMEOUT_MILLIS : COPY_TIMEOUT_MILLIS;
		try {
			return BufferedResponse.fetch(this.client, this.messageMapper.kvCopyRequest(request), timeoutMillis);
		}
		catch (Throwable ex) {
			// The listener is not called before this call has returned.
			CompletableFuture<BufferedResponse> failed = new CompletableFuture<>();
			this.client.loop().execute(() -> failed.completeExceptionally(ex));
			return failed;
		}
	}

	private static CopyResult failedCopy(CopyRequest request, Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		Defects.isolate(logger, () -> LogEvent.KV_COPY_UNANSWERED.log(logger, request.attemptId(),
				request.source().id(), String.valueOf(cause.getMessage())));
		return new CopyResult(outcome(cause), Optional.empty());
	}

	@Override
	public void freeKvCopy(TargetRegistration source, String handle) {
		BufferedResponse.fetch(this.client, this.messageMapper.kvFreeRequest(source, handle), COPY_TIMEOUT_MILLIS);
	}

	private static CopyOutcome outcome(Throwable failure) {
		return (failure instanceof NotConnectedException) ? CopyOutcome.UNREACHABLE : CopyOutcome.UNANSWERED;
	}

	/**
	 * One exchange with a target.
	 */
	private final class TargetExchange implements PooledHttpClient.ResponseListener, Exchange {

		private final TargetRequest request;

		private final Listener listener;

		/**
		 * Whether the body is a stream of events that ends with the connection, of which
		 * nothing has arrived.
		 */
		private boolean awaitsFirstEvent;

		/** Whether the body is a stream of events that ends with the connection. */
		private boolean endsWithConnection;

		private boolean stopExpected;

		/** Whether the head of the response was passed on. */
		private boolean headReceived;

		/** Set right after construction, before any call of this listener. */
		private PooledHttpClient.RequestHandle handle;

		TargetExchange(TargetRequest request, Listener listener) {
			this.request = request;
			this.listener = listener;
		}

		@Override
		public void beforeWrite() {
			this.listener.beforeWrite();
		}

		@Override
		public void head(HttpResponse response) {
			ResponseHead head;
			try {
				head = HttpTargetClient.this.messageMapper.readResponseHead(response, this.request);
			}
			catch (RequestException ex) {
				this.handle.cancel();
				this.listener.failed(Ran.UNKNOWN, ex.getMessage());
				return;
			}
			if (hasNoBody(response)) {
				head = head.withoutEvents();
			}
			this.endsWithConnection = head.eventStream() && !HttpUtil.isContentLengthSet(response)
					&& !HttpUtil.isTransferEncodingChunked(response);
			this.awaitsFirstEvent = this.endsWithConnection;
			this.headReceived = true;
			this.listener.head(head);
		}

		private boolean hasNoBody(HttpResponse response) {
			return response.status().equals(HttpResponseStatus.NO_CONTENT)
					|| HttpMethod.HEAD.name().equals(this.request.request().method());
		}

		@Override
		public void body(byte[] chunk) {
			this.awaitsFirstEvent = false;
			this.listener.body(chunk);
		}

		@Override
		public void complete() {
			if (this.awaitsFirstEvent) {
				this.listener.failed(Ran.UNKNOWN, "stream ended with its connection before its first event");
				return;
			}
			if (this.stopExpected && this.endsWithConnection) {
				this.listener.failed(Ran.UNKNOWN, "stream ended with its connection when its target was to stop");
				return;
			}
			this.listener.complete();
		}

		@Override
		public void failed(boolean writeStarted, String reason) {
			this.listener.failed(writeStarted ? Ran.UNKNOWN : Ran.NO, reason);
		}

		@Override
		public void rejected(String reason) {
			// Behind a head it was this target that ran the request, and may run it
			// still.
			this.listener.failed(this.headReceived ? Ran.YES : Ran.UNKNOWN, reason);
		}

		@Override
		public void cancel() {
			this.handle.cancel();
		}

		@Override
		public void setReadEnabled(boolean enabled) {
			this.handle.setReadEnabled(enabled);
		}

		@Override
		public void setStopExpected(boolean expected) {
			this.stopExpected = expected;
		}

		@Override
		public boolean writeStarted() {
			return this.handle.writeStarted();
		}

	}

}
