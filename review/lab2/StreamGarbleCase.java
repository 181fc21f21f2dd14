import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Model workers whose answers have no length break off some of them at any byte, and
 * write a second one to the same request. They write names of headers in lower case.
 */
final class StreamGarbleCase {

	private static final int WORKERS = 5;

	private static final int FAULTY = 3;

	/** Fraction of the answers of a faulty worker that it spoils. */
	private static final double SPOILT = 0.05;

	/** The disruption comes again and again, for so long each time. */
	private static final double SPELL_SECONDS = 5;

	private static final double SPELL_EVERY_SECONDS = 7;

	private static final int CLIENTS = 20;

	private static final double SECONDS = 40;

	private static final int EVENTS = 20;

	private static final int DATA_BYTES = 280;

	private static final List<String> mixed = new CopyOnWriteArrayList<>();

	private static final AtomicInteger spoilt = new AtomicInteger();

	private static final AtomicInteger whole = new AtomicInteger();

	private static final AtomicInteger failed = new AtomicInteger();

	public static void main(String[] args) throws Exception {
		Lab.main(args[0], () -> {
			Lab lab = new Lab();
			lab.store.put("op", "config", Lab.engineConfig(false));
			List<Stutterer> workers = new ArrayList<>();
			for (int i = 0; i < WORKERS; i++) {
				Stutterer worker = new Stutterer("i-" + i, i < FAULTY && Lab.TROUBLE);
				worker.register(lab.store);
				workers.add(worker);
			}
			List<Lab.Entry> entries = new ArrayList<>();
			for (int i = 0; i < 3; i++) {
				entries.add(lab.entry("edge-" + i, "zone-" + i));
			}
			for (Lab.Entry entry : entries) {
				entry.start();
			}
			for (Stutterer worker : workers) {
				lab.sidecar("side-" + worker.id, worker.zone, worker.address(), "llm").start();
			}
			for (Lab.Entry entry : entries) {
				entry.awaitReady();
			}
			Lab.sleep(2_000);
			double until = Lab.now() + SECONDS;
			List<Thread> threads = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				int number = i;
				threads.add(Lab.daemon("client-" + i, () -> talk(number, entries.get(number % 3), until)));
			}
			for (Thread thread : threads) {
				thread.join();
			}
			Lab.end(!mixed.isEmpty(), mixed.size() + " streams with a piece that is not the worker's, of " + spoilt
					+ " answers that were broken off; " + whole + " whole, " + failed + " failed: " + mixed);
		});
	}

	private static void talk(int number, Lab.Entry entry, double until) {
		Random random = new Random(number);
		while (Lab.now() < until) {
			String id = String.format("%04x%012x", number, random.nextLong() & 0xffffffffffffL);
			try (Client client = new Client(entry.front(), 5_000)) {
				client.send(Client.head("POST", "/a/x", id, 39_000,
						"Model: m\r\nToken-Counts: 200," + 4 * EVENTS + "\r\nPrompt-Prefix: aa:100," + id + ":100\r\n", 100),
						new byte[100]);
				stream(id, client);
			}
			catch (IOException ex) {
				Lab.note("answer  %s: broken off (%s)", id, ex.getMessage());
				failed.incrementAndGet();
			}
			Lab.sleep(random.nextInt(200));
		}
	}

	private static void stream(String id, Client client) throws IOException {
		Http answer = Http.head(client.in);
		if (answer == null || !answer.chunked()) {
			Lab.note("answer  %s: %s", id, (answer != null) ? answer.first : "closed");
			failed.incrementAndGet();
			return;
		}
		StringBuilder body = new StringBuilder();
		boolean sound = true;
		for (byte[] piece = Http.chunk(client.in); piece.length > 0; piece = Http.chunk(client.in)) {
			body.append(new String(piece, StandardCharsets.ISO_8859_1));
			if (sound && !wholeBody(id).startsWith(body.toString())) {
				sound = false;
				String text = new String(piece, StandardCharsets.ISO_8859_1);
				Lab.note("piece   %s: %s", id, text.replace("\r", "\\r").replace("\n", "\\n"));
				mixed.add(id);
			}
		}
		Lab.note("answer  %s: 200, %s, %d bytes of %d, complete", id, answer.header("Response-Seal"), body.length(),
				wholeBody(id).length());
		if (sound && body.length() < wholeBody(id).length()) {
			mixed.add(id);
		}
		whole.addAndGet((sound && body.length() == wholeBody(id).length()) ? 1 : 0);
	}

	private static String event(String id, int number) {
		StringBuilder data = new StringBuilder("part " + number + " of " + id);
		while (data.length() < DATA_BYTES) {
			data.append(" word");
		}
		return "id: " + number + "\ndata: " + data + "\n\n";
	}

	private static String wholeBody(String id) {
		StringBuilder body = new StringBuilder();
		for (int i = 1; i <= EVENTS; i++) {
			body.append(event(id, i));
		}
		return body.toString();
	}

	/** A model worker that answers without a length. */
	private static final class Stutterer extends Worker {

		private final boolean faulty;

		private final Random random = new Random();

		private final AtomicInteger active = new AtomicInteger();

		Stutterer(String id, boolean faulty) throws IOException {
			super(id, "llm", "zone-" + id.charAt(2), 0);
			this.faulty = faulty;
		}

		@Override
		int slots() {
			return 24;
		}

		@Override
		boolean handle(Http request, Socket socket, BufferedInputStream in) throws IOException {
			OutputStream out = socket.getOutputStream();
			if (request.path().equals("/api/report")) {
				answer(out, request, 200, "Content-Type: application/json\r\n",
						("{\"Stage\":\"both\",\"Models\":[],\"Busy\":false,\"Seq\":0,\"Queued\":0,\"Active\":" + this.active
								+ ",\"KvUsed\":" + 300 * this.active.get()
								+ ",\"KvTotal\":34000,\"Handles\":0,\"State\":\"ready\",\"Next\":0,\"Runs\":[],\"born\":"
								+ born() + "}")
							.getBytes());
				return true;
			}
			if (request.path().equals("/api/kv-move")) {
				answer(out, request, 404, "", "{}".getBytes());
				return true;
			}
			if (!request.header("Kv-From").isEmpty()) {
				answer(out, request, 503, "Not-Executed: 1\r\n", new byte[0]);
				return true;
			}
			return super.handle(request, socket, in);
		}

		@Override
		boolean run(Http request, Socket socket, BufferedInputStream in) throws IOException {
			String id = request.header("Attempt-Id");
			runs.computeIfAbsent(id, (name) -> new AtomicInteger()).incrementAndGet();
			String head = "HTTP/1.1 200 OK\r\nattempt-id: " + id + "\r\nresponse-seal: seal-" + this.id
					+ "\r\ncontent-type: text/event-stream\r\n\r\n";
			String body = wholeBody(id);
			int end = body.length();
			synchronized (this.random) {
				if (this.faulty && Lab.now() % SPELL_EVERY_SECONDS < SPELL_SECONDS && this.random.nextDouble() < SPOILT) {
					end = 1 + this.random.nextInt(body.length() - 1);
				}
			}
			OutputStream out = socket.getOutputStream();
			this.active.incrementAndGet();
			try {
				Lab.sleep(60);
				write(out, head);
				int written = 0;
				for (int i = 1; i <= EVENTS && written < end; i++) {
					Lab.sleep(40);
					String event = event(id, i);
					write(out, event.substring(0, Math.min(event.length(), end - written)));
					written += event.length();
				}
				if (end < body.length()) {
					spoilt.incrementAndGet();
					Lab.note("broken  off at %s: %s, after %d of %d bytes of its body; the answer follows once more", this.id,
							id, end, body.length());
					Lab.sleep(5);
					write(out, head + body);
				}
			}
			finally {
				this.active.decrementAndGet();
			}
			return false;
		}

		private static void write(OutputStream out, String text) throws IOException {
			out.write(text.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
		}

	}

}
