package io.dotterelcrank.daemon.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Reads what has arrived at a caller's connection without waiting for the event loop to
 * do so, and notifies of bytes before they are decoded. Confined to the traffic thread.
 */
final class ArrivedBytes extends ChannelInboundHandlerAdapter {

	/** Max number of reads at a time; a caller may send without end. */
	private static final int MAX_READS = 16;

	private final Channel channel;

	private final Runnable listener;

	/** Whether bytes that have arrived are being handled. */
	private boolean handling;

	/** Number of reads that have brought bytes. */
	private long reads;

	/**
	 * Creates a handler, to be placed before the decoder.
	 * @param channel the connection
	 * @param listener called before bytes are decoded
	 */
	ArrivedBytes(Channel channel, Runnable listener) {
		this.channel = channel;
		this.listener = listener;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.reads++;
		this.listener.run();
		this.handling = true;
		try {
			context.fireChannelRead(message);
		}
		finally {
			this.handling = false;
		}
	}

	/**
	 * Reads until nothing more has arrived, as the close of the connection may lie behind
	 * other bytes. The channel is closed if it does.
	 */
	void read() {
		long readsBefore = this.reads - 1;
		for (int i = 0; i < MAX_READS && readable() && this.reads > readsBefore; i++) {
			readsBefore = this.reads;
			CallerServer.read(this.channel);
		}
	}

	private boolean readable() {
		return !this.handling && this.channel.isOpen() && this.channel.config().isAutoRead();
	}

}
