package io.dotterelcrank.connection;

import java.util.function.Consumer;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;

import io.dotterelcrank.common.Scheduler.ScheduledTask;

/**
 * Timeout of connections that are being opened. Invariant: one that is open when its time
 * is over is not failed, though the loop may see it open later. Replaces Netty's own
 * timeout, which runs before the loop has seen that a connection is open, and must be
 * off. Stateless.
 */
public final class ConnectTimeout {

	private ConnectTimeout() {
	}

	/**
	 * Closes a channel unless it is connected in time.
	 * @param connect future of the connection
	 * @param timeoutMillis connection timeout, in milliseconds
	 * @param listener called with the cause, on the event loop, before the channel is
	 * closed
	 */
	public static void limit(ChannelFuture connect, long timeoutMillis, Consumer<ConnectTimeoutException> listener) {
		if (connect.isDone()) {
			return;
		}
		ScheduledTask timeout = EventLoopTimer.schedule(connect.channel().eventLoop(), timeoutMillis, () -> {
			if (!connect.isDone()) {
				try {
					listener.accept(new ConnectTimeoutException("timed out after " + timeoutMillis + " ms"));
				}
				finally {
					connect.channel().close();
				}
			}
		});
		connect.addListener((opened) -> timeout.cancel());
	}

}
