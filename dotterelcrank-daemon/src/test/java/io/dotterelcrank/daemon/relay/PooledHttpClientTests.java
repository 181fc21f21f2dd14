package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PooledHttpClient} without the resources for another connection.
 */
class PooledHttpClientTests {

	/** The request was ended on a thread of Netty's, beside those that were served. */
	@Test
	void connectionWithoutASocketFailsOnTheTrafficThread() throws Exception {
		NioEventLoopGroup group = new NioEventLoopGroup(1);
		try {
			EventLoop loop = group.next();
			PooledHttpClient client = PooledHttpClient.create(loop, () -> {
				throw new ChannelException("too many open files");
			});
			CompletableFuture<String> end = new CompletableFuture<>();
			loop.submit(
					() -> client.send(
							PooledHttpClient.Request.onNewConnection(new InetSocketAddress("127.0.0.1", 9),
									HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 400),
							new EndRecorder(loop, end)));
			assertThat(end.get(10, TimeUnit.SECONDS)).isEqualTo("failed, written: false, on the loop: true");
		}
		finally {
			group.shutdownGracefully();
		}
	}

	/**
	 * Records the end of a response and the thread that reports it.
	 *
	 * @param loop event loop of the client
	 * @param end completed with the end
	 */
	private record EndRecorder(EventLoop loop,
			CompletableFuture<String> end) implements PooledHttpClient.ResponseListener {

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
			this.end.complete("complete");
		}

		@Override
		public void failed(boolean writeStarted, String reason) {
			this.end.complete("failed, written: " + writeStarted + ", on the loop: " + this.loop.inEventLoop());
		}

	}

}
