import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to an entry host. */
final class Client implements AutoCloseable {

	final Socket socket = new Socket();

	final BufferedInputStream in;

	final OutputStream out;

	Client(String address, int readTimeoutMillis) throws IOException {
		int colon = address.indexOf(':');
		this.socket.setTcpNoDelay(true);
		this.socket.connect(
				new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
				1_000);
		this.socket.setSoTimeout(readTimeoutMillis);
		this.in = new BufferedInputStream(this.socket.getInputStream());
		this.out = this.socket.getOutputStream();
	}

	static String head(String method, String path, String id, long deadlineMillis, String headers, int length) {
		return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
				+ deadlineMillis + "\r\n" + headers
				+ ((length > 0 || method.equals("POST")) ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
	}

	void send(String head, byte[] body) throws IOException {
		Http.write(this.out, head, body);
	}

	/** Reads an answer; null if the connection ends before it. */
	Http receive() throws IOException {
		Http answer = Http.head(this.in);
		if (answer != null) {
			answer.readBody(this.in);
		}
		return answer;
	}

	static String text(Http answer) {
		return (answer == null) ? "closed" : answer.status() + " " + new String(answer.body, StandardCharsets.UTF_8);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
