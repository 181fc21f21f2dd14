package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Holds up the thread of an event loop while it handles a read: what becomes due and what
 * arrives meanwhile is found in the same turn and the next one.
 */
final class HeldThread {

	private HeldThread() {
	}

	/**
	 * Runs a step in a read.
	 * @param loop the event loop
	 * @param step what happens meanwhile; runs on the thread of the loop
	 */
	static void whileHeld(EventLoop loop, Step step) throws Exception {
		CompletableFuture<Void> end = new CompletableFuture<>();
		try (Connection connection = connect(loop, new SimpleChannelInboundHandler<ByteBuf>() {

			@Override
			protected void channelRead0(ChannelHandlerContext context, ByteBuf message) throws Exception {
				step.run();
				end.complete(null);
			}

			@Override
			public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
				end.completeExceptionally(cause);
			}

		})) {
			connection.send();
			end.get(30, TimeUnit.SECONDS);
		}
	}

	/**
	 * Opens a connection that an event loop reads.
	 * @param loop the event loop
	 * @param handler receives what is read
	 * @return the connection, to be closed by the test
	 */
	static Connection connect(EventLoop loop, ChannelHandler handler) throws IOException, InterruptedException {
		try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			SocketChannel channel = SocketChannel.open();
			new Bootstrap().group(loop)
				.channelFactory(() -> new NioSocketChannel(channel))
				.handler(handler)
				.connect(new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()))
				.sync();
			return new Connection(listener.accept(), channel);
		}
	}

	/**
	 * A connection.
	 *
	 * @param peer the other side
	 * @param channel the side that the event loop reads
	 */
	record Connection(Socket peer, SocketChannel channel) implements AutoCloseable {

		/**
		 * Sends a byte.
		 */
		void send() throws IOException {
			this.peer.getOutputStream().write(0);
		}

		/**
		 * Sends a byte and waits until it has arrived, while the loop does not read it.
		 */
		void sendAndAwaitArrival() throws IOException {
			send();
			while (this.channel.socket().getInputStream().available() == 0) {
				Thread.onSpinWait();
			}
		}

		@Override
		public void close() throws IOException {
			this.peer.close();
		}

	}

	/**
	 * What happens while the thread is held up.
	 */
	@FunctionalInterface
	interface Step {

		/**
		 * Runs on the thread.
		 */
		void run() throws Exception;

	}

}
