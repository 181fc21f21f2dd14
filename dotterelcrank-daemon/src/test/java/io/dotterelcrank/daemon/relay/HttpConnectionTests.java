package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.LogEvent;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of one connection whose next request is assigned while the response before is
 * being handled.
 */
class HttpConnectionTests {

	private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 9);

	private static final PooledHttpClient.Request REQUEST = PooledHttpClient.Request.keepingConnection(ADDRESS,
			HttpMethod.GET, "/x", new DefaultHttpHeaders(), new byte[0], 400);

	private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final HttpConnection connection = new HttpConnection(PooledHttpClient.create(this.group.next()), ADDRESS);

	/** What the listeners were told, in order. */
	private final List<String> told = new ArrayList<>();

	private final EmbeddedChannel channel = openWithTwoRequests();

	private EmbeddedChannel openWithTwoRequests() {
		this.connection.assign(REQUEST,
				new Recorder("first", () -> this.connection.assign(REQUEST, new Recorder("second", () -> {
				}))));
		return new EmbeddedChannel(this.connection.newDecoder(8_192, 65_536, 65_536), new HttpRequestEncoder(),
				this.connection);
	}

	@AfterEach
	void stop() {
		this.group.shutdownGracefully();
	}

	private void receive(String bytes) {
		this.channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
	}

	@Test
	void bytesThatArriveBeforeTheNextRequestIsWrittenAreNotItsResponse() {
		receive(RESPONSE);
		receive("HTTP/1.1 200 OK\r\n");
		this.connection.write();
		assertThat(this.told).containsExactly("first complete", "second failed, written: false");
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void copyInTheSameReadIsNotTheNextResponse() {
		receive(RESPONSE + RESPONSE);
		this.connection.write();
		assertThat(this.told).containsExactly("first complete", "second failed, written: false");
		assertThat(this.channel.isOpen()).isFalse();
	}

	/** The request had no end until its deadline, though its response was complete. */
	@Test
	void responseIsCompleteThoughTheBytesBehindItCannotBeLogged() throws Exception {
		FailingLog.during(LogEvent.SURPLUS_BYTES, 1, StackOverflowError::new, () -> {
			receive(RESPONSE + RESPONSE);
			return null;
		});
		assertThat(this.told).first().isEqualTo("first complete");
		assertThat(this.channel.isOpen()).isFalse();
	}

	/**
	 * Records the end of a response.
	 */
	private final class Recorder implements PooledHttpClient.ResponseListener {

		private final String name;

		private final Runnable onComplete;

		Recorder(String name, Runnable onComplete) {
			this.name = name;
			this.onComplete = onComplete;
		}

		@Override
		public void head(HttpResponse response) {
			// Only the end is recorded.
		}

		@Override
		public void body(byte[] chunk) {
			// Only the end is recorded.
		}

		@Override
		public void complete() {
			HttpConnectionTests.this.told.add(this.name + " complete");
			this.onComplete.run();
		}

		@Override
		public void failed(boolean writeStarted, String reason) {
			HttpConnectionTests.this.told.add(this.name + " failed, written: " + writeStarted);
		}

	}

}
