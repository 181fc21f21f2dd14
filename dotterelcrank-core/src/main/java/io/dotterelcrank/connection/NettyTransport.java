package io.dotterelcrank.connection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;

/**
 * Links over TCP, with a four-byte length field before each frame. The length is checked
 * against {@link #MAX_FRAME_BYTES} before a frame is buffered. Thread-safe.
 */
final class NettyTransport implements Transport {

	/** Maximum length of a frame, including its length field, in bytes. */
	static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

	private static final int LENGTH_BYTES = 4;

	/** A link with more unsent bytes is not writable. */
	private static final int HIGH_WATER_BYTES = 256 * 1024;

	/** A link becomes writable again below this number of unsent bytes. */
	private static final int LOW_WATER_BYTES = 64 * 1024;

	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	static final int TRAFFIC_THREADS = 2;

	private static final Logger logger = LoggerFactory.getLogger(NettyTransport.class);

	/** Supplies the configuration version that each frame carries. */
	private final LongSupplier version;

	private final MessageCodec codec = MessageCodec.create();

	private final EventLoopGroup eventLoops;

	/** Closes the event loops unless they belong to the caller. */
	private final Runnable closeEventLoops;

	/** The last message sent, as load reports go to many links one after the other. */
	private volatile EncodedMessage lastEncoded;

	/** In bytes, like the three counters below. */
	private final LongAdder controlSent = new LongAdder();

	private final LongAdder controlReceived = new LongAdder();

	private final LongAdder requestSent = new LongAdder();

	private final LongAdder requestReceived = new LongAdder();

	NettyTransport(LongSupplier version, EventLoopGroup eventLoops, Runnable closeEventLoops) {
		this.version = version;
		this.eventLoops = eventLoops;
		this.closeEventLoops = closeEventLoops;
	}

	@Override
	public InetSocketAddress listen(InetSocketAddress address, Link.Listener listener) throws IOException {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
			.childHandler(initializer(() -> new ChannelLink(listener)));
		ChannelFuture bindFuture = bootstrap.bind(address).awaitUninterruptibly();
		if (!bindFuture.isSuccess()) {
			throw new IOException("cannot bind " + address + ": " + bindFuture.cause().getMessage(),
					bindFuture.cause());
		}
		return (InetSocketAddress) bindFuture.channel().localAddress();
	}

	@Override
	public Link open(InetSocketAddress address, Link.Listener listener) {
		ChannelLink link = new ChannelLink(listener);
		ChannelFuture connect = new Bootstrap().group(this.eventLoops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
			.handler(initializer(() -> link))
			.connect(address);
		connect.addListener((future) -> {
			if (!future.isSuccess()) {
				link.notifyClosed();
			}
		});
		ConnectTimeout.limit(connect, CONNECT_TIMEOUT_MILLIS, (cause) -> link.notifyClosed());
		return link;
	}

	private ChannelInitializer<Channel> initializer(Supplier<ChannelLink> links) {
		return new ChannelInitializer<>() {

			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline()
					.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
					.addLast(links.get());
			}

		};
	}

	@Override
	public Traffic traffic() {
		return new Traffic(this.controlSent.sum(), this.controlReceived.sum(), this.requestSent.sum(),
				this.requestReceived.sum());
	}

	@Override
	public void close() {
		this.closeEventLoops.run();
	}

	private byte[] encode(Message message) throws IOException {
		long sentVersion = this.version.getAsLong();
		EncodedMessage last = this.lastEncoded;
		if (last == null || last.message != message || last.version != sentVersion) {
			last = new EncodedMessage(message, sentVersion, this.codec.encode(message, sentVersion));
			this.lastEncoded = last;
		}
		return last.content;
	}

	/**
	 * A message with its bytes, which are not modified.
	 *
	 * @param message the message, compared by identity
	 * @param version configuration version of the sender
	 * @param content content without the length field
	 */
	private record EncodedMessage(Message message, long version, byte[] content) {
	}

	/**
	 * One connection. Messages sent before it is open are queued.
	 */
	private final class ChannelLink extends SimpleChannelInboundHandler<ByteBuf> implements Link {

		private final Listener listener;

