import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Small stand-ins of the users' platform for the cases of this folder: store, plain worker, processes, HTTP. */
final class Standin {

	private static final long START = System.nanoTime();

	static long millis() {
		return (System.nanoTime() - START) / 1_000_000;
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static Thread run(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	/** Loopback address of a host; each run has its own range. */
	static String ip(int number) {
		long pid = ProcessHandle.current().pid();
		return "127." + (1 + pid / 250 % 250) + '.' + pid % 250 + '.' + number;
	}

	static int freePort(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
			return socket.getLocalPort();
		}
	}

	static InetSocketAddress address(String text) {
		int colon = text.indexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	/** What was sent, answered and run, with times. */
	static final class Journal implements AutoCloseable {

		private final PrintStream out;

		Journal(Path file) throws IOException {
			this.out = new PrintStream(Files.newOutputStream(file), true, StandardCharsets.UTF_8);
		}

		synchronized void add(String text) {
			this.out.printf(Locale.ROOT, "%8.3f s  %s%n", millis() / 1000.0, text);
		}

		@Override
		public void close() {
			this.out.close();
		}

	}

	/** Head and body of a request or response. */
	static final class Message {

		String line;

		final Map<String, String> headers = new LinkedHashMap<>();

		byte[] body = new byte[0];

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		int status() {
			return Integer.parseInt(this.line.split(" ")[1]);
		}

		String method() {
			return this.line.split(" ")[0];
		}

		String uri() {
			return this.line.split(" ")[1];
		}

	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next >= 0 && next != '\n') {
			if (next != '\r') {
				line.write(next);
			}
			next = in.read();
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	/** Reads a head; null at the end of the connection. */
	static Message readHead(InputStream in) throws IOException {
		Message message = new Message();
		message.line = readLine(in);
		if (message.line == null) {
			return null;
		}
		String header = readLine(in);
		while (header != null && !header.isEmpty()) {
			int colon = header.indexOf(':');
			message.headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
			header = readLine(in);
		}
		if (header == null) {
			throw new IOException("head cut");
		}
		return message;
	}

	static Message readMessage(InputStream in) throws IOException {
		Message message = readHead(in);
		if (message == null) {
			return null;
		}
		if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			int length = Integer.parseInt(readLine(in).trim(), 16);
			while (length > 0) {
				body.write(readExactly(in, length));
				readLine(in);
				String next = readLine(in);
				if (next == null) {
					throw new IOException("body cut");
				}
				length = Integer.parseInt(next.trim(), 16);
			}
			readLine(in);
			message.body = body.toByteArray();
		}
		else if (message.header("content-length") != null) {
			message.body = readExactly(in, Integer.parseInt(message.header("content-length")));
		}
		return message;
	}

	private static byte[] readExactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new IOException("body cut");
		}
		return bytes;
	}

	static void writeResponse(OutputStream out, int status, Map<String, String> headers, byte[] body)
			throws IOException {
		StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		all.writeBytes(body);
		out.write(all.toByteArray());
		out.flush();
	}

	interface Handler {

		/** Answers a request on its connection; returns whether the connection is kept. */
		boolean handle(Message request, Socket socket, OutputStream out) throws IOException;

	}

	/** HTTP server with a thread a connection. */
	static final class Server {

		final ServerSocket socket;

		Server(String ip, int port, Handler handler) throws IOException {
			this.socket = new ServerSocket();
			this.socket.setReuseAddress(true);
			this.socket.bind(new InetSocketAddress(ip, port), 512);
			run(() -> {
				try {
					while (true) {
						Socket connection = this.socket.accept();
						connection.setTcpNoDelay(true);
						run(() -> serve(connection, handler));
					}
				}
				catch (IOException ex) {
					// The server is closed.
				}
			});
		}

		String address() {
			return this.socket.getInetAddress().getHostAddress() + ':' + this.socket.getLocalPort();
		}

		private static void serve(Socket connection, Handler handler) {
			try (connection) {
				InputStream in = new BufferedInputStream(connection.getInputStream(), 65_536);
				OutputStream out = connection.getOutputStream();
				Message request = readMessage(in);
				while (request != null && handler.handle(request, connection, out)) {
					request = readMessage(in);
				}
			}
			catch (IOException | RuntimeException ex) {
				// The connection is broken.
			}
		}

	}

	/** The platform's store, as far as keyed topics go. Loses nothing, answers at once. */
	static final class Store {

		private record Entry(String key, byte[] value) {
		}

		private final Map<String, List<Entry>> topics = new HashMap<>();

		final Server server;

		/** While it holds, the store answers with 503 and does nothing. */
		volatile boolean down;

		Store(String ip) throws IOException {
			this.server = new Server(ip, 0, this::handle);
		}

		synchronized long put(String topic, String key, String value) {
			List<Entry> log = this.topics.computeIfAbsent("keyed." + topic, (name) -> new ArrayList<>());
			log.add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
			notifyAll();
			return log.size() - 1;
		}

