package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Blocking server on a loopback address with one thread for each connection. */
final class Server {

	interface Connection {

		void serve(BufferedInputStream in, Socket socket) throws Exception;

	}

	private final ServerSocket socket;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private Server(ServerSocket socket) {
		this.socket = socket;
	}

	static Server start(String ip, Connection connection) throws IOException {
		ServerSocket socket = new ServerSocket(0, 512, InetAddress.getByName(ip));
		Server server = new Server(socket);
		thread("accept", () -> {
			while (true) {
				Socket accepted = socket.accept();
				accepted.setTcpNoDelay(true);
				server.connections.add(accepted);
				thread("serve", () -> {
					try (accepted) {
						connection.serve(new BufferedInputStream(accepted.getInputStream()), accepted);
					}
					catch (IOException ex) {
						// The other side has gone.
					}
					finally {
						server.connections.remove(accepted);
					}
				});
			}
		});
		return server;
	}

	InetSocketAddress address() {
		return (InetSocketAddress) this.socket.getLocalSocketAddress();
	}

	void closeConnections() {
		for (Socket connection : this.connections) {
			try {
				connection.close();
			}
			catch (IOException ex) {
				// It is closed all the same.
			}
		}
	}

	String text() {
		return address().getAddress().getHostAddress() + ':' + address().getPort();
	}

	interface Task {

		void run() throws Exception;

	}

	static Thread thread(String name, Task task) {
		Thread thread = new Thread(null, () -> {
			try {
				task.run();
			}
			catch (Exception ex) {
				ex.printStackTrace();
			}
		}, name, 512 * 1024);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

}
