package io.dotterelcrank.daemon.relay;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;

/**
 * A target that responds to each request with the next script: bytes to send, optionally
 * followed by {@link #CLOSE} or {@link #RESET}.
 */
public final class ScriptedTarget implements AutoCloseable {

	/** At the end of a script: closes the connection. */
	public static final String CLOSE = "<close>";

	/** At the end of a script: resets the connection. */
	public static final String RESET = "<reset>";

	/** Inside a script: what follows is written a moment later, with another call. */
	public static final String PAUSE = "<pause>";

	/** Inside a script: what follows is done after {@link #tell}. */
	static final String WHEN_TOLD = "<when-told>";

	/**
	 * Inside a script: what {@link #respondLateWith} holds is written on the first
	 * connection, unless it is closed.
	 */
	public static final String LATE = "<late>";

	/**
	 * Inside a script: what precedes is written only on a connection that has served a
	 * request before.
	 */
	private static final String IF_KEPT = "<if-kept>";

	private static final long PAUSE_MILLIS = 20;

	private final ServerSocket server;

	private final BlockingQueue<String> scripts = new LinkedBlockingQueue<>();

	/** Requests received, as text. */
	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	/** Bytes for {@link #LATE}. */
	private volatile String lateBytes = "";

	/** One permit for each request that was received. */
	private final Semaphore received = new Semaphore(0);

	/** One permit for each script that was written to its end. */
	private final Semaphore written = new Semaphore(0);

	/** One permit for each call of {@link #tell}. */
	private final Semaphore told = new Semaphore(0);

	private volatile int connections;

	public ScriptedTarget() throws IOException {
		this.server = new ServerSocket(0, 50, new InetSocketAddress("127.0.0.1", 0).getAddress());
		Thread thread = new Thread(this::accept, "target");
		thread.setDaemon(true);
		thread.start();
	}

	public InetSocketAddress address() {
		return new InetSocketAddress("127.0.0.1", this.server.getLocalPort());
	}

	public void respondWith(String script) {
		this.scripts.add(script);
	}

	/**
	 * Responds to the next request, after a late copy of an earlier response if the
	 * connection has served a request before.
	 * @param copy the copy
	 * @param script what follows
	 */
	public void respondWithCopyIfKept(String copy, String script) {
		this.scripts.add(copy + IF_KEPT + script);
	}

	/**
	 * Waits until scripts have been written to their end.
	 * @param count number of scripts, besides those awaited before
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitScriptsWritten(int count) throws InterruptedException {
		this.written.acquire(count);
	}

	/**
	 * Waits until a request has been received, besides those awaited before.
	 */
	void awaitRequest() throws InterruptedException {
		this.received.acquire();
	}

	/** Goes on with a script that waits for this call. */
	void tell() {
		this.told.release();
	}

	void respondLateWith(String bytes) {
		this.lateBytes = bytes;
	}

	List<String> requests() {
		return this.requests;
	}

	public int connections() {
		return this.connections;
	}

	private void accept() {
		try {
			while (!this.server.isClosed()) {
				Socket socket = this.server.accept();
				this.connections++;
				this.sockets.add(socket);
				Thread thread = new Thread(() -> serve(socket), "target-connection");
				thread.setDaemon(true);
				thread.start();
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	private void serve(Socket socket) {
		boolean kept = false;
		try (socket) {
			while (true) {
				this.requests.add(read(socket.getInputStream()));
				this.received.release();
				String script = this.scripts.take();
				script = kept ? script.replace(IF_KEPT, "") : script.replaceFirst("(?s)^.*" + IF_KEPT, "");
				kept = true;
				boolean close = script.endsWith(CLOSE);
				boolean reset = script.endsWith(RESET);
				int told = script.indexOf(WHEN_TOLD);
				if (told >= 0) {
					write(socket, script.substring(0, told).split(PAUSE));
					this.told.acquire();
					script = script.substring(told + WHEN_TOLD.length());
				}
				String[] parts = script.replace(CLOSE, "").replace(RESET, "").split(LATE);
				write(socket, parts[0].split(PAUSE));
				if (parts.length > 1) {
					writeLate();
					write(socket, parts[1].split(PAUSE));
				}
				if (reset) {
					socket.setSoLinger(true, 0);
				}
				if (close || reset) {
					socket.close();
				}
				this.written.release();
				if (close || reset) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The other side has closed the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void writeLate() throws InterruptedException {
		try {
			write(this.sockets.get(0), new String[] { this.lateBytes });
		}
		catch (IOException ex) {
			// The first connection is closed.
		}
	}

	private static void write(Socket socket, String[] pieces) throws IOException, InterruptedException {
		socket.setTcpNoDelay(true);
		for (int i = 0; i < pieces.length; i++) {
			if (i > 0) {
				Thread.sleep(PAUSE_MILLIS);
			}
			socket.getOutputStream().write(pieces[i].getBytes(StandardCharsets.ISO_8859_1));
			socket.getOutputStream().flush();
		}
	}

	private static String read(InputStream input) throws IOException {
		ByteArrayOutputStream head = new ByteArrayOutputStream();
		while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
			int next = input.read();
			if (next < 0) {
				throw new IOException("closed");
			}
			head.write(next);
		}
		String text = head.toString(StandardCharsets.ISO_8859_1);
		int lengthHeader = text.toLowerCase().indexOf("content-length: ");
		if (lengthHeader < 0) {
			return text;
		}
		int start = lengthHeader + "content-length: ".length();
		int count = Integer.parseInt(text.substring(start, text.indexOf('\r', start)).trim());
		return text + new String(input.readNBytes(count), StandardCharsets.ISO_8859_1);
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
