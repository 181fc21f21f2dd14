import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: the programs as processes, the record, and time. */
final class Lab implements AutoCloseable {

	static final long START = System.nanoTime();

	/** Root of the repository. */
	static final Path ROOT = Path.of(System.getProperty("root"));

	static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

	private static final List<Process> started = new CopyOnWriteArrayList<>();

	private static PrintWriter record;

	private static Path folder;

	final Store store = new Store();

	private final String network = "127." + (1 + ProcessHandle.current().pid() / 250 % 250) + "."
			+ ProcessHandle.current().pid() % 250 + ".";

	private final Map<String, String> bounds = new HashMap<>(Map.of("Bounds.RetryBudgetRatio", "0.2",
			"Bounds.BudgetSlack", "52", "Bounds.BudgetWindowS", "10", "Bounds.DrainMs", "2000", "Bounds.ConfigMs",
			"2000", "Bounds.GraceS", "8"));

	private final List<Entry> entries = new ArrayList<>();

	private int sidecars;

	/** Seeds: addresses for peers of the first three entry hosts. */
	private final List<String> seeds = new ArrayList<>();

	Lab() throws IOException {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> started.forEach(Process::destroyForcibly)));
	}

	/** Opens the record of the run in a case's folder. */
	static void openRecord(Path caseFolder) throws IOException {
		folder = Files.createTempDirectory("case");
		record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
	}

	static double now() {
		return (System.nanoTime() - START) / 1e9;
	}

	static synchronized void note(String format, Object... arguments) {
		record.printf("%8.3f  %s%n", now(), String.format(format, arguments));
		record.flush();
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	interface Task {

		void run() throws Exception;

	}

	static Thread daemon(String name, Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (IOException ex) {
				// The connection or the server is closed.
			}
			catch (Exception ex) {
				note("defect of the test in %s: %s", name, ex);
				ex.printStackTrace();
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	static String freeAddress(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
			return ip + ":" + socket.getLocalPort();
		}
	}

	/** The configuration of a service of model workers with one streaming route. */
	static String engineConfig(boolean resumable) {
		return "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"shop.example\",\"PathPrefix\":\"/a/\","
			+ "\"Kind\":\"streaming\",\"TimeoutMs\":39000,\"GoalMs\":1800,\"Priority\":1,\"Service\":\"llm\",\"MaxAttempts\":1,"
			+ "\"Public\":false,\"Sticky\":true,\"Resumable\":" + resumable + ",\"GapAimMs\":180}],\"Services\":[{\"Name\":\"llm\",\"HealthPath\":"
			+ "\"/health\",\"MaxConns\":302,\"Protocol\":\"h1\",\"Tls\":false,\"ColdS\":0,\"ColdPerS\":0,\"Engine\":{\"Slots\":24,"
			+ "\"KvCapacity\":34000,\"KvTokenBytes\":163840,\"LinkMbps\":24000.0,\"Moves\":true,\"Backups\":true,\"Stride\":4,"
			+ "\"most\":12,\"PinMs\":4000.0,\"HoldMs\":2000.0,\"HandleS\":5.0,\"Models\":[{\"Name\":\"m\"}]}}],"
			+ "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
	}

	/** Creates a sidecar beside an engine. */
	Entry sidecar(String name, String zone, String engine, String service) throws IOException {
		Entry sidecar = new Entry(name, zone, this.network + (101 + this.sidecars++));
		sidecar.role = "sidecar";
		sidecar.values.put("app", engine);
		sidecar.values.put("Service", service);
		return sidecar;
	}

	/** Creates an entry host with addresses of its own; all have to be created before one is started. */
	Entry entry(String name, String zone) throws IOException {
		Entry entry = new Entry(name, zone, this.network + (this.entries.size() + 1));
		this.entries.add(entry);
		if (this.seeds.size() < 3) {
			this.seeds.add(entry.values.get("Listen.Control"));
		}
		return entry;
	}

	/** A process of a role, started as the deploy file says. */
	final class Entry {

		final String name;

		private String role = "entry";

		final Map<String, String> values = new HashMap<>(Lab.this.bounds);

		Process process;

		private Entry(String name, String zone, String ip) throws IOException {
			this.name = name;
			this.values.put("NodeName", name);
			this.values.put("Zone", zone);
			this.values.put("Ip", ip);
			this.values.put("Listen.Front", freeAddress(ip));
			this.values.put("Listen.Ready", freeAddress(ip));
			this.values.put("Listen.Control", freeAddress(ip));
			this.values.put("Platform.Address", Lab.this.store.address());
		}

		String front() {
			return this.values.get("Listen.Front");
		}

		void start() throws IOException {
			this.values.put("Seeds", String.join(",", Lab.this.seeds));
			String deploy = Files.readString(ROOT.resolve("deploy/system.toml"));
			int from = deploy.indexOf("[roles." + this.role + "]");
			int next = deploy.indexOf("\n[roles.", deploy.indexOf("[roles." + this.role + ".env]") + 1);
			String role = deploy.substring(from, (next < 0) ? deploy.length() : next);
			Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(role);
			run.find();
			ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" ")).directory(ROOT.toFile())
				.redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(this.name + ".log").toFile()));
			Map<String, String> environment = builder.environment();
			environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
			Matcher variable = Pattern.compile("(?m)^(DOTTERELCRANK_\\w+) = \"(.*)\"$").matcher(role);
			while (variable.find()) {
				Matcher placeholder = Pattern.compile("\\{\\{(.*?)}}").matcher(variable.group(2));
				environment.put(variable.group(1),
						placeholder.replaceAll((found) -> this.values.getOrDefault(found.group(1), "")));
			}
			String metrics = freeAddress(this.values.get("Ip"));
			environment.put("DOTTERELCRANK_METRICS_PORT", metrics.substring(metrics.indexOf(':') + 1));
			this.process = builder.start();
			started.add(this.process);
			note("start   %s, pid %d", this.name, this.process.pid());
		}

		boolean ready() {
			try {
				HttpURLConnection connection = (HttpURLConnection) URI
					.create("http://" + this.values.get("Listen.Ready") + "/api/ready")
					.toURL()
					.openConnection();
				connection.setConnectTimeout(1_000);
				connection.setReadTimeout(1_000);
				return connection.getResponseCode() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		void awaitReady() throws IOException {
			double until = now() + 30;
			while (!ready()) {
				if (now() > until || !this.process.isAlive()) {
					throw new IOException(this.name + " is not ready");
				}
				sleep(50);
			}
		}

		void signal(String signal) throws Exception {
			note("signal  %s to %s", signal, this.name);
			new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
		}

	}

	@Override
	public void close() throws IOException {
		for (Process process : started) {
			process.destroyForcibly();
			process.onExit().join();
		}
		this.store.close();
	}

	/** Ends a run: 1 if the rule was broken, 0 if it held. */
	static void end(boolean broken, String what) throws IOException {
		note("%s  %s", broken ? "BROKEN" : "HELD", what);
		System.out.println((broken ? "broken: " : "held: ") + what);
		started.forEach(Process::destroyForcibly);
		started.forEach((process) -> process.onExit().join());
		if (System.getenv("KEEP") == null) {
			deleteFolder();
		}
		Runtime.getRuntime().halt(broken ? 1 : 0);
	}

	private static void deleteFolder() throws IOException {
		try (var files = Files.list(folder)) {
			files.forEach((file) -> file.toFile().delete());
		}
		Files.delete(folder);
	}

	interface Case {

		void run() throws Exception;

	}

	/** Runs a case; one that cannot run ends with 2. */
	static void main(String caseFolder, Case toRun) throws Exception {
		openRecord(Path.of(caseFolder));
		Thread watchdog = daemon("watchdog", () -> {
			sleep(115_000);
			note("the case took too long");
			started.forEach(Process::destroyForcibly);
			Runtime.getRuntime().halt(2);
		});
		try {
			toRun.run();
		}
		catch (Throwable ex) {
			ex.printStackTrace();
			note("the case could not run: %s", ex);
		}
		started.forEach(Process::destroyForcibly);
		Runtime.getRuntime().halt(2);
	}

}
