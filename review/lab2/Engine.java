import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A model worker: streams generations, one event each gap, up to the second of the
 * Token-Counts, and keeps copies of the memory of runs. It stops a run when it is told to
 * with kv-move and Last. Most workers stop a run also when its connection closes; this
 * one does so only if it is created that way.
 */
final class Engine extends Worker {

	static final long GAP_MILLIS = 60;

	/** Engines by the address that they are registered with. */
	static final Map<String, Engine> byAddress = new ConcurrentHashMap<>();

	/** Runs of all engines, in order of their start. */
	static final List<Run> allRuns = new CopyOnWriteArrayList<>();

	private final boolean dropsOnClose;

	/** Time from the head of an answer to its first event; most of it is the reading of the prompt. */
	volatile long prefillMillis = 100;

	volatile boolean draining;

	private final Map<String, Run> activeRuns = new ConcurrentHashMap<>();

	/** Copies that this engine holds, as ADDRESS/HANDLE. */
	private final java.util.Set<String> copies = ConcurrentHashMap.newKeySet();

	/** Connections to entry hosts, through the path that can be cut. */
	final Path path;

	Engine(String id, String service, String zone, boolean dropsOnClose) throws IOException {
		super(id, service, zone, 0);
		this.dropsOnClose = dropsOnClose;
		this.path = new Path(super.address());
		byAddress.put(address(), this);
	}

	@Override
	String address() {
		return (this.path != null) ? this.path.address() : super.address();
	}

	@Override
	int slots() {
		return 24;
	}

	/** Reports that it drains, to the store and in its reports, two seconds before it leaves. */
	void drain(Store store) {
		this.draining = true;
		this.state = "draining";
		store.put("servers", this.id, heartbeat());
	}

	@Override
	boolean handle(Http request, Socket socket, BufferedInputStream in) throws IOException {
		OutputStream out = socket.getOutputStream();
		if (request.path().equals("/api/report")) {
			answer(out, request, 200, "Content-Type: application/json\r\n",
					("{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],\"Busy\":false,"
							+ "\"Seq\":0,\"Queued\":0,\"Active\":" + this.activeRuns.size() + ",\"KvUsed\":"
							+ 300 * this.activeRuns.size()
							+ ",\"KvTotal\":34000,\"Handles\":0,\"State\":\"" + this.state + "\"" + (this.draining ? ",\"leaves_ms\":2000" : "")
							+ ",\"Next\":0,\"Runs\":[],\"born\":" + born() + "}")
						.getBytes());
			return true;
		}
		if (request.path().equals("/api/kv-move")) {
			move(out, request);
			return true;
		}
		if (request.path().startsWith("/api/kv-handle/")) {
			answer(out, request, 200, "", "{}".getBytes());
			return true;
		}
		return super.handle(request, socket, in);
	}

	private void move(OutputStream out, Http request) throws IOException {
		String body = new String(request.body);
		String id = text(body, "Id");
		Engine to = byAddress.get(text(body, "To"));
		boolean last = body.replace(" ", "").contains("\"Last\":true");
		Run run = this.activeRuns.get(id);
		Lab.note("order   kv-move of %s at %s%s: %s", id, this.id, last ? " with Last" : "",
				(run == null) ? "404" : "200");
		if (run == null) {
			answer(out, request, 404, "", "{}".getBytes());
			return;
		}
		if (last) {
			run.stop("told to stop");
		}
		if (to != null) {
			to.copies.add(address() + "/h-" + id);
		}
		answer(out, request, 200, "", ("{\"Handle\":\"h-" + id + "\",\"CreatedRev\":" + run.made + "}").getBytes());
	}

