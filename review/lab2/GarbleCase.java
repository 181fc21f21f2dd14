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

/** Workers break off some of their answers at any byte, and write a second one to the same request. */
final class GarbleCase {

	private static final int WORKERS = 3;

	private static final int FAULTY = 2;

	/** Fraction of the answers of a faulty worker that it spoils. */
	private static final double SPOILT = 0.05;

	/** The disruption comes again and again, for so long each time. */
	private static final double SPELL_SECONDS = 5;

	private static final double SPELL_EVERY_SECONDS = 7;

	private static final int CLIENTS = 36;

	private static final double SECONDS = 84;

	private static final int BODY_BYTES = 800;

	private static final List<String> mixed = new CopyOnWriteArrayList<>();

	private static final AtomicInteger spoilt = new AtomicInteger();

	private static final AtomicInteger served = new AtomicInteger();

	private static final AtomicInteger failed = new AtomicInteger();

	private static final String CONFIG = "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"shop.example\",\"PathPrefix\":\"/a/\","
			+ "\"Kind\":\"non_idempotent\",\"TimeoutMs\":800,\"GoalMs\":100,\"Priority\":2,\"Service\":\"desk\","
			+ "\"MaxAttempts\":1,\"Public\":false}],\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/health\",\"MaxConns\":96,"
			+ "\"Protocol\":\"h1\",\"Tls\":false,\"ColdS\":0.0,\"ColdPerS\":0.0}],\"Limits\":{\"MaxHeaderBytes\":16384,"
			+ "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";

	public static void main(String[] args) throws Exception {
		Lab.main(args[0], () -> {
			Lab lab = new Lab();
			lab.store.put("op", "config", CONFIG);
			for (int i = 0; i < WORKERS; i++) {
				new Stutterer("w-" + i, i < FAULTY && Lab.TROUBLE).register(lab.store);
			}
			List<Lab.Entry> entries = new ArrayList<>();
			for (int i = 0; i < 3; i++) {
				entries.add(lab.entry("edge-" + i, "zone-" + i));
			}
			for (Lab.Entry entry : entries) {
				entry.start();
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
			Lab.end(!mixed.isEmpty(), mixed.size() + " successes with another body than the worker's, of " + spoilt
					+ " answers that were broken off, " + served + " sound successes, " + failed + " failures: " + mixed);
		});
	}

	/** One client: a request about every 100 ms, on one connection as long as it is kept. */
	private static void talk(int number, Lab.Entry entry, double until) {
		Random random = new Random(number);
		Client client = null;
		for (int i = 0; Lab.now() < until; i++) {
			String id = String.format("%04x%012x", number, random.nextLong() & 0xffffffffffffL);
			try {
				client = (client != null) ? client : new Client(entry.front(), 3_000);
				client.send(Client.head("POST", "/a/x", id, 1_500, "", 600), new byte[600]);
				Http answer = client.receive();
				boolean success = answer != null && answer.status() == 200;
				if (success && !new String(answer.body, StandardCharsets.ISO_8859_1).equals(wholeBody(id))) {
					String end = new String(answer.body, answer.body.length - 60, 60, StandardCharsets.ISO_8859_1);
					Lab.note("answer  %s: 200, %s, body of %d bytes ends with: %s", id, answer.header("Response-Seal"),
							answer.body.length, end.replace("\r", "\\r").replace("\n", "\\n"));
					mixed.add(id);
				}
				else if (success) {
					served.incrementAndGet();
				}
				else {
					Lab.note("answer  %s: %s", id, (answer != null) ? answer.first : "closed");
					failed.incrementAndGet();
				}
				if (answer == null || answer.header("Connection").equalsIgnoreCase("close")) {
					client.close();
					client = null;
				}
				Lab.sleep(50 + random.nextInt(100));
			}
			catch (IOException ex) {
				Lab.note("answer  %s: %s", id, ex);
				client = null;
			}
		}
	}

	/** The whole body of a worker's answer: no two requests have the same. */
	private static String wholeBody(String id) {
		StringBuilder body = new StringBuilder("booked " + id + "\n");
		while (body.length() < BODY_BYTES) {
			body.append(body.length()).append(" seats of the workshop are taken\n");
		}
		return body.substring(0, BODY_BYTES);
	}

	/** A worker that breaks off some answers, at a byte drawn at random, and writes the answer once more. */
	private static final class Stutterer extends Worker {

		private final boolean faulty;

		private final Random random;

		Stutterer(String id, boolean faulty) throws IOException {
			super(id, "desk", "zone-" + id.charAt(2), 15);
			this.faulty = faulty;
			this.random = new Random();
		}

		@Override
		boolean run(Http request, Socket socket, BufferedInputStream in) throws IOException {
			String id = request.header("Attempt-Id");
			runs.computeIfAbsent(id, (name) -> new AtomicInteger()).incrementAndGet();
			Lab.sleep(this.workMillis);
			byte[] answer = ("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\n" + seal() + "Content-Length: " + BODY_BYTES
					+ "\r\n\r\n" + wholeBody(id))
				.getBytes(StandardCharsets.ISO_8859_1);
			OutputStream out = socket.getOutputStream();
			int written = answer.length;
			synchronized (this.random) {
				if (this.faulty && Lab.now() % SPELL_EVERY_SECONDS < SPELL_SECONDS
						&& this.random.nextDouble() < SPOILT) {
					written = 1 + this.random.nextInt(answer.length - 1);
				}
			}
			out.write(answer, 0, written);
			out.flush();
			if (written < answer.length) {
				spoilt.incrementAndGet();
				Lab.note("broken  off at %s: %s, after %d of %d bytes; the answer follows once more", this.id, id, written,
						answer.length);
				Lab.sleep(5);
				out.write(answer);
				out.flush();
			}
			return true;
		}

	}

}
