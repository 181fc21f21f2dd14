package io.dotterelcrank.daemon.client;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;

import javax.net.SocketFactory;

/**
 * Creates sockets that receive up to a number of bytes. Addresses servers that write
 * without end until their caller's heap is full: the library bounds heads, but neither
 * bodies nor the line with the size of a chunk. A connection serves one request only.
 * Stateless.
 */
final class LimitedSocketFactory extends SocketFactory {

	/** Max size of a response, its head included, in bytes. */
	static final long MAX_BYTES = 32L * 1024 * 1024;

	@Override
	public Socket createSocket() {
		return new LimitedSocket();
	}

	@Override
	public Socket createSocket(String host, int port) {
		throw new UnsupportedOperationException("sockets are connected by the library");
	}

	@Override
	public Socket createSocket(String host, int port, InetAddress localHost, int localPort) {
		throw new UnsupportedOperationException("sockets are connected by the library");
	}

	@Override
	public Socket createSocket(InetAddress host, int port) {
		throw new UnsupportedOperationException("sockets are connected by the library");
	}

	@Override
	public Socket createSocket(InetAddress address, int port, InetAddress localAddress, int localPort) {
		throw new UnsupportedOperationException("sockets are connected by the library");
	}

	/**
	 * A socket whose input fails behind the limit. Reading is confined to one thread at a
	 * time.
	 */
	private static final class LimitedSocket extends Socket {

		private long receivedBytes;

		@Override
		public InputStream getInputStream() throws IOException {
			return new FilterInputStream(super.getInputStream()) {

				@Override
				public int read() throws IOException {
					byte[] single = new byte[1];
					return (read(single, 0, 1) < 0) ? -1 : Byte.toUnsignedInt(single[0]);
				}

				@Override
				public int read(byte[] buffer, int offset, int length) throws IOException {
					int count = super.read(buffer, offset, length);
					LimitedSocket.this.receivedBytes += Math.max(0, count);
					if (LimitedSocket.this.receivedBytes > MAX_BYTES) {
						throw new IOException("response larger than " + MAX_BYTES + " bytes");
					}
					return count;
				}

			};
		}

	}

}
