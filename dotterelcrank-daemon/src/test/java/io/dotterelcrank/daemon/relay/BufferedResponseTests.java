package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.PlatformException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests of {@link BufferedResponse#fetch}.
 */
class BufferedResponseTests {

	private static final long TIMEOUT_MILLIS = 500;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	@AfterEach
	void stop() {
		this.group.shutdownGracefully();
	}

	/** A call that never ended would be the last one of whoever made it. */
	@Test
	void requestThatCannotBeSentFails() {
		PooledHttpClient.Request request = PooledHttpClient.Request.keepingConnection(
				InetSocketAddress.createUnresolved("entry.invalid", 80), HttpMethod.GET, null, new DefaultHttpHeaders(),
				new byte[0], 100);
		assertThatExceptionOfType(ExecutionException.class)
			.isThrownBy(() -> BufferedResponse.fetch(PooledHttpClient.create(this.group.next()), request, 100)
				.get(10, TimeUnit.SECONDS))
			.withCauseInstanceOf(PlatformException.class);
	}

	/** The error was logged, and whoever had made the call waited for good. */
	@Test
	void requestWhoseSendMeetsADefectFails() {
		PooledHttpClient.Request request = PooledHttpClient.Request.keepingConnection(null, HttpMethod.GET, "/",
				new DefaultHttpHeaders(), new byte[0], 100);
		assertThatExceptionOfType(ExecutionException.class)
			.isThrownBy(() -> BufferedResponse.fetch(PooledHttpClient.create(this.group.next()), request, 100)
				.get(2, TimeUnit.SECONDS))
			.withCauseInstanceOf(PlatformException.class);
	}

	/**
	 * A call to the store failed, and its table was read again 300 ms later; a call that
	 * stops a generation counted as unanswered.
	 */
	@RepeatedTest(5)
	void responseThatHasArrivedIsReturnedThoughItIsReadLate() throws Exception {
		EventLoop loop = this.group.next();
		PooledHttpClient client = PooledHttpClient.create(loop);
		try (ScriptedTarget target = new ScriptedTarget()) {
			PooledHttpClient.Request request = PooledHttpClient.Request.onNewConnection(target.address(),
					HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 10_000);
			CompletableFuture<BufferedResponse> response = BufferedResponse.fetch(client, request, TIMEOUT_MILLIS);
			target.awaitRequest();
			HeldThread.whileHeld(loop, () -> {
				target.respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
				target.awaitScriptsWritten(1);
				Thread.sleep(TIMEOUT_MILLIS);
			});
			assertThat(response.get(10, TimeUnit.SECONDS).status()).isEqualTo(200);
		}
	}

}
