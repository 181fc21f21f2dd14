package io.dotterelcrank.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller has closed its connection while its request is open. Stateless.
 */
final class DisconnectWatcher {

	private DisconnectWatcher() {
	}

	/**
	 * Watches the connection of a request whose body has been read. If the caller has
	 * already sent a second request (pipelining), its disconnect is not detected before
	 * the first request completes.
	 * @param exchange the exchange
	 * @param onDisconnect called when the connection has closed
	 */
	static void watch(HttpServerExchange exchange, Runnable onDisconnect) {
		exchange.getConnection().addCloseListener((connection) -> onDisconnect.run());
		if (!(exchange.getConnection() instanceof HttpServerConnection connection)
				|| connection.getExtraBytes() != null) {
			return;
		}
		StreamSourceConduit source = connection.getOriginalSourceConduit();
		ConduitStreamSourceChannel channel = connection.getChannel().getSourceChannel();
		exchange.addExchangeCompleteListener((completed, next) -> {
			source.suspendReads();
			source.setReadReadyHandler(new ReadReadyHandler.ChannelListenerHandler<>(channel));
			next.proceed();
		});
		exchange.getIoThread().execute(() -> {
			if (!exchange.isComplete()) {
				source.setReadReadyHandler(new EndOfInputHandler(exchange, source));
				source.resumeReads();
			}
		});
	}

	private static void closeQuietly(HttpServerExchange exchange) {
		try {
			exchange.getConnection().close();
		}
		catch (IOException ex) {
			exchange.setPersistent(false);
		}
	}

	/**
	 * Closes the connection at the end of its input. If a second request arrives instead,
	 * the connection is closed after the response to the first.
	 */
	private static final class EndOfInputHandler implements ReadReadyHandler {

		private final HttpServerExchange exchange;

		private final StreamSourceConduit source;

		EndOfInputHandler(HttpServerExchange exchange, StreamSourceConduit source) {
			this.exchange = exchange;
			this.source = source;
		}

		@Override
		public void readReady() {
			try {
				int bytesRead = this.source.read(ByteBuffer.allocate(1));
				if (bytesRead < 0) {
					this.exchange.getConnection().close();
				}
				else if (bytesRead > 0) {
					this.exchange.setPersistent(false);
					this.source.suspendReads();
				}
			}
			catch (IOException ex) {
				closeQuietly(this.exchange);
			}
		}

		@Override
		public void forceTermination() {
			closeQuietly(this.exchange);
		}

		@Override
		public void terminated() {
			// The close listener reports the disconnect.
		}

	}

}
