package review3;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Parts that the cases share: store, workers, entry hosts and the operator's configuration. */
abstract class Case {

	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int NOT_RUN = 2;

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	final Record record;

	final Path folder;

	final Store store;

	final List<Daemon> entries = new ArrayList<>();

	Case(Path caseFolder) throws Exception {
		this.record = new Record(caseFolder.resolve("record.txt"));
		this.folder = Files.createTempDirectory("review-3-");
		this.store = new Store("127.0.0.1");
		this.record.line("trouble", Boolean.toString(this.trouble));
	}

	/** Starts entry hosts in zones of their own and waits until all are ready. */
	boolean startEntries(int count) throws Exception {
		List<String> ips = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			ips.add("127." + (40 + ProcessHandle.current().pid() % 200) + ".7." + (11 + i));
		}
		List<String> seeds = Daemon.peerAddresses(ips);
		for (int i = 0; i < count; i++) {
			Daemon entry = Daemon.entry("edge-" + (char) ('a' + i) + "-1", "zone-" + (char) ('a' + i), seeds.get(i), seeds,
					this.store, this.folder);
			this.entries.add(entry);
			entry.start();
		}
		for (Daemon entry : this.entries) {
			if (!entry.awaitReady(30_000)) {
				this.record.line("not-ready", entry.name);
				return false;
			}
		}
		Thread.sleep(2_000);
		return true;
	}

	static String route(String name, String prefix, String kind, int timeoutMillis, String service) {
		return "{\"Name\":\"" + name + "\",\"Host\":\"app.example\",\"PathPrefix\":\"" + prefix + "\",\"Kind\":\"" + kind
				+ "\",\"TimeoutMs\":" + timeoutMillis + ",\"GoalMs\":121,\"Priority\":2,\"Service\":\"" + service
				+ "\",\"MaxAttempts\":" + (kind.equals("idempotent") ? 2 : 1)
				+ ",\"Public\":false,\"Sticky\":false,\"Resumable\":false}";
	}

	static String service(String name) {
		return "{\"Name\":\"" + name
				+ "\",\"HealthPath\":\"/health\",\"MaxConns\":96,\"Protocol\":\"h1\",\"Tls\":false,\"ColdS\":0.0,\"ColdPerS\":0.0}";
	}

	static String tenant(String name, String... keys) {
		return "{\"Name\":\"" + name + "\",\"ApiKeys\":[\"" + String.join("\",\"", keys) + "\"],\"Priority\":2}";
	}

	/** Writes a version of the configuration; the return is the store's acknowledgement. */
	void publish(long version, List<String> routes, List<String> services, List<String> tenants) {
		String config = "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes) + "],\"Services\":["
				+ String.join(",", services) + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
				+ "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[" + String.join(",", tenants) + "]}";
		this.store.put("op", "config", config);
		this.record.line("acknowledged", "version=" + version, config);
	}

	abstract int play() throws Exception;

	private static void deleteFolder(Path folder) {
		try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
			files.sorted(java.util.Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (java.io.IOException ex) {
			// What is left is in the temporary folder.
		}
	}

	static void main(Case played) {
		int result = NOT_RUN;
		try {
			result = played.play();
			for (Daemon entry : played.entries) {
				played.record.line("process", entry.name, entry.alive() ? "runs" : "ended with " + entry.exitCode());
			}
		}
		catch (Exception ex) {
			ex.printStackTrace();
			played.record.line("could-not-run", ex.toString());
		}
		for (Daemon entry : played.entries) {
			entry.kill();
		}
		if (System.getenv("KEEP") == null) {
			deleteFolder(played.folder);
		}
		else {
			System.out.println("logs of the processes: " + played.folder);
		}
		played.record.line("result", Integer.toString(result));
		System.out.println((result == HELD) ? "held" : (result == BROKEN) ? "broken" : "could not run");
		System.exit(result);
	}

}
