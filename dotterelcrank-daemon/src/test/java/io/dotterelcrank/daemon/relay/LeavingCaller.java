package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Closes callers' connections. The kernel may deliver a close some time after the call
 * that closes a socket has returned, on a busy machine. Stateless.
 */
public final class LeavingCaller {

	private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));

	/** A scan misses entries if others vanish while the kernel lists them. */
	private static final int SCANS = 5;

	private static final String ESTABLISHED = "01";

	private static final int LOCAL_ADDRESS = 1;

	private static final int REMOTE_ADDRESS = 2;

	private static final int STATE = 3;

	private LeavingCaller() {
	}

	/**
	 * Closes a connection and waits until the close has arrived at the other side, read
	 * or not.
	 * @param caller the caller's side of the connection
	 * @param reset whether it is reset
	 * @throws IOException if it cannot be closed, or the kernel's tables cannot be read
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void leave(Socket caller, boolean reset) throws IOException, InterruptedException {
		String server = hex(caller.getPort());
		String ownPort = hex(caller.getLocalPort());
		if (reset) {
			caller.setSoLinger(true, 0);
		}
		caller.close();
		int missing = 0;
		while (missing < SCANS) {
			missing = established(server, ownPort) ? 0 : missing + 1;
			Thread.sleep(1);
		}
	}

	private static String hex(int port) {
		return String.format(":%04X", port);
	}

	private static boolean established(String localPort, String remotePort) throws IOException {
		for (Path table : TABLES) {
			for (String line : Files.exists(table) ? Files.readAllLines(table) : List.<String>of()) {
				String[] fields = line.trim().split("\\s+");
				if (fields[LOCAL_ADDRESS].endsWith(localPort) && fields[REMOTE_ADDRESS].endsWith(remotePort)
						&& fields[STATE].equals(ESTABLISHED)) {
					return true;
				}
			}
		}
		return false;
	}

}
