import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts, in each window of 10 s, the arrivals at a service beyond the first of each request, over all workers, while
 * all entry processes are killed once and started again.
 */
final class BudgetCase {

	static final int ENTRIES = 3;

	static final int WORKERS = 3;

	static final long WORK_MILLIS = 180;

	static final int GOAL_MILLIS = 200;

	static final double PER_SECOND = 20;

	static final long DAY_MILLIS = 25_000;

	static final long KILL_AT_MILLIS = 4_500;

	static final long RESTART_DELAY_MILLIS = 500;

	static final double RATIO = 0.2;

	static final double SLACK = 52;

	static final long WINDOW_MILLIS = 10_000;

	record Arrival(long millis, String id) {
	}

	public static void main(String[] arguments) throws IOException {
		Path folder = Path.of(arguments[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path logs = Files.createTempDirectory("budget");
		int exit = 2;
		try (Standin.Journal journal = new Standin.Journal(folder.resolve("record.txt"))) {
			exit = play(journal, logs, trouble);
			journal.add("exit " + exit);
		}
		catch (Exception ex) {
			System.out.println("cannot run: " + ex);
			exit = 2;
		}
		// 1 is also the code of a JVM that fails.
		System.exit((exit == 1) ? 10 : exit);
	}

	static int play(Standin.Journal journal, Path logs, boolean trouble) throws Exception {
		Standin.Store store = new Standin.Store(Standin.ip(1));
		List<Arrival> arrivals = new ArrayList<>();
		List<Long> sent = new ArrayList<>();
		store.put("op", "config",
				"{\"Version\":7,\"Routes\":[{\"Name\":\"r-look\",\"Host\":\"shop.example\",\"PathPrefix\":\"/look/\",\"Kind\":\"idempotent\",\"TimeoutMs\":1500,\"GoalMs\":"
						+ GOAL_MILLIS
						+ ",\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":2,\"Public\":false}],\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/health\",\"MaxConns\":96,\"Protocol\":\"h1\",\"Tls\":false,\"ColdS\":0.0,\"ColdPerS\":0.0}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[]}");
		for (int i = 1; i <= WORKERS; i++) {
			String id = "i-" + i;
			int zone = i;
			Standin.Server worker = new Standin.Server(Standin.ip(10 + i), 0, (request, socket, out) -> {
				if (request.uri().equals("/health")) {
					Standin.writeResponse(out, 200, Map.of("Instance-Id", id), new byte[0]);
					return true;
				}
				String attempt = request.header("attempt-id");
				synchronized (arrivals) {
					arrivals.add(new Arrival(Standin.millis(), attempt));
				}
				journal.add("worker " + id + " runs " + attempt);
				Standin.sleep(WORK_MILLIS);
				Standin.writeResponse(out, 200,
						Map.of("Attempt-Id", attempt, "Response-Seal", "seal-" + attempt, "Instance-Id", id),
						"found".getBytes(StandardCharsets.UTF_8));
				return true;
			});
			store.put("servers", id, Standin.beat(worker, id, zone, 1));
			Standin.run(() -> {
				for (int sequence = 2;; sequence++) {
					Standin.sleep(1_200);
					store.put("servers", id, Standin.beat(worker, id, zone, sequence));
				}
			});
		}
		List<String> controls = new ArrayList<>();
		for (int i = 1; i <= ENTRIES; i++) {
			controls.add(Standin.ip(20 + i) + ':' + Standin.freePort(Standin.ip(20 + i)));
		}
		List<Standin.Daemon> entries = new ArrayList<>();
		for (int i = 1; i <= ENTRIES; i++) {
			Standin.Daemon entry = Standin.Daemon.entry(logs.resolve("edge-" + i + ".log"), "edge-" + i, "z-" + i,
					Standin.ip(20 + i), store.server.address(), String.join(",", controls), controls.get(i - 1));
			entries.add(entry);
			entry.start();
		}
		for (Standin.Daemon entry : entries) {
			if (!entry.awaitReady(20_000)) {
				journal.add("an entry did not become ready");
				return 2;
			}
		}
		Standin.sleep(6_000);
		long start = Standin.millis();
		journal.add("traffic starts");
		Standin.Counts answers = new Standin.Counts();
		AtomicInteger open = new AtomicInteger();
		Standin.run(() -> {
			for (int i = 0; Standin.millis() - start < DAY_MILLIS; i++) {
				int number = i;
				Standin.sleep(start + (long) (1_000 * number / PER_SECOND) - Standin.millis());
				synchronized (sent) {
					sent.add(Standin.millis());
				}
				open.incrementAndGet();
				Standin.run(() -> {
					String id = "a" + number;
					String end;
					try {
						journal.add("client sends " + id);
						end = String.valueOf(Standin
							.call(entries.get(number % ENTRIES).front(), "GET", "/look/" + number,
									Map.of("Attempt-Id", id, "Deadline-Ms", "1500"), new byte[0], 1_500)
							.status());
					}
					catch (IOException ex) {
						end = "no answer: " + ex.getMessage();
					}
					journal.add("client " + id + " got " + end);
					answers.add(end);
					open.decrementAndGet();
				});
			}
		});
		if (trouble) {
			Standin.sleep(start + KILL_AT_MILLIS - Standin.millis());
			journal.add("all entry processes are killed (SIGKILL)");
			entries.forEach(Standin.Daemon::kill);
			Standin.sleep(RESTART_DELAY_MILLIS);
			for (Standin.Daemon entry : entries) {
				entry.start();
			}
			journal.add("all entry processes are started again");
		}
		Standin.sleep(start + DAY_MILLIS + 2_000 - Standin.millis());
		entries.forEach(Standin.Daemon::kill);
		journal.add("answers " + answers);
		return judge(journal, arrivals, sent, start);
	}

	/** The rule: arrivals beyond the first in a window are at most ratio x requests + slack. */
	static int judge(Standin.Journal journal, List<Arrival> arrivals, List<Long> sent, long start) {
		Map<String, Long> first = new TreeMap<>();
		List<Long> repeats = new ArrayList<>();
		List<Arrival> ordered;
		synchronized (arrivals) {
			ordered = arrivals.stream().sorted((a, b) -> Long.compare(a.millis, b.millis)).toList();
		}
		for (Arrival arrival : ordered) {
			if (first.putIfAbsent(arrival.id, arrival.millis) != null) {
				repeats.add(arrival.millis);
			}
		}
		double worst = Double.NEGATIVE_INFINITY;
		String text = "no repeats";
		for (long end : repeats) {
			long count = repeats.stream().filter((at) -> at > end - WINDOW_MILLIS && at <= end).count();
			long requests = 0;
			for (long shift : new long[] { 0, WINDOW_MILLIS / 2, WINDOW_MILLIS }) {
				long to = end - shift;
				requests = Math.max(requests,
						sent.stream().filter((at) -> at > to - WINDOW_MILLIS && at <= to).count());
			}
			// A window that begins before the traffic gets the requests of a full one.
			requests = Math.max(requests, (long) (PER_SECOND * WINDOW_MILLIS / 1_000));
			double bound = RATIO * requests + SLACK;
			if (count - bound > worst) {
				worst = count - bound;
				text = count + " repeats in the 10 s up to " + (end - start) / 1_000.0 + " s of traffic, " + requests
						+ " requests, bound " + bound;
			}
		}
		journal.add("worst window: " + text);
		System.out.println(text);
		return (worst > 0) ? 1 : 0;
	}

}
