package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of the platform's store: keyed topics of one partition, reads that wait,
 * appends. It is sound all the time.
 */
final class Store {

	private static final int MAX_ITEMS = 500;

	private final Map<String, List<byte[]>> topics = new HashMap<>();

	private final Server server;

	Store(String ip) throws Exception {
		this.server = Server.start(ip, this::serve);
	}

	String address() {
		return this.server.text();
	}

	/** Writes a record as the operator or a worker does; returns when it is acknowledged. */
	synchronized void put(String topic, String key, String value) {
		byte[] name = key.getBytes(StandardCharsets.UTF_8);
		byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
		log("keyed." + topic).add(
				ByteBuffer.allocate(1 + name.length + bytes.length).put((byte) name.length).put(name).put(bytes).array());
		notifyAll();
	}

	private List<byte[]> log(String topic) {
		return this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
	}

	private void serve(BufferedInputStream in, Socket socket) throws Exception {
		for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
			Map<String, String> query = new HashMap<>();
			String[] target = call.path().split("\\?", 2);
			for (String pair : (target.length > 1) ? target[1].split("&") : new String[0]) {
				String[] parts = pair.split("=", 2);
				query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
			}
			socket.getOutputStream().write(answer(target[0], query, call.body()));
		}
	}

	private synchronized byte[] answer(String path, Map<String, String> query, byte[] body) throws Exception {
		String topic = query.getOrDefault("Topic", "");
		List<byte[]> log = log(topic);
		return switch (path) {
			case "/api/log-append" -> append(topic, query, body);
			case "/api/log-read" -> {
				long until = System.nanoTime() + 1_000_000L * Long.parseLong(query.getOrDefault("WaitMs", "0"));
				int from = Integer.parseInt(query.get("From"));
				while (from >= log.size() && System.nanoTime() < until) {
					wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
				}
				ByteArrayOutputStream records = new ByteArrayOutputStream();
				records.writeBytes(ByteBuffer.allocate(16).putLong(log.size()).putLong(0).array());
				for (int i = from; i < log.size() && records.size() < 1_000_000; i++) {
					records.writeBytes(ByteBuffer.allocate(4).putInt(log.get(i).length).array());
					records.writeBytes(log.get(i));
				}
				yield Http.message("HTTP/1.1 200 OK", Map.of(), records.toByteArray());
			}
			case "/api/log-newest" -> Http.message("HTTP/1.1 200 OK", Map.of("Content-Type", "application/json"),
					newest(log, query.getOrDefault("After", "")).getBytes(StandardCharsets.UTF_8));
			default -> Http.message("HTTP/1.1 404 Not Found", Map.of(), new byte[0]);
		};
	}

	private byte[] append(String topic, Map<String, String> query, byte[] body) {
		if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
			return Http.message("HTTP/1.1 403 Forbidden", Map.of(), new byte[0]);
		}
		List<byte[]> log = log(topic);
		int offset = log.size();
		if (query.containsKey("At") && Long.parseLong(query.get("At")) != offset) {
			return Http.message("HTTP/1.1 412 Precondition Failed", Map.of(), json("{\"End\":" + offset + '}'));
		}
		ByteBuffer records = ByteBuffer.wrap(body);
		while (records.remaining() > 4) {
			byte[] record = new byte[records.getInt()];
			records.get(record);
			log.add(record);
		}
		notifyAll();
		return Http.message("HTTP/1.1 200 OK", Map.of(), json("{\"Offset\":" + offset + ",\"End\":" + log.size() + '}'));
	}

	private static byte[] json(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private static String newest(List<byte[]> log, String after) {
		TreeMap<String, String> items = new TreeMap<>();
		for (int i = 0; i < log.size(); i++) {
			byte[] record = log.get(i);
			String key = new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8);
			int start = 1 + (record[0] & 0xff);
			if (start == record.length) {
				items.remove(key);
				continue;
			}
			byte[] value = java.util.Arrays.copyOfRange(record, start, record.length);
			items.put(key, "{\"Key\":\"" + key + "\",\"Value\":\"" + Base64.getEncoder().encodeToString(value)
					+ "\",\"Offset\":" + i + '}');
		}
		List<String> page = items.tailMap(after, false).values().stream().limit(MAX_ITEMS).toList();
		return "{\"Items\":[" + String.join(",", page) + "],\"HasMore\":"
				+ (items.tailMap(after, false).size() > MAX_ITEMS) + ",\"End\":" + log.size() + '}';
	}

}
