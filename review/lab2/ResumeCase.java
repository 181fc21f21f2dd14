import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/** Clients resume their streams after an entry host was killed, and an engine drains meanwhile. */
final class ResumeCase {

	private static final int ENGINES = 6;

	private static final int STREAMS = 18;

	private static final Set<String> broken = ConcurrentHashMap.newKeySet();

	public static void main(String[] args) throws Exception {
		Lab.main(args[0], () -> {
			Lab lab = new Lab();
			lab.store.put("op", "config", Lab.engineConfig(true));
			List<Engine> engines = new ArrayList<>();
			for (int i = 0; i < ENGINES; i++) {
				Engine engine = new Engine("i-" + i, "llm", "zone-" + i % 3, true);
				engine.prefillMillis = Integer.getInteger("prefill", 800);
				engine.register(lab.store);
				engines.add(engine);
			}
			List<Lab.Entry> entries = new ArrayList<>();
			for (int i = 0; i < 3; i++) {
				entries.add(lab.entry("edge-" + i, "zone-" + i));
			}
			for (Lab.Entry entry : entries) {
				entry.start();
			}
			for (Engine engine : engines) {
				lab.sidecar("side-" + engine.id, engine.zone, engine.address(), "llm").start();
			}
			for (Lab.Entry entry : entries) {
				entry.awaitReady();
			}
			Lab.sleep(3_000);
			CountDownLatch done = new CountDownLatch(STREAMS);
			for (int i = 0; i < STREAMS; i++) {
				String name = "stream-" + i;
				int first = i % entries.size();
				Lab.daemon(name, () -> {
					stream(name, entries, first);
					done.countDown();
				});
				Lab.sleep(50);
			}
			Lab.sleep(3_000);
			if (Lab.TROUBLE) {
				entries.get(0).signal("KILL");
				Lab.sleep(400);
				Engine draining = engines.stream()
					.max(java.util.Comparator.comparingLong(ResumeCase::resumedRunsAt))
					.orElseThrow();
				Lab.note("drain   %s", draining.id);
				draining.drain(lab.store);
			}
			done.await();
			Lab.end(!broken.isEmpty(), broken.size() + " streams with pieces twice, missing or out of order: " + broken);
		});
	}

	private static long resumedRunsAt(Engine engine) {
		return Engine.allRuns.stream().filter((run) -> run.engine == engine && run.id.endsWith("-1")).count();
	}

	/** One client: its stream and, after a broken connection, the rest of it at another entry host. */
	private static void stream(String name, List<Lab.Entry> entries, int first) {
		int last = 0;
		boolean complete = false;
		for (int attempt = 0; attempt < 4 && !complete; attempt++) {
			Lab.Entry entry = entries.get((first + attempt) % entries.size());
			String id = name + "-" + attempt;
			try (Client client = new Client(entry.front(), 5_000)) {
				Lab.note("send    %s to %s, Last-Event-Id: %s", id, entry.name, (last > 0) ? last : "-");
				client.send(Client.head("POST", "/a/x", id, 39_000,
						"Model: m\r\nToken-Counts: 3000,800\r\nPrompt-Prefix: aa:100,b" + Integer.toHexString(name.hashCode())
								+ ":2900\r\n" + ((last > 0) ? "Last-Event-Id: " + last + "\r\n" : ""),
						100), new byte[100]);
				Http answer = Http.head(client.in);
				if (answer == null || !answer.chunked()) {
					Lab.note("answer  %s: %s", id, (answer != null) ? answer.first : "closed");
					Lab.sleep(300);
					continue;
				}
				for (byte[] piece = Http.chunk(client.in); piece.length > 0; piece = Http.chunk(client.in)) {
					int event = Integer.parseInt(new String(piece).split("\n")[0].substring(4));
					if (event != last + 1) {
						Lab.note("piece   %s: event %d after event %d", id, event, last);
						broken.add(id);
					}
					last = event;
				}
				complete = true;
				Lab.note("answer  %s: complete with event %d", id, last);
				if (last != 200) {
					broken.add(id);
				}
			}
			catch (java.io.IOException ex) {
				Lab.note("answer  %s: broken off after event %d (%s)", id, last, ex.getMessage());
			}
		}
	}

}
