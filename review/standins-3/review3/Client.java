package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A client with one connection that it keeps, as the pages describe clients. */
final class Client implements AutoCloseable {

	private static final AtomicLong attempts = new AtomicLong();

	private final Daemon entry;

	private final Record record;

	private Socket socket;

	private BufferedInputStream in;

	Client(Daemon entry, Record record) {
		this.entry = entry;
		this.record = record;
	}

	/** What became of a request; the status is 0 if the connection ended or nothing came in time. */
	record Answer(String attempt, int status, byte[] body, String cause) {

		boolean success() {
			return this.status >= 200 && this.status < 300;
		}

	}

	Answer send(String method, String host, String path, String key, int deadlineMillis, byte[] body) {
		String attempt = String.format("%016x", 0x9c41d07b00000000L + attempts.incrementAndGet());
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Host", host);
		headers.put("Attempt-Id", attempt);
		headers.put("Deadline-Ms", Integer.toString(deadlineMillis));
		if (!key.isEmpty()) {
			headers.put("Authorization", "Bearer " + key);
		}
		this.record.line("sent", attempt, "to=" + this.entry.name, method, path, "key=" + key, "body=" + body.length);
		Answer answer;
		try {
			if (this.socket == null) {
				this.socket = new Socket();
				this.socket.setTcpNoDelay(true);
				this.socket.connect(new InetSocketAddress(this.entry.ip(), this.entry.callerPort()), 1_000);
				this.in = new BufferedInputStream(this.socket.getInputStream());
			}
			this.socket.setSoTimeout(deadlineMillis + 1_000);
			this.socket.getOutputStream().write(Http.message(method + ' ' + path + " HTTP/1.1", headers, body));
			Http.Message response = Http.read(this.in);
			if (response == null) {
				answer = new Answer(attempt, 0, new byte[0], "connection closed without an answer");
				close();
			}
			else {
				answer = new Answer(attempt, response.status(), response.body(), "");
				if (response.header("connection", "").equalsIgnoreCase("close")) {
					close();
				}
			}
		}
		catch (IOException ex) {
			answer = new Answer(attempt, 0, new byte[0], ex.toString());
			close();
		}
		this.record.line("answered", attempt, Integer.toString(answer.status()), "body=" + answer.body().length,
				answer.cause());
		return answer;
	}

	@Override
	public void close() {
		try {
			if (this.socket != null) {
				this.socket.close();
			}
		}
		catch (IOException ex) {
			// It is closed all the same.
		}
		this.socket = null;
	}

}