	static String text(String json, String name) {
		java.util.regex.Matcher matcher = java.util.regex.Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"")
			.matcher(json);
		return matcher.find() ? matcher.group(1) : "";
	}

	@Override
	boolean run(Http request, Socket socket, BufferedInputStream in) throws IOException {
		String id = request.header("Attempt-Id");
		String from = request.header("Kv-From");
		if (!from.isEmpty() && !this.copies.remove(from)) {
			answer(socket.getOutputStream(), request, 503, "Not-Executed: 1\r\n", new byte[0]);
			return true;
		}
		String lastEventId = request.header("Last-Event-Id");
		int after = lastEventId.isEmpty() ? 0 : Integer.parseInt(lastEventId);
		int events = Integer.parseInt(request.header("Token-Counts").split(",")[1].trim()) / 4;
		Run run = new Run(this, id, after, events, socket, from.isEmpty() ? this.prefillMillis : 20);
		this.activeRuns.put(id, run);
		allRuns.add(run);
		Engine holder = byAddress.get(request.header("Kv-Backup"));
		Lab.note("run     %s at %s from event %d, Last-Event-Id: %s, Kv-From: %s, backup at %s", id, this.id, after + 1,
				lastEventId.isEmpty() ? "-" : lastEventId, from.isEmpty() ? "-" : from, (holder != null) ? holder.id : "none");
		Lab.daemon("run", () -> run.produce(holder));
		try {
			while (in.read() >= 0) {
				// Nothing more is to come.
			}
		}
		catch (IOException ex) {
			// Reset.
		}
		if (!run.ended) {
			Lab.note("closed  the connection of %s at %s", id, this.id);
			if (this.dropsOnClose) {
				run.stop("its connection was closed");
			}
		}
		return false;
	}

	/** One run of a generation at one engine. */
	static final class Run {

		final Engine engine;

		final String id;

		final int firstEvent;

		final double started = Lab.now();

		/** When each event was made. */
		final List<Double> madeAt = new CopyOnWriteArrayList<>();

		volatile int made;

		volatile boolean ended;

		private final int events;

		private final Socket socket;

		private final long prefillMillis;

		Run(Engine engine, String id, int after, int events, Socket socket, long prefillMillis) {
			this.prefillMillis = prefillMillis;
			this.engine = engine;
			this.id = id;
			this.firstEvent = after + 1;
			this.made = after;
			this.events = events;
			this.socket = socket;
		}

		void produce(Engine holder) throws Exception {
			boolean writable = write("HTTP/1.1 200 OK\r\nAttempt-Id: " + this.id + "\r\n" + this.engine.seal()
					+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
			if (holder != null) {
				holder.copies.add(holder.address() + "/" + this.id);
			}
			Lab.sleep(this.prefillMillis);
			while (!this.ended && this.made < this.events) {
				Lab.sleep(GAP_MILLIS);
				synchronized (this) {
					if (this.ended) {
						break;
					}
					this.made++;
					this.madeAt.add(Lab.now());
				}
				if (holder != null) {
					holder.copies.add(holder.address() + "/" + this.id);
				}
				String event = "id: " + this.made + "\ndata: token " + this.made + "\n\n";
				writable = writable && write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
			}
			if (!this.ended) {
				write("0\r\n\r\n");
				stop("complete");
				if (holder != null) {
					holder.copies.remove(holder.address() + "/" + this.id);
				}
			}
		}

		private boolean write(String text) {
			try {
				this.socket.getOutputStream().write(text.getBytes());
				return true;
			}
			catch (IOException ex) {
				return false;
			}
		}

		void stop(String why) throws IOException {
			synchronized (this) {
				if (this.ended) {
					return;
				}
				this.ended = true;
			}
			this.engine.activeRuns.remove(this.id, this);
			Lab.note("end     %s at %s after event %d: %s", this.id, this.engine.id, this.made, why);
			if (!why.equals("complete")) {
				this.socket.close();
			}
		}

	}

	/** The network path to one engine, which can be cut: open connections hold all bytes until it is back, new ones are refused. */
	static final class Path {

		private final String engine;

		private final String address;

		private java.net.ServerSocket server;

		private volatile boolean cut;

		Path(String engine) throws IOException {
			this.engine = engine;
			this.server = new java.net.ServerSocket(0, 500, java.net.InetAddress.getByName("127.0.0.1"));
			this.address = "127.0.0.1:" + this.server.getLocalPort();
			accept(this.server);
		}

		String address() {
			return this.address;
		}

		private void accept(java.net.ServerSocket listening) {
			Lab.daemon("path", () -> {
				while (true) {
					Socket entrySide = listening.accept();
					Socket engineSide = new Socket("127.0.0.1", Integer.parseInt(this.engine.split(":")[1]));
					entrySide.setTcpNoDelay(true);
					engineSide.setTcpNoDelay(true);
					Lab.daemon("path", () -> pipe(entrySide, engineSide));
					Lab.daemon("path", () -> pipe(engineSide, entrySide));
				}
			});
		}

		private void pipe(Socket from, Socket to) throws IOException {
			byte[] buffer = new byte[65_536];
			try {
				for (int n = from.getInputStream().read(buffer); n >= 0; n = from.getInputStream().read(buffer)) {
					awaitPath();
					to.getOutputStream().write(buffer, 0, n);
				}
				awaitPath();
				to.shutdownOutput();
				if (from.isOutputShutdown()) {
					from.close();
					to.close();
				}
			}
			catch (IOException ex) {
				awaitPath();
				reset(from);
				reset(to);
			}
		}

		private void awaitPath() {
			while (this.cut) {
				Lab.sleep(1);
			}
		}

		private static void reset(Socket socket) throws IOException {
			if (!socket.isClosed()) {
				socket.setSoLinger(true, 0);
				socket.close();
			}
		}

		void cut() throws IOException {
			this.cut = true;
			this.server.close();
		}

		void heal() throws IOException {
			this.server = new java.net.ServerSocket();
			this.server.setReuseAddress(true);
			this.server.bind(new java.net.InetSocketAddress("127.0.0.1",
					Integer.parseInt(this.address.substring(this.address.indexOf(':') + 1))), 500);
			accept(this.server);
			this.cut = false;
		}

	}

}
