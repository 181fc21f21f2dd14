package io.dotterelcrank.daemon.relay;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

import io.dotterelcrank.process.platform.PlatformException;

/**
 * A whole answer. The body array is not modified after construction.
 *
 * @param status the HTTP status
 * @param headers headers
 * @param body body
 */
public record HttpReply(int status, HttpHeaders headers, byte[] body) {

	/**
	 * Checks the status.
	 * @param expected the status expected
	 * @throws PlatformException if it is another one
	 */
	public void check(int expected) throws PlatformException {
		if (this.status != expected) {
			throw new PlatformException("status " + this.status);
		}
	}

	/**
	 * Makes a call and collects its answer.
	 * @param exchanges connections to use
	 * @param call the call
	 * @param withinMillis time after which the call is given up, in milliseconds
	 * @return the answer, or a {@link PlatformException}
	 */
	public static CompletableFuture<HttpReply> to(HttpExchanges exchanges, HttpExchanges.Call call, long withinMillis) {
		Collecting answer = new Collecting();
		exchanges.loop().execute(() -> {
			HttpExchanges.Handle handle = exchanges.send(call, answer);
			exchanges.loop().schedule(() -> {
				if (!answer.isDone()) {
					handle.cancel();
					answer.completeExceptionally(
							new PlatformException("no answer to " + call.uri() + " within " + withinMillis + " ms"));
				}
			}, withinMillis, TimeUnit.MILLISECONDS);
		});
		return answer;
	}

	/**
	 * Collects an answer.
	 */
	private static final class Collecting extends CompletableFuture<HttpReply> implements HttpExchanges.Answer {

		/** Body so far. */
		private final ByteArrayOutputStream collected = new ByteArrayOutputStream();

		/** Status of the answer. */
		private int answered;

		/** Headers of the answer. */
		private HttpHeaders headers;

		@Override
		public void head(HttpResponse response, boolean reused) {
			this.answered = response.status().code();
			this.headers = response.headers();
		}

		@Override
		public void body(byte[] piece) {
			this.collected.writeBytes(piece);
		}

		@Override
		public void complete() {
			complete(new HttpReply(this.answered, this.headers, this.collected.toByteArray()));
		}

		@Override
		public void failed(boolean written, String reason) {
			completeExceptionally(new PlatformException(reason));
		}

	}

}
