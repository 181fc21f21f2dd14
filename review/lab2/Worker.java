import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker of a plain service: runs each request for a fixed time and answers with a body that names it. */
class Worker {

	final String id;

	final String service;

	final String zone;

	final long workMillis;

	final ServerSocket server;

	/** How often each request has run, by id. */
	static final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	volatile String state = "ready";

	private int sequence;

	Worker(String id, String service, String zone, long workMillis) throws IOException {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.workMillis = workMillis;
		this.server = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
		Lab.daemon(id, () -> {
			while (true) {
				Socket socket = this.server.accept();
				Lab.daemon(id + "-connection", () -> serve(socket));
			}
		});
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	synchronized String heartbeat() {
		this.sequence++;
		return "{\"Service\":\"" + this.service + "\",\"Address\":\"" + address() + "\",\"Zone\":\"" + this.zone
				+ "\",\"Version\":\"v1\",\"Slots\":" + slots() + ",\"State\":\"" + this.state
				+ "\",\"ColdLeftMs\":0,\"Seq\":" + this.sequence + ",\"born\":" + born() + "}";
	}

	int slots() {
		return 6;
	}

	private final long bornMillis = System.currentTimeMillis();

	long born() {
		return this.bornMillis;
	}

	/** Registers now and every 1.2 s. */
	void register(Store store) {
		store.put("servers", this.id, heartbeat());
		Lab.daemon(this.id + "-heartbeat", () -> {
			while (!this.server.isClosed()) {
				Lab.sleep(1_200);
				if (!this.server.isClosed()) {
					store.put("servers", this.id, heartbeat());
				}
			}
		});
	}

	private void serve(Socket socket) throws IOException {
		try (socket) {
			socket.setTcpNoDelay(true);
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			for (Http request = Http.head(in); request != null; request = Http.head(in)) {
				request.readBody(in);
				if (!handle(request, socket, in)) {
					return;
				}
			}
		}
	}

	/** Answers a request; false if the connection is not to be kept. */
	boolean handle(Http request, Socket socket, BufferedInputStream in) throws IOException {
		if (request.path().equals("/health")) {
			answer(socket.getOutputStream(), request, 200, "", "ok".getBytes());
			return true;
		}
		if (!request.header("Expect-Instance").isEmpty() && !request.header("Expect-Instance").equals(this.id)) {
			answer(socket.getOutputStream(), request, 421, "", new byte[0]);
			return true;
		}
		return run(request, socket, in);
	}

	boolean run(Http request, Socket socket, BufferedInputStream in) throws IOException {
		recordRun(request);
		Lab.sleep(this.workMillis);
		answer(socket.getOutputStream(), request, 200, seal(), body(request));
		return true;
	}

	void recordRun(Http request) {
		int count = runs.computeIfAbsent(request.header("Attempt-Id"), (name) -> new AtomicInteger()).incrementAndGet();
		Lab.note("run     %s at %s, %d bytes, time no. %d", request.header("Attempt-Id"), this.id,
				request.body.length, count);
	}

	String seal() {
		return "Response-Seal: seal-" + this.id + "\r\n";
	}

	static byte[] body(Http request) {
		return ("answer to " + request.header("Attempt-Id")).getBytes();
	}

	void answer(OutputStream out, Http request, int status, String headers, byte[] body) throws IOException {
		String id = request.header("Attempt-Id");
		Http.write(out,
				"HTTP/1.1 " + status + " X\r\n" + (id.isEmpty() ? "" : "Attempt-Id: " + id + "\r\n") + "Instance-Id: "
						+ this.id + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n",
				body);
	}

}
