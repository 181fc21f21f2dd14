package io.dotterelcrank.connection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.TooLongFrameException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;

/**
 * Links over TCP with a four-byte length before each frame. The length is checked against
 * {@link #MAX_FRAME_BYTES} before a frame is buffered. Thread-safe.
 */
final class NettyTransport implements Transport {

	/** Largest frame, in bytes. */
	static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

	/** Size of the length field, in bytes. */
	private static final int LENGTH_BYTES = 4;

	/** Bytes waiting to be sent above which a link is not writable. */
	private static final int HIGH_WATER_BYTES = 256 * 1024;

	/** Bytes waiting to be sent below which a link is writable again. */
	private static final int LOW_WATER_BYTES = 64 * 1024;

	/** Longest time for a connection attempt, in milliseconds. */
	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	/** Number of threads for traffic. */
	private static final int TRAFFIC_THREADS = 2;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(NettyTransport.class);

	/** Supplies the version that each frame carries. */
	private final LongSupplier version;

	/** Encodes and decodes messages. */
	private final MessageCodec codec = MessageCodec.create();

	/** Threads of the connections. */
	private final EventLoopGroup loops = new NioEventLoopGroup(TRAFFIC_THREADS);

	/** Bytes of control messages sent. */
	private final LongAdder controlSent = new LongAdder();

	/** Bytes of control messages received. */
	private final LongAdder controlReceived = new LongAdder();

	/** Bytes of request messages sent. */
	private final LongAdder requestSent = new LongAdder();

	/** Bytes of request messages received. */
	private final LongAdder requestReceived = new LongAdder();

	NettyTransport(LongSupplier version) {
		this.version = version;
	}

	@Override
	public InetSocketAddress listen(InetSocketAddress address, Link.Listener listener) throws IOException {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.loops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
			.childHandler(initializer(() -> new ChannelLink(listener)));
		ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("cannot bind " + address + ": " + bound.cause().getMessage(), bound.cause());
		}
		return (InetSocketAddress) bound.channel().localAddress();
	}

	@Override
	public Link open(InetSocketAddress address, Link.Listener listener) {
		ChannelLink link = new ChannelLink(listener);
		new Bootstrap().group(this.loops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
			.handler(initializer(() -> link))
			.connect(address)
			.addListener((ChannelFuture future) -> {
				if (!future.isSuccess()) {
					link.end();
				}
			});
		return link;
	}

	private ChannelInitializer<Channel> initializer(Supplier<ChannelLink> links) {
		return new ChannelInitializer<>() {

			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline()
					.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
					.addLast(new LengthFieldPrepender(LENGTH_BYTES))
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
		this.loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/**
	 * One connection. Messages sent before it is open wait in order.
	 */
	private final class ChannelLink extends SimpleChannelInboundHandler<ByteBuf> implements Link {

		/** Hears what happens. */
		private final Listener listener;

		/** Messages sent before the connection was open; guarded by this. */
		private final Queue<Message> early = new ArrayDeque<>();

		/** The connection, or {@code null} before it is open; written under this. */
		private volatile Channel channel;

		/** Whether the link has ended; guarded by this. */
		private boolean ended;

		ChannelLink(Listener listener) {
			this.listener = listener;
		}

		@Override
		public void send(Message message) {
			Channel open;
			synchronized (this) {
				if (this.ended) {
					return;
				}
				if (this.channel == null) {
					this.early.add(message);
					return;
				}
				open = this.channel;
			}
			write(open, message);
		}

		private void write(Channel open, Message message) {
			try {
				byte[] content = NettyTransport.this.codec.encode(message, NettyTransport.this.version.getAsLong());
				LongAdder counter = Transport.isControl(message) ? NettyTransport.this.controlSent
						: NettyTransport.this.requestSent;
				counter.add(content.length + LENGTH_BYTES);
				open.writeAndFlush(Unpooled.wrappedBuffer(content), open.voidPromise());
			}
			catch (IOException ex) {
				LogEvent.FRAME_NOT_ENCODED.log(logger, peerAddress(), ex.getMessage());
				close();
			}
		}

		@Override
		public boolean writable() {
			Channel open = this.channel;
			return open != null && open.isWritable();
		}

		@Override
		public void close() {
			Channel open;
			synchronized (this) {
				open = this.channel;
			}
			if (open != null) {
				open.close();
			}
			else {
				end();
			}
		}

		@Override
		public String peerAddress() {
			Channel open = this.channel;
			return (open != null) ? String.valueOf(open.remoteAddress()) : "not connected";
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			boolean abandoned;
			synchronized (this) {
				abandoned = this.ended;
				if (!abandoned) {
					this.channel = context.channel();
					this.early.forEach((message) -> write(this.channel, message));
					this.early.clear();
				}
			}
			if (abandoned) {
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
			end();
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

		private void end() {
			synchronized (this) {
				if (this.ended) {
					return;
				}
				this.ended = true;
				this.early.clear();
			}
			this.listener.closed(this);
		}

	}

}
