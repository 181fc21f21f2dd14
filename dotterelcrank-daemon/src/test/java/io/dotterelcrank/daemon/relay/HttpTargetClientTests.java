package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.relay.TargetClient;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of KV copies of {@link HttpTargetClient} whose request or response meets a
 * defect: an engine whose copy has no result makes no other one.
 */
class HttpTargetClientTests {

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoop loop = this.group.next();

	@AfterEach
	void stop() {
		this.group.shutdownGracefully();
	}

	private TargetClient.CopyOutcome copy(ScriptedTarget target, HttpMessageMapper mapper) throws Exception {
		TargetRegistration engine = new TargetRegistration("e", "s", target.address(), "dc", 4, false, 0, 1, 1);
		CompletableFuture<TargetClient.CopyOutcome> outcome = new CompletableFuture<>();
		this.loop
			.submit(() -> HttpTargetClient.of(PooledHttpClient.create(this.loop), mapper)
				.copyKv(new TargetClient.CopyRequest("1", engine, engine, false),
						(result) -> outcome.complete(result.outcome())))
			.sync();
		return outcome.get(10, TimeUnit.SECONDS);
	}

	@Test
	void copyWhoseRequestMeetsADefectIsUnanswered() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget()) {
			assertThat(copy(target, new TestMessageMapper())).isEqualTo(TargetClient.CopyOutcome.UNANSWERED);
		}
	}

	@Test
	void copyWhoseResponseMeetsADefectIsUnanswered() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget()) {
			target.respondWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
			HttpMessageMapper mapper = new TestMessageMapper() {

				@Override
				public PooledHttpClient.Request kvCopyRequest(TargetClient.CopyRequest request) {
					InetSocketAddress address = request.source().address();
					return PooledHttpClient.Request.onNewConnection(address, HttpMethod.POST, "/copy",
							new DefaultHttpHeaders(), new byte[0], 400);
				}

				@Override
				public TargetClient.CopyResult readKvCopyResponse(BufferedResponse response,
						TargetClient.CopyRequest request) {
					throw new StackOverflowError();
				}

			};
			assertThat(copy(target, mapper)).isEqualTo(TargetClient.CopyOutcome.UNANSWERED);
		}
	}

}
