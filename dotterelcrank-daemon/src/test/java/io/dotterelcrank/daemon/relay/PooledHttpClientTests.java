package io.dotterelcrank.daemon.relay;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the connections of {@link PooledHttpClient}.
 */
class PooledHttpClientTests {

	private static final int CONNECT_TIMEOUT_MILLIS = 300;

	/** Time for what was written to arrive over the loopback, in milliseconds. */
	private static final int ARRIVAL_MILLIS = 100;

	private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

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

	/** The request failed as not run, and its target got nothing for a while. */
	@RepeatedTest(5)
	void connectionThatHasOpenedInTimeIsUsedThoughItIsSeenLate() throws Exception {
		NioEventLoopGroup group = new NioEventLoopGroup(1);
		try (ScriptedTarget target = new ScriptedTarget()) {
			target.respondWith(RESPONSE);
			EventLoop loop = group.next();
			SlowlyOpenedChannel channel = new SlowlyOpenedChannel(target.address());
			PooledHttpClient client = PooledHttpClient.create(loop, () -> channel);
			CompletableFuture<String> end = new CompletableFuture<>();
			loop.submit(() -> client.send(
					PooledHttpClient.Request.onNewConnection(target.address(), HttpMethod.GET, "/",
							new DefaultHttpHeaders(), new byte[0], CONNECT_TIMEOUT_MILLIS),
					new EndRecorder(loop, end)));
			HeldThread.whileHeld(loop, () -> {
				channel.open();
				Thread.sleep(CONNECT_TIMEOUT_MILLIS);
			});
			assertThat(end.get(10, TimeUnit.SECONDS)).isEqualTo("complete");
		}
		finally {
			group.shutdownGracefully();
		}
	}

	@Test
	void connectionThatDoesNotOpenInTimeFails() throws Exception {
		NioEventLoopGroup group = new NioEventLoopGroup(1);
		try {
			EventLoop loop = group.next();
			InetSocketAddress address = new InetSocketAddress("127.0.0.1", 9);
			SlowlyOpenedChannel channel = new SlowlyOpenedChannel(address);
			PooledHttpClient client = PooledHttpClient.create(loop, () -> channel);
			CompletableFuture<String> end = new CompletableFuture<>();
			loop.submit(() -> client.send(PooledHttpClient.Request.onNewConnection(address, HttpMethod.GET, "/",
					new DefaultHttpHeaders(), new byte[0], 50), new EndRecorder(loop, end)));
			assertThat(end.get(10, TimeUnit.SECONDS)).isEqualTo("failed, written: false, on the loop: true");
			assertThat(channel.closeFuture().await(10, TimeUnit.SECONDS)).isTrue();
		}
		finally {
			group.shutdownGracefully();
		}
	}

	/**
	 * The request was sent on the closed connection and counted as one that may have run.
	 */
	@ParameterizedTest
	@ValueSource(strings = { ScriptedTarget.CLOSE, ScriptedTarget.RESET, "surplus" })
	void keptConnectionOnWhichSomethingHasArrivedIsNotUsed(String arrived) throws Exception {
		NioEventLoopGroup group = new NioEventLoopGroup(1);
		try (ScriptedTarget target = new ScriptedTarget()) {
			EventLoop loop = group.next();
			PooledHttpClient client = PooledHttpClient.create(loop);
			target.respondWith(RESPONSE + ScriptedTarget.WHEN_TOLD + arrived);
			target.respondWith(RESPONSE);
			PooledHttpClient.Request request = PooledHttpClient.Request.keepingConnection(target.address(),
					HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], 10_000);
			CompletableFuture<String> first = new CompletableFuture<>();
			loop.submit(() -> client.send(request, new EndRecorder(loop, first)));
			assertThat(first.get(10, TimeUnit.SECONDS)).isEqualTo("complete");
			CompletableFuture<String> second = new CompletableFuture<>();
			HeldThread.whileHeld(loop, () -> {
				client.send(request, new EndRecorder(loop, second));
				target.tell();
				target.awaitScriptsWritten(1);
				Thread.sleep(ARRIVAL_MILLIS);
			});
			assertThat(second.get(10, TimeUnit.SECONDS)).isEqualTo("complete");
			assertThat(target.connections()).isEqualTo(2);
		}
		finally {
			group.shutdownGracefully();
		}
	}

	/** The request counted as one that may have run, and was not sent again. */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void requestIsNotWrittenOnANewConnectionThatItsServerHasClosed(boolean reset) throws Exception {
		NioEventLoopGroup group = new NioEventLoopGroup(1);
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			EventLoop loop = group.next();
			InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
			SlowlyOpenedChannel channel = new SlowlyOpenedChannel(address);
			PooledHttpClient client = PooledHttpClient.create(loop, () -> channel);
			CompletableFuture<String> end = new CompletableFuture<>();
			loop.submit(() -> client.send(PooledHttpClient.Request.onNewConnection(address, HttpMethod.GET, "/",
					new DefaultHttpHeaders(), new byte[0], 10_000), new EndRecorder(loop, end)));
			HeldThread.whileHeld(loop, () -> {
				channel.open();
				Socket accepted = server.accept();
				accepted.setSoLinger(reset, 0);
				accepted.close();
				Thread.sleep(ARRIVAL_MILLIS);
			});
			assertThat(end.get(10, TimeUnit.SECONDS)).isEqualTo("failed, written: false, on the loop: true");
		}
		finally {
			group.shutdownGracefully();
		}
	}

	/**
	 * A channel that does not begin to open before it is told to.
	 */
	private static final class SlowlyOpenedChannel extends NioSocketChannel {

		private final InetSocketAddress address;

		SlowlyOpenedChannel(InetSocketAddress address) {
			this.address = address;
		}

		@Override
		protected boolean doConnect(SocketAddress remoteAddress, SocketAddress localAddress) {
			return false;
		}

		void open() throws Exception {
			super.doConnect(this.address, null);
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
