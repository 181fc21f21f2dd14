package io.dotterelcrank.daemon.relay;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.Scheduler.ScheduledTask;
import io.dotterelcrank.connection.EventLoopTimer;

/**
 * A complete HTTP response with its body in memory. The body array is not modified after
 * construction.
 *
 * @param status the HTTP status
 * @param headers headers
 * @param body body
 */
public record BufferedResponse(int status, HttpHeaders headers, byte[] body) {

	/** Max size of a body, in bytes; larger ones are given up while they are read. */
	static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

	/**
	 * Checks the status.
	 * @param expected the only accepted status
	 * @throws PlatformException if the response has another status
	 */
	public void expectStatus(int expected) throws PlatformException {
		if (this.status != expected) {
			throw new PlatformException("unexpected HTTP status " + this.status);
		}
	}

	/**
	 * Sends a request and buffers the response.
	 * @param client sends the requests
	 * @param request the request
	 * @param timeoutMillis time after which the request is cancelled, in milliseconds
	 * @return the response; fails with a {@link PlatformException}, which is a
	 * {@link NotConnectedException} if no byte of the request was sent
	 */
	public static CompletableFuture<BufferedResponse> fetch(PooledHttpClient client, PooledHttpClient.Request request,
			long timeoutMillis) {
		ResponseCollector collector = new ResponseCollector();
		client.loop().execute(() -> {
			try {
				ScheduledTask timeout = EventLoopTimer.schedule(client.loop(), timeoutMillis,
						() -> collector.giveUp("no response to " + request.uri() + " within " + timeoutMillis + " ms"));
				collector.whenComplete((response, failure) -> timeout.cancel());
				collector.handle = client.send(request, collector);
			}
			catch (Throwable ex) {
				collector.completeExceptionally(new PlatformException("request to " + request.uri() + " not sent", ex));
			}
		});
		return collector;
	}

	/**
	 * Buffers a response.
	 */
	private static final class ResponseCollector extends CompletableFuture<BufferedResponse>
			implements PooledHttpClient.ResponseListener {

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		/** {@code null} until the request is sent, before any call of this listener. */
		private PooledHttpClient.RequestHandle handle;

		private int status;

		private HttpHeaders headers;

		@Override
		public void head(HttpResponse response) {
			this.status = response.status().code();
			this.headers = response.headers();
		}

		@Override
		public void body(byte[] chunk) {
			if (this.body.size() + chunk.length > MAX_BODY_BYTES) {
				giveUp("response larger than " + MAX_BODY_BYTES + " bytes");
				return;
			}
			this.body.writeBytes(chunk);
		}

		@Override
		public void complete() {
			try {
				complete(new BufferedResponse(this.status, this.headers, this.body.toByteArray()));
			}
			catch (Throwable ex) {
				completeExceptionally(new PlatformException("response not readable", ex));
			}
		}

		private void giveUp(String reason) {
			if (!isDone()) {
				try {
					if (this.handle != null) {
						this.handle.cancel();
					}
				}
				finally {
					completeExceptionally(new PlatformException(reason));
				}
			}
		}

		@Override
		public void failed(boolean writeStarted, String reason) {
			completeExceptionally(writeStarted ? new PlatformException(reason) : new NotConnectedException(reason));
		}

	}

}
