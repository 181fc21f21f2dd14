package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.PlatformException;

import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests of {@link BufferedResponse#fetch}.
 */
class BufferedResponseTests {

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

}
