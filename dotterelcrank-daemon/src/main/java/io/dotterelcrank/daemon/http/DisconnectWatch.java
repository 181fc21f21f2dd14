package io.dotterelcrank.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

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
		StreamSourceConduit source = connection.getOriginalSourceConduit();
		ConduitStreamSourceChannel channel = connection.getChannel().getSourceChannel();
		exchange.addExchangeCompleteListener((completed, next) -> {
			source.suspendReads();
			source.setReadReadyHandler(new ReadReadyHandler.ChannelListenerHandler<>(channel));
			next.proceed();
		});
		exchange.getIoThread().execute(() -> {
			if (!exchange.isComplete()) {
				source.setReadReadyHandler(new EndHandler(exchange, source));
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
	 * Is told when the connection can be read. When a further request comes before the
	 * answer, the connection is closed after the answer.
	 */
	private static final class EndHandler implements ReadReadyHandler {

		/** The exchange. */
		private final HttpServerExchange exchange;

		/** The connection's input. */
		private final StreamSourceConduit source;

		EndHandler(HttpServerExchange exchange, StreamSourceConduit source) {
			this.exchange = exchange;
			this.source = source;
		}

		@Override
		public void readReady() {
			try {
				int read = this.source.read(ByteBuffer.allocate(1));
				if (read < 0) {
					this.exchange.getConnection().close();
				}
				else if (read > 0) {
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
			// The close listener tells that the caller is gone.
		}

	}

}