		private boolean handle(Message request, Socket socket, OutputStream out) throws IOException {
			String[] uri = request.uri().split("\\?", 2);
			Map<String, String> query = new HashMap<>();
			for (String pair : (uri.length > 1) ? uri[1].split("&") : new String[0]) {
				String[] parts = pair.split("=", 2);
				query.put(parts[0], java.net.URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
			}
			if (this.down) {
				writeResponse(out, 503, Map.of(), new byte[0]);
				return true;
			}
			switch (uri[0]) {
				case "/api/log-append" -> append(query, request.body, out);
				case "/api/log-read" -> read(query, out);
				case "/api/log-newest" -> newest(query, out);
				default -> writeResponse(out, 404, Map.of(), new byte[0]);
			}
			return true;
		}

		private void append(Map<String, String> query, byte[] body, OutputStream out) throws IOException {
			String text;
			synchronized (this) {
				List<Entry> log = this.topics.computeIfAbsent(query.get("Topic"), (name) -> new ArrayList<>());
				int first = log.size();
				ByteBuffer buffer = ByteBuffer.wrap(body);
				while (buffer.remaining() >= 4) {
					byte[] content = new byte[buffer.getInt()];
					buffer.get(content);
					int keyLength = content[0] & 0xff;
					log.add(new Entry(new String(content, 1, keyLength, StandardCharsets.UTF_8),
							Arrays.copyOfRange(content, 1 + keyLength, content.length)));
				}
				text = "{\"Offset\":" + first + ",\"End\":" + log.size() + '}';
				notifyAll();
			}
			writeResponse(out, 200, Map.of("Content-Type", "application/json"), text.getBytes(StandardCharsets.UTF_8));
		}

		private void read(Map<String, String> query, OutputStream out) throws IOException {
			int from = Integer.parseInt(query.get("From"));
			long until = millis() + Long.parseLong(query.getOrDefault("WaitMs", "0"));
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			synchronized (this) {
				List<Entry> log = this.topics.computeIfAbsent(query.get("Topic"), (name) -> new ArrayList<>());
				while (log.size() <= from && millis() < until) {
					try {
						wait(Math.max(1, until - millis()));
					}
					catch (InterruptedException ex) {
						throw new IOException(ex);
					}
				}
				body.writeBytes(ByteBuffer.allocate(16).putLong(log.size()).putLong(0).array());
				for (Entry entry : log.subList(Math.min(from, log.size()), log.size())) {
					byte[] key = entry.key.getBytes(StandardCharsets.UTF_8);
					body.writeBytes(ByteBuffer.allocate(4).putInt(1 + key.length + entry.value.length).array());
					body.write(key.length);
					body.writeBytes(key);
					body.writeBytes(entry.value);
				}
			}
			writeResponse(out, 200, Map.of(), body.toByteArray());
		}

		private void newest(Map<String, String> query, OutputStream out) throws IOException {
			StringBuilder items = new StringBuilder();
			long end;
			synchronized (this) {
				List<Entry> log = this.topics.computeIfAbsent(query.get("Topic"), (name) -> new ArrayList<>());
				Map<String, Integer> newest = new TreeMap<>();
				for (int i = 0; i < log.size(); i++) {
					newest.put(log.get(i).key, i);
				}
				for (Map.Entry<String, Integer> entry : newest.entrySet()) {
					byte[] value = log.get(entry.getValue()).value;
					if (value.length > 0) {
						items.append((items.length() > 0) ? "," : "")
							.append("{\"Key\":\"" + entry.getKey() + "\",\"Value\":\""
									+ Base64.getEncoder().encodeToString(value) + "\",\"Offset\":" + entry.getValue()
									+ '}');
					}
				}
				end = log.size();
			}
			String text = "{\"Items\":[" + items + "],\"HasMore\":false,\"End\":" + end + '}';
			writeResponse(out, 200, Map.of("Content-Type", "application/json"), text.getBytes(StandardCharsets.UTF_8));
		}

	}

	/** A process of the project, started with the command and the environment of the deploy file. */
	static final class Daemon {

		private static final Path DEPLOY_FILE = Path.of("deploy", "system.toml");

		private final String role;

		private final Path log;

		final Map<String, String> values;

		volatile Process process;

		/** Number of times that the process has ended though nobody ended it. */
		volatile int ownEnds;

		private volatile boolean expectedEnd;

		Daemon(String role, Path log, Map<String, String> values) {
			this.role = role;
			this.log = log;
			this.values = values;
		}

		static Daemon entry(Path log, String name, String zone, String ip, String store, String seeds, String control)
				throws IOException {
			Map<String, String> values = new HashMap<>(Map.of("NodeName", name, "Zone", zone, "Ip", ip,
					"Listen.Front", ip + ':' + freePort(ip), "Listen.Ready", ip + ':' + freePort(ip), "Listen.Control",
					control, "Platform.Address", store, "Seeds", seeds));
			values.putAll(Map.of("Bounds.RetryBudgetRatio", "0.2", "Bounds.BudgetSlack", "52",
					"Bounds.BudgetWindowS", "10", "Bounds.DrainMs", "2000", "Bounds.ConfigMs", "2000", "Bounds.GraceS",
					"8", "Bounds.ExposeShare", "", "Bounds.ExposeSlack", "", "Bounds.RollbackMs", ""));
			return new Daemon("entry", log, values);
		}

