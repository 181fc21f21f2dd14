import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/** Streams run while the path to one engine is cut for a short time. */
final class CutCase {

	private static final int ENGINES = 6;

	/** Engines that do not drop a run when its connection closes; most do. */
	private static final int WORK_ON = 2;

	private static final int STREAMS = 18;

	private static final long CUT_MILLIS = 2_500;

	/** Time after the cut from which on the entry hosts are in touch whatever it was, in seconds. */
	private static final double CONTACT_SECONDS = 3;

	public static void main(String[] args) throws Exception {
		Lab.main(args[0], () -> {
			Lab lab = new Lab();
			lab.store.put("op", "config", Lab.engineConfig(false));
			List<Engine> engines = new ArrayList<>();
			for (int i = 0; i < ENGINES; i++) {
				Engine engine = new Engine("i-" + i, "llm", "zone-" + i % 3, i >= WORK_ON);
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
				String id = "stream-" + i;
				Lab.Entry entry = entries.get(i % entries.size());
				Lab.daemon(id, () -> {
					try (Client client = new Client(entry.front(), 5_000)) {
						Lab.note("send    %s to %s", id, entry.name);
						client.send(Client.head("POST", "/a/x", id, 39_000,
								"Model: m\r\nToken-Counts: 200,800\r\nPrompt-Prefix: aa:100,b" + Integer.toHexString(
										id.hashCode()) + ":100\r\n",
								100), new byte[100]);
						Http answer = Http.head(client.in);
						int events = 0;
						if (answer != null && answer.chunked()) {
							while (Http.chunk(client.in).length > 0) {
								events++;
							}
						}
						Lab.note("answer  %s: %s, %d pieces, complete", id, (answer != null) ? answer.first : "closed", events);
					}
					catch (java.io.IOException ex) {
						Lab.note("answer  %s: broken off (%s)", id, ex);
					}
					finally {
						done.countDown();
					}
				});
				Lab.sleep(60);
			}
			Lab.sleep(3_000);
			Engine cut = engines.stream().limit(WORK_ON).max(java.util.Comparator.comparingLong(CutCase::runsAt)).orElseThrow();
			double healed = 0;
			if (Lab.TROUBLE) {
				Lab.note("cut     the path from all entry hosts to %s", cut.id);
				cut.path.cut();
				Lab.sleep(CUT_MILLIS);
				cut.path.heal();
				healed = Lab.now();
				Lab.note("healed  the path to %s", cut.id);
			}
			done.await();
			Lab.sleep(500);
			judge(healed);
		});
	}

	private static long runsAt(Engine engine) {
		return Engine.allRuns.stream().filter((run) -> run.engine == engine).count();
	}

	/** A run still works 400 ms after another run of the same request began, and ContactMs after the path was back. */
	private static void judge(double healed) throws java.io.IOException {
		List<String> broken = new ArrayList<>();
		for (Engine.Run former : Engine.allRuns) {
			for (Engine.Run later : Engine.allRuns) {
				if (later != former && later.id.equals(former.id) && later.started > former.started) {
					double from = Math.max(later.started, healed + CONTACT_SECONDS) + 0.4;
					long count = former.madeAt.stream().filter((made) -> made >= from).count();
					Lab.note("check   %s goes on at %s from %.3f; %s makes %d events after %.3f", later.id, later.engine.id,
							later.started, former.engine.id, count, from);
					if (count > 1) {
						broken.add(former.id);
					}
				}
			}
		}
		Lab.end(!broken.isEmpty(), broken.size() + " requests at work at two workers: " + broken);
	}

}
