package io.dotterelcrank.daemon.relay;

import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.standin.http.EndlessPart;
import io.dotterelcrank.standin.http.EndlessServer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests over sockets that a server which writes a part of a response without end is left,
 * before the deadline of the request, and that others are served meanwhile.
 */
class EndlessResponseTests {

	/** Time that no test takes unless a request waits for its end, in milliseconds. */
	private static final int DEADLINE_MILLIS = 20_000;

	/**
	 * Max bytes that a host reads of a response without end: the largest body, and what
	 * the buffers of both sides hold.
	 */
	private static final long MAX_READ_BYTES = 32L * 1024 * 1024;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	@AfterEach
	void stop() {
		this.group.shutdownGracefully();
	}

	private static String get(String path) {
		return "GET " + path + " HTTP/1.1\r\nHost: a\r\nId: 1\r\nConnection: close\r\n\r\n";
	}

	/** Informational responses without end kept a request until its deadline. */
	@ParameterizedTest
	@EnumSource(EndlessPart.class)
	void requestToATargetEndsBeforeItsDeadline(EndlessPart part) throws Exception {
		try (EndlessServer endless = EndlessServer.start(part);
				RelayServerFixture fixture = RelayServerFixture.start(DEADLINE_MILLIS)) {
			fixture.addTarget("/endless/", endless.address());
			try (Socket flooded = fixture.connect(); Socket sound = fixture.connect()) {
				CallerReader.of(flooded).send(get("/endless/x"));
				fixture.target().respondWith("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok");
				CallerReader.of(sound).send(get("/order/x"));
				assertThat(CallerReader.of(sound).read(false)).isEqualTo("200 s ok");
				assertThat(CallerReader.of(flooded).read(false)).startsWith("502 ");
			}
			endless.awaitClosed(1);
			assertThat(endless.writtenBytes()).isLessThan(MAX_READ_BYTES);
		}
	}

	/** Calls to the store and to engines are read as a whole. */
	@ParameterizedTest
	@EnumSource(EndlessPart.class)
	void callWhoseResponseIsBufferedFailsBeforeItsTimeout(EndlessPart part) throws Exception {
		try (EndlessServer endless = EndlessServer.start(part)) {
			PooledHttpClient client = PooledHttpClient.create(this.group.next());
			for (boolean keeps : new boolean[] { true, false }) {
				PooledHttpClient.Request request = new PooledHttpClient.Request(endless.address(), HttpMethod.GET, "/",
						new DefaultHttpHeaders(), new byte[0], keeps, 400);
				CompletableFuture<BufferedResponse> response = BufferedResponse.fetch(client, request,
						10L * DEADLINE_MILLIS);
				assertThatExceptionOfType(ExecutionException.class)
					.isThrownBy(() -> response.get(DEADLINE_MILLIS, TimeUnit.MILLISECONDS))
					.withCauseInstanceOf(PlatformException.class);
				endless.awaitClosed(1);
			}
			assertThat(endless.writtenBytes()).isLessThan(MAX_READ_BYTES);
		}
	}

}
