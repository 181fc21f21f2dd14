package io.dotterelcrank.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller has closed its connection before its request is sent or while it
 * is open. Bytes of further requests are kept for the server. Stateless.
 */
final class DisconnectWatcher {

	private DisconnectWatcher() {
	}

	/**
	 * Reads what has arrived behind a request whose body has been read, the close of the
	 * connection included. Must be called on the I/O thread.
	 * @param exchange the exchange
	 * @return whether the caller is still connected
	 */
	static boolean callerConnected(HttpServerExchange exchange) {
		if (exchange.getConnection() instanceof HttpServerConnection connection) {
			readArrived(connection);
		}
		return exchange.getConnection().isOpen();
	}

	/**
	 * Watches the connection of a request whose body has been read. A disconnect behind
	 * more bytes of further requests than a buffer holds is not detected before the first
	 * request completes.
	 * @param exchange the exchange
	 * @param onDisconnect called when the connection has closed
	 */
	static void watch(HttpServerExchange exchange, Runnable onDisconnect) {
		DisconnectListener listener = DisconnectListener.of(exchange.getConnection());
		listener.set(onDisconnect);
		exchange.addExchangeCompleteListener((completed, next) -> {
			listener.clear();
			next.proceed();
		});
		if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
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
				source.setReadReadyHandler(new EndOfInputHandler(connection));
				source.resumeReads();
			}
		});
	}

	/**
	 * Reads until nothing more has arrived, and closes the connection at its end.
	 * @param connection the connection
	 * @return whether more can be read later
	 */
	private static boolean readArrived(HttpServerConnection connection) {
		PooledByteBuffer buffer = connection.getByteBufferPool().allocate();
		boolean kept = false;
		try {
			ByteBuffer bytes = buffer.getBuffer();
			PooledByteBuffer earlier = connection.getExtraBytes();
			int earlierCount = 0;
			if (earlier != null) {
				bytes.put(earlier.getBuffer().duplicate());
				earlierCount = bytes.position();
			}
			boolean ended = !readInto(bytes, connection.getOriginalSourceConduit());
			boolean full = !bytes.hasRemaining();
			if (ended) {
				connection.close();
			}
			else if (bytes.position() > earlierCount) {
				bytes.flip();
				connection.setExtraBytes(buffer);
				kept = true;
				if (earlier != null) {
					earlier.close();
				}
			}
			return !ended && !full;
		}
		catch (IOException ex) {
			IoUtils.safeClose(connection);
			return false;
		}
		finally {
			if (!kept) {
				buffer.close();
			}
		}
	}

	/**
	 * Reads until nothing more has arrived or the buffer is full.
	 * @param bytes the buffer
	 * @param source the source
	 * @return {@code false} at the end of the source
	 * @throws IOException if the source is broken
	 */
	private static boolean readInto(ByteBuffer bytes, StreamSourceConduit source) throws IOException {
		int count = 1;
		while (count > 0 && bytes.hasRemaining()) {
			count = source.read(bytes);
		}
		return count >= 0;
	}

	/**
	 * Listener of the request that a connection serves. Invariant: registered once for a
	 * connection, whatever the number of its requests, and keeps none that has ended.
	 * Thread-safe.
	 */
	private static final class DisconnectListener {

		private static final AttachmentKey<DisconnectListener> KEY = AttachmentKey.create(DisconnectListener.class);

		private static final Runnable NO_OP = () -> {
		};

		private volatile Runnable listener = NO_OP;

		/**
		 * Returns the listener of a connection, which is registered if it has none. Must
		 * be called on the I/O thread.
		 * @param connection the connection
		 * @return the listener
		 */
		static DisconnectListener of(ServerConnection connection) {
			DisconnectListener existing = connection.getAttachment(KEY);
			if (existing != null) {
				return existing;
			}
			DisconnectListener created = new DisconnectListener();
			connection.putAttachment(KEY, created);
			connection.addCloseListener((closed) -> created.listener.run());
			return created;
		}

		void set(Runnable onDisconnect) {
			this.listener = onDisconnect;
		}

		void clear() {
			this.listener = NO_OP;
		}

	}

	/**
	 * Closes the connection at the end of its input.
	 */
	private static final class EndOfInputHandler implements ReadReadyHandler {

		private final HttpServerConnection connection;

		EndOfInputHandler(HttpServerConnection connection) {
			this.connection = connection;
		}

		@Override
		public void readReady() {
			if (!readArrived(this.connection)) {
				this.connection.getOriginalSourceConduit().suspendReads();
			}
		}

		@Override
		public void forceTermination() {
			IoUtils.safeClose(this.connection);
		}

		@Override
		public void terminated() {
			// The close listener reports the disconnect.
		}

	}

}
