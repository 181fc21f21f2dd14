package io.dotterelcrank.connection;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

/**
 * Tests for {@link NettyTransport} over loopback sockets.
 */
class NettyTransportTests {

	private static final long EVENT_TIMEOUT_SECONDS = 30;

	private final Transport transport = Transport.overTcp(() -> 5);

	private final RecordingListener accepted = new RecordingListener();

	private InetSocketAddress address;

	@BeforeEach
	void listen() throws IOException {
		this.address = this.transport.listen(new InetSocketAddress("127.0.0.1", 0), this.accepted);
	}

	@AfterEach
	void close() {
		this.transport.close();
	}

	@Test
	void deliversMessagesSentBeforeTheLinkIsOpen() throws InterruptedException {
		Link link = this.transport.open(this.address, new RecordingListener());
		link.send(new Message.Cancel("a"));
		link.send(new Message.Cancel("b"));
		assertThat(this.accepted.nextEvent()).isEqualTo("received 5 Cancel[id=a]");
		assertThat(this.accepted.nextEvent()).isEqualTo("received 5 Cancel[id=b]");
	}

	@Test
	void reportsALinkThatCannotBeOpened() throws Exception {
		try (ServerSocket unused = new ServerSocket(0)) {
			int port = unused.getLocalPort();
			unused.close();
			RecordingListener recorder = new RecordingListener();
			this.transport.open(new InetSocketAddress("127.0.0.1", port), recorder);
			assertThat(recorder.nextEvent()).isEqualTo("closed");
		}
	}

	@Test
	void closesOnlyTheConnectionWithAnOversizedFrame() throws Exception {
		sendRaw(ByteBuffer.allocate(8).putInt(Integer.MAX_VALUE).putInt(0).array());
		assertThat(this.accepted.nextEvent()).isEqualTo("closed");
		assertStillAccepts();
	}

	@Test
	void closesOnlyTheConnectionWithAMalformedFrame() throws Exception {
		sendRaw(new byte[] { 0, 0, 0, 3, (byte) 0xc1, 1, 2 });
		assertThat(this.accepted.nextEvent()).isEqualTo("closed");
		assertStillAccepts();
	}

	@Test
	void skipsMessagesOfATypeThatItDoesNotKnow() throws Exception {
		byte[] unknown = { 0, 0, 0, 3, 0x7f, 5, (byte) 0x90 };
		byte[] known = MessageCodec.create().encode(new Message.Cancel("a"), 5);
		byte[] frames = ByteBuffer.allocate(unknown.length + 4 + known.length)
			.put(unknown)
			.putInt(known.length)
			.put(known)
			.array();
		try (Socket socket = new Socket(this.address.getAddress(), this.address.getPort())) {
			for (int i = 0; i < 2; i++) {
				socket.getOutputStream().write(frames);
				assertThat(this.accepted.nextEvent()).isEqualTo("received 5 Cancel[id=a]");
			}
		}
	}

	private void sendRaw(byte[] bytes) throws IOException {
		try (Socket socket = new Socket(this.address.getAddress(), this.address.getPort())) {
			OutputStream out = socket.getOutputStream();
			out.write(bytes);
			out.flush();
			assertThat(socket.getInputStream().read()).isEqualTo(-1);
		}
	}

	private void assertStillAccepts() throws InterruptedException {
		this.transport.open(this.address, new RecordingListener()).send(new Message.Cancel("c"));
		assertThat(this.accepted.nextEvent()).isEqualTo("received 5 Cancel[id=c]");
	}

	@Test
	void rejectsAnAddressInUse() {
		assertThatIOException().isThrownBy(() -> this.transport.listen(this.address, this.accepted))
			.withMessageContaining("cannot bind");
	}

	@RepeatedTest(20)
	void whatHasArrivedIsReadBeforeATaskThatIsToRunAfterReads() throws Exception {
		EventLoopGroup oneThread = new NioEventLoopGroup(1);
		Transport single = Transport.overTcp(() -> 0, oneThread);
		try {
			RecordingListener recorder = new RecordingListener();
			Link link = single.open(this.address, recorder);
			link.send(new Message.Cancel("a"));
			this.accepted.nextEvent();
			CountDownLatch held = new CountDownLatch(1);
			CountDownLatch hold = new CountDownLatch(1);
			oneThread.execute(() -> {
				held.countDown();
				awaitUninterruptibly(hold);
			});
			held.await();
			this.accepted.lastLink.send(new Message.Cancel("b"));
			link.runAfterReads(() -> recorder.events.add("after reads"));
			Thread.sleep(20);
			hold.countDown();
			assertThat(recorder.nextEvent()).startsWith("received");
			assertThat(recorder.nextEvent()).isEqualTo("after reads");
		}
		finally {
			oneThread.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		}
	}

	private static void awaitUninterruptibly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Records messages and closed links as strings.
	 */
	private static final class RecordingListener implements Link.Listener {

		private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

		private volatile Link lastLink;

		String nextEvent() throws InterruptedException {
			return this.events.poll(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}

		@Override
		public void opened(Link link) {
			// Not recorded.
		}

		@Override
		public void received(Link link, long version, Message message) {
			this.lastLink = link;
			this.events.add("received " + version + " " + message);
		}

		@Override
		public void writable(Link link) {
			// Not recorded.
		}

		@Override
		public void closed(Link link) {
			this.events.add("closed");
		}

	}

}
