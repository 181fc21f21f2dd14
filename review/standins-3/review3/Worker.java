package review3;

import java.io.BufferedInputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a worker of a plain service. It registers itself, checks Expect-Instance,
 * runs each request once it has read it, and answers with the seal.
 */
class Worker {

	static final int HEARTBEAT_MILLIS = 1_200;

	private final String id;

	private final String service;

	private final Record record;

	private final Store store;

	private final Server server;

	/** What the worker answers with: the body of a success. */
	interface Work {

		byte[] run(Http.Message request) throws Exception;

	}

	private final Work work;

	/** Unix millisecond of the start, by the clock of the worker's machine. */
	private long born;

	private int sequence;

	private String state = "ready";

	private boolean running = true;

	/** Status of the runs that fail. */
	private volatile int failure = 200;

	/** How many of a hundred runs fail. */
	private volatile int failingPercent;

	private final AtomicInteger runs = new AtomicInteger();

	Worker(String ip, String id, String service, Store store, Record record, Work work) throws Exception {
		this(ip, id, service, store, record, work, System.currentTimeMillis());
	}

	Worker(String ip, String id, String service, Store store, Record record, Work work, long born) throws Exception {
		this.id = id;
		this.service = service;
		this.store = store;
		this.record = record;
		this.work = work;
		this.born = born;
		this.server = Server.start(ip, this::serve);
		Server.thread("heartbeat", () -> {
			while (true) {
				beat();
				Thread.sleep(HEARTBEAT_MILLIS);
			}
		});
	}

	private synchronized void beat() {
		if (this.running) {
			this.sequence++;
			this.store.put("servers", this.id, "{\"Service\":\"" + this.service + "\",\"Address\":\""
					+ this.server.text() + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":6,\"State\":\""
					+ this.state + "\",\"ColdLeftMs\":0,\"Seq\":" + this.sequence + ",\"born\":" + this.born + '}');
		}
	}

	/** Crashes: closes all connections, also new ones, and sends nothing any more. */
	synchronized void crash() {
		this.running = false;
		this.server.closeConnections();
		this.record.line("crashed", this.id);
	}

	/** Starts again under the same id, with counts that start anew. */
	synchronized void restart(long newBorn) {
		this.born = newBorn;
		this.sequence = 0;
		this.running = true;
		this.record.line("started-again", this.id, "born=" + newBorn);
		beat();
	}

	/** Reports that it is draining; returns when the store has accepted that. */
	synchronized void drain() {
		this.state = "draining";
		beat();
		this.record.line("acknowledged", this.id, "draining");
	}

	/** Fails a part of the runs from now on, evenly spread. */
	void fail(int percent, int status) {
		this.failure = status;
		this.failingPercent = percent;
	}

	private int nextStatus() {
		int run = this.runs.getAndIncrement();
		return ((run + 1) * this.failingPercent / 100 > run * this.failingPercent / 100) ? this.failure : 200;
	}

	private void serve(BufferedInputStream in, Socket socket) throws Exception {
		OutputStream out = socket.getOutputStream();
		synchronized (this) {
			if (!this.running) {
				return;
			}
		}
		for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
			if (request.path().equals("/health")) {
				out.write(Http.message("HTTP/1.1 200 OK", Map.of("Instance-Id", this.id), new byte[0]));
				continue;
			}
			if (!request.header("expect-instance", this.id).equals(this.id)) {
				out.write(Http.message("HTTP/1.1 421 Misdirected Request", Map.of("Instance-Id", this.id), new byte[0]));
				continue;
			}
			String attempt = request.header("attempt-id", "");
			this.record.line("run", attempt, "worker=" + this.id, "service=" + this.service, "path=" + request.path(),
					"tenant=" + utf8(request.header("tenant", "-")), "body=" + request.body().length);
			byte[] body = this.work.run(request);
			Map<String, String> headers = new TreeMap<>();
			headers.put("Attempt-Id", attempt);
			headers.put("Response-Seal", "3e1b." + attempt);
			headers.put("Instance-Load", "1,0,6");
			int status = nextStatus();
			out.write(Http.message("HTTP/1.1 " + status + ((status == 200) ? " OK" : " Service Unavailable"), headers, body));
			out.flush();
		}
	}

	/** Reads the bytes of a header as UTF-8. */
	static String utf8(String header) {
		return new String(header.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
	}

	static byte[] text(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