		private static String section(String name) throws IOException {
			String text = Files.readString(DEPLOY_FILE);
			int start = text.indexOf('[' + name + "]\n") + name.length() + 3;
			int end = text.indexOf("\n[", start);
			return text.substring(start, (end < 0) ? text.length() : end);
		}

		private String fill(String text) {
			Matcher matcher = Pattern.compile("\\{\\{([A-Za-z.]+)}}").matcher(text);
			StringBuilder filled = new StringBuilder();
			while (matcher.find()) {
				matcher.appendReplacement(filled, Matcher.quoteReplacement(this.values.get(matcher.group(1))));
			}
			return matcher.appendTail(filled).toString();
		}

		void start() throws IOException {
			Matcher command = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(section("roles." + this.role));
			command.find();
			List<String> words = new ArrayList<>(List.of(fill(command.group(1)).split(" ")));
			words.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
			ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
			builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
			Matcher variable = Pattern.compile("(?m)^(DOTTERELCRANK_[A-Z_]+) = \"(.*)\"$")
				.matcher(section("roles." + this.role + ".env"));
			while (variable.find()) {
				builder.environment().put(variable.group(1), fill(variable.group(2)));
			}
			builder.environment()
				.put("DOTTERELCRANK_METRICS_PORT", Integer.toString(freePort(this.values.get("Ip"))));
			this.expectedEnd = false;
			Process started = builder.start();
			this.process = started;
			Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
			started.onExit().thenAccept((ended) -> {
				if (!this.expectedEnd) {
					this.ownEnds++;
				}
			});
		}

		void kill() {
			this.expectedEnd = true;
			this.process.destroyForcibly();
			this.process.onExit().join();
		}

		void signal(String name) throws IOException {
			try {
				new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
		}

		void expectEnd() {
			this.expectedEnd = true;
		}

		boolean awaitEnd(long millis) throws InterruptedException {
			return this.process.waitFor(millis, TimeUnit.MILLISECONDS);
		}

		boolean ready() {
			try {
				Message answer = call(address(this.values.get("Listen.Ready")), "GET", "/api/ready", Map.of(),
						new byte[0], 1_000);
				return answer.status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		boolean awaitReady(long millis) {
			long until = millis() + millis;
			while (!ready()) {
				if (millis() > until) {
					return false;
				}
				sleep(50);
			}
			return true;
		}

		InetSocketAddress front() {
			return address(this.values.get("Listen.Front"));
		}

	}

	static byte[] requestBytes(String method, String uri, Map<String, String> headers, byte[] body) {
		StringBuilder head = new StringBuilder(method + ' ' + uri + " HTTP/1.1\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		if (body.length > 0 || method.equals("POST")) {
			head.append("Content-Length: ").append(body.length).append("\r\n");
		}
		head.append("\r\n");
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		all.writeBytes(body);
		return all.toByteArray();
	}

	/** Sends a request on a connection of its own. */
	static Message call(InetSocketAddress address, String method, String uri, Map<String, String> headers, byte[] body,
			int timeoutMillis) throws IOException {
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(address, 1_000);
			socket.setSoTimeout(timeoutMillis);
			Map<String, String> all = new LinkedHashMap<>();
			all.put("Host", "shop.example");
			all.putAll(headers);
			socket.getOutputStream().write(requestBytes(method, uri, all, body));
			Message answer = readMessage(new BufferedInputStream(socket.getInputStream()));
			if (answer == null) {
				throw new IOException("closed without an answer");
			}
			return answer;
		}
	}

	/** Waits for a condition. */
	static boolean await(long millis, java.util.function.BooleanSupplier condition) {
		long until = millis() + millis;
		while (!condition.getAsBoolean()) {
			if (millis() > until) {
				return false;
			}
			sleep(10);
		}
		return true;
	}

	private Standin() {
	}

	/** Entry of a plain worker in the store. */
	static String beat(Server worker, String id, int zone, int sequence) {
		return "{\"Service\":\"desk\",\"Address\":\"" + worker.address() + "\",\"Zone\":\"z-" + zone
				+ "\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":" + sequence
				+ ",\"born\":1700000000000}";
	}

	/** Counts by name. */
	static final class Counts {

		private final Map<String, Integer> counts = new ConcurrentHashMap<>();

		void add(String name) {
			this.counts.merge(name, 1, Integer::sum);
		}

		int of(String name) {
			return this.counts.getOrDefault(name, 0);
		}

		@Override
		public String toString() {
			return new TreeMap<>(this.counts).toString();
		}

	}

}
