package io.dotterelcrank.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Notices that a caller has closed its connection while its request is open. Stateless.
 */
final class DisconnectWatch {

	private DisconnectWatch() {
	}

	/**
	 * Watches the connection of a request whose body has been read. Callers that send a
	 * second request before the answer to the first are not watched.
	 * @param exchange the exchange
	 * @param gone what to do when the caller is gone
	 */
	static void watch(HttpServerExchange exchange, Runnable gone) {
		exchange.getConnection().addCloseListener((connection) -> gone.run());
		if (!(exchange.getConnection() instanceof HttpServerConnection connection)
				|| connection.getExtraBytes() != null) {
			return;
		}
		ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
		source.setReadListener((channel) -> readEnd(exchange, channel));
		source.resumeReads();
	}

	private static void readEnd(HttpServerExchange exchange, ConduitStreamSourceChannel channel) {
		try {
			int read = channel.read(ByteBuffer.allocate(1));
			if (read < 0) {
				exchange.getConnection().close();
			}
			else if (read > 0) {
				exchange.setPersistent(false);
				channel.suspendReads();
			}
		}
		catch (IOException ex) {
			closeQuietly(exchange);
		}
	}

	private static void closeQuietly(HttpServerExchange exchange) {
		try {
			exchange.getConnection().close();
		}
		catch (IOException ex) {
			exchange.setPersistent(false);
		}
	}

}
