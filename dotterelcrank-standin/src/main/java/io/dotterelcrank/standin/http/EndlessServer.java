package io.dotterelcrank.standin.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A server that writes a part of a response without end, at full speed, on each
 * connection on which anything arrives. It may stand in front of a sound server, to which
 * it passes connections on while it writes nothing itself. Thread-safe.
 */
public final class EndlessServer implements AutoCloseable {

	/** Size of a write, in bytes. */
	private static final int BLOCK_BYTES = 16 * 1024;

	private static final int BACKLOG = 50;

	private final ServerSocket server;

	/** Where connections are passed on to; {@code null} if nowhere. */
	private final InetSocketAddress sound;

	/** What is written; {@code null} if connections are passed on. */
	private volatile EndlessPart part;

	/** Open connections. */
	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicLong writtenBytes = new AtomicLong();

	/** One permit for each connection that the other side has closed. */
	private final Semaphore ended = new Semaphore(0);

	private EndlessServer(EndlessPart part, InetSocketAddress sound) throws IOException {
		this.part = part;
		this.sound = sound;
		this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
		start(this::accept);
	}

	/**
	 * Starts a server.
	 * @param part what it writes
	 * @return a server at an address of its own
	 * @throws IOException if no address can be bound
	 */
	public static EndlessServer start(EndlessPart part) throws IOException {
		return new EndlessServer(part, null);
	}

	/**
	 * Starts a server in front of another one.
	 * @param sound address of the sound server
	 * @return a server at an address of its own that passes connections on
	 * @throws IOException if no address can be bound
	 */
	public static EndlessServer before(InetSocketAddress sound) throws IOException {
		return new EndlessServer(null, sound);
	}

	/**
	 * Changes what is written on new connections, and closes those that are open.
	 * @param next part that is written from now on; {@code null} to pass connections on
	 * @throws IOException if a connection cannot be closed
	 */
	public void write(EndlessPart next) throws IOException {
		this.part = next;
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	/**
	 * Returns where the server listens.
	 * @return loopback address
	 */
	public InetSocketAddress address() {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), this.server.getLocalPort());
	}

	/**
	 * Returns how much all connections have taken.
	 * @return number of bytes
	 */
	public long writtenBytes() {
		return this.writtenBytes.get();
	}

	/**
	 * Waits until the other side has closed connections.
	 * @param count number of connections, besides those awaited before
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitClosed(int count) throws InterruptedException {
		this.ended.acquire(count);
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				this.sockets.add(socket);
				EndlessPart written = this.part;
				start((written != null) ? () -> writeWithoutEnd(socket, written) : () -> passOn(socket));
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	private static void start(Runnable step) {
		Thread thread = new Thread(step, "endless-connection");
		thread.setDaemon(true);
		thread.start();
	}

	private void writeWithoutEnd(Socket socket, EndlessPart written) {
		try (socket) {
			OutputStream output = socket.getOutputStream();
			if (socket.getInputStream().read() < 0) {
				return;
			}
			output.write(written.beginning().getBytes(StandardCharsets.ISO_8859_1));
			byte[] block = written.unit()
				.repeat(BLOCK_BYTES / written.unit().length())
				.getBytes(StandardCharsets.ISO_8859_1);
			while (true) {
				output.write(block);
				this.writtenBytes.addAndGet(block.length);
			}
		}
		catch (IOException ex) {
			// The other side has closed the connection.
		}
		finally {
			this.sockets.remove(socket);
			this.ended.release();
		}
	}

	private void passOn(Socket socket) {
		try (socket; Socket onward = new Socket(this.sound.getAddress(), this.sound.getPort())) {
			onward.setTcpNoDelay(true);
			socket.setTcpNoDelay(true);
			start(() -> copy(onward, socket));
			copy(socket, onward);
		}
		catch (IOException ex) {
			// The sound server is away.
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	private static void copy(Socket from, Socket to) {
		try (to) {
			from.getInputStream().transferTo(to.getOutputStream());
		}
		catch (IOException ex) {
			// One of the connections is closed.
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		write(null);
	}

}
