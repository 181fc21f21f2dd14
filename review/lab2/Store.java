import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: keyed topics of one partition each. */
final class Store implements AutoCloseable {

	private final ServerSocket server;

	private final Map<String, List<byte[]>> topics = new HashMap<>();

	/** Topics whose partition is down, so that calls for it get 503. */
	private final java.util.Set<String> down = java.util.concurrent.ConcurrentHashMap.newKeySet();

	Store() throws IOException {
		this.server = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
		Lab.daemon("store", () -> {
			while (true) {
				Socket socket = this.server.accept();
				Lab.daemon("store-connection", () -> serve(socket));
			}
		});
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	void setDown(String topic, boolean isDown) {
		if (isDown) {
			this.down.add(topic);
		}
		else {
			this.down.remove(topic);
		}
	}

	/** Writes a record as the operator or a worker does; returns when it is acknowledged. */
	void put(String table, String key, String value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
		ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
		record.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
		append("keyed." + table, record.array());
	}

	private synchronized void append(String topic, byte[] record) {
		this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>()).add(record);
		notifyAll();
	}

	private void serve(Socket socket) throws IOException {
		try (socket) {
			socket.setTcpNoDelay(true);
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			for (Http request = Http.head(in); request != null; request = Http.head(in)) {
				request.readBody(in);
				Lab.sleep(4);
				byte[] body;
				int status = 200;
				String topic = request.query("Topic", "");
				if (this.down.contains(topic)) {
					status = 503;
					body = "{}".getBytes();
				}
				else {
					switch (request.path()) {
						case "/api/log-append" -> {
							ByteBuffer records = ByteBuffer.wrap(request.body);
							int offset;
							synchronized (this) {
								offset = this.topics.getOrDefault(topic, List.of()).size();
								while (records.remaining() >= 4) {
									byte[] record = new byte[records.getInt()];
									records.get(record);
									append(topic, record);
								}
							}
							body = ("{\"Offset\":" + offset + ",\"End\":" + (offset + 1) + "}").getBytes();
						}
						case "/api/log-read" -> body = read(topic, Integer.parseInt(request.query("From", "0")),
								Long.parseLong(request.query("WaitMs", "0")));
						case "/api/log-newest" -> body = newest(topic);
						default -> {
							status = 404;
							body = "{}".getBytes();
						}
					}
				}
				Http.write(socket.getOutputStream(), "HTTP/1.1 " + status
						+ " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n", body);
			}
		}
	}

	private synchronized byte[] read(String topic, int from, long waitMillis) {
		long until = System.nanoTime() + waitMillis * 1_000_000;
		try {
			while (this.topics.getOrDefault(topic, List.of()).size() <= from && System.nanoTime() < until) {
				wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
			}
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
		List<byte[]> records = this.topics.getOrDefault(topic, List.of());
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
		for (int i = from; i < records.size() && out.size() < 1_000_000; i++) {
			out.writeBytes(ByteBuffer.allocate(4).putInt(records.get(i).length).array());
			out.writeBytes(records.get(i));
		}
		return out.toByteArray();
	}

	private synchronized byte[] newest(String topic) {
		List<byte[]> records = this.topics.getOrDefault(topic, List.of());
		Map<String, String> items = new TreeMap<>();
		for (int i = 0; i < records.size(); i++) {
			byte[] record = records.get(i);
			int keyLength = record[0] & 0xff;
			String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
			byte[] value = java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length);
			if (value.length == 0) {
				items.remove(key);
			}
			else {
				items.put(key, "{\"Key\":\"" + key + "\",\"Offset\":" + i + ",\"Value\":\""
						+ Base64.getEncoder().encodeToString(value) + "\"}");
			}
		}
		return ("{\"Items\":[" + String.join(",", items.values()) + "],\"HasMore\":false,\"End\":" + records.size() + "}")
			.getBytes();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