		/** Queued until the connection is open; guarded by this. */
		private final Queue<Message> sentBeforeOpen = new ArrayDeque<>();

		/** {@code null} before the connection is open; written while holding this. */
		private volatile Channel channel;

		/** Whether a skipped frame was logged; used by the thread that reads. */
		private boolean skipLogged;

		/** Guarded by this. */
		private boolean closed;

		ChannelLink(Listener listener) {
			this.listener = listener;
		}

		@Override
		public void send(Message message) {
			Channel openChannel;
			synchronized (this) {
				if (this.closed) {
					return;
				}
				if (this.channel == null) {
					this.sentBeforeOpen.add(message);
					return;
				}
				openChannel = this.channel;
			}
			write(openChannel, message);
		}

		private void write(Channel openChannel, Message message) {
			try {
				byte[] content = NettyTransport.this.encode(message);
				LongAdder counter = Transport.isControl(message) ? NettyTransport.this.controlSent
						: NettyTransport.this.requestSent;
				counter.add(content.length + LENGTH_BYTES);
				ByteBuf frame = openChannel.alloc().ioBuffer(LENGTH_BYTES + content.length);
				frame.writeInt(content.length).writeBytes(content);
				openChannel.writeAndFlush(frame, openChannel.voidPromise());
			}
			catch (IOException ex) {
				LogEvent.FRAME_NOT_ENCODED.log(logger, peerAddress(), ex.getMessage());
				close();
			}
		}

		@Override
		public boolean writable() {
			Channel openChannel = this.channel;
			return openChannel != null && openChannel.isWritable();
		}

		@Override
		public void close() {
			Channel openChannel;
			synchronized (this) {
				openChannel = this.channel;
			}
			if (openChannel != null) {
				openChannel.close();
			}
			else {
				notifyClosed();
			}
		}

		@Override
		public void runAfterReads(Runnable task) {
			Channel openChannel = this.channel;
			if (openChannel != null) {
				EventLoopTimer.schedule(openChannel.eventLoop(), 0, task);
			}
			else {
				task.run();
			}
		}

		@Override
		public String peerAddress() {
			Channel openChannel = this.channel;
			return (openChannel != null) ? String.valueOf(openChannel.remoteAddress()) : "not connected";
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			boolean closedBeforeOpen;
			synchronized (this) {
				closedBeforeOpen = this.closed;
				if (!closedBeforeOpen) {
					this.channel = context.channel();
					this.sentBeforeOpen.forEach((message) -> write(this.channel, message));
					this.sentBeforeOpen.clear();
				}
			}
			if (closedBeforeOpen) {
				context.close();
				return;
			}
			this.listener.opened(this);
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
			byte[] content = new byte[frame.readableBytes()];
			frame.readBytes(content);
			MessageCodec.Envelope envelope;
			try {
				envelope = NettyTransport.this.codec.decode(content);
			}
			catch (MessageCodec.UnknownTypeException ex) {
				if (!this.skipLogged) {
					this.skipLogged = true;
					LogEvent.FRAME_SKIPPED.log(logger, peerAddress(), ex.getMessage());
				}
				return;
			}
			catch (IOException ex) {
				LogEvent.FRAME_MALFORMED.log(logger, peerAddress(), ex.getMessage());
				context.close();
				return;
			}
			LongAdder counter = Transport.isControl(envelope.message()) ? NettyTransport.this.controlReceived
					: NettyTransport.this.requestReceived;
			counter.add(content.length + LENGTH_BYTES);
			this.listener.received(this, envelope.version(), envelope.message());
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			if (context.channel().isWritable()) {
				this.listener.writable(this);
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			notifyClosed();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			if (cause instanceof TooLongFrameException) {
				LogEvent.FRAME_TOO_LARGE.log(logger, peerAddress(), cause.getMessage());
			}
			else {
				LogEvent.LINK_BROKEN.log(logger, peerAddress(), cause.getMessage());
			}
			context.close();
		}

		private void notifyClosed() {
			synchronized (this) {
				if (this.closed) {
					return;
				}
				this.closed = true;
				this.sentBeforeOpen.clear();
			}
			this.listener.closed(this);
		}

	}

}
