package review3;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A program of the deploy file as a process of its own, with the environment of a small deployment. */
final class Daemon {

	private static final List<Daemon> started = new ArrayList<>();

	static {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> started.forEach(Daemon::kill)));
	}

	final String name;

	private final String role;

	private final Map<String, String> environment = new TreeMap<>();

	private final Path log;

	private Process process;

	private Daemon(String role, String name, Path folder) {
		this.role = role;
		this.name = name;
		this.log = folder.resolve(name + ".log");
	}

	static int freePort(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
			return socket.getLocalPort();
		}
	}

	/** Returns the addresses of entry hosts for peers, to be passed as seeds. */
	static List<String> peerAddresses(List<String> ips) throws IOException {
		List<String> addresses = new ArrayList<>();
		for (String ip : ips) {
			addresses.add(ip + ':' + freePort(ip));
		}
		return addresses;
	}

	/** Creates an entry host, with the bounds of the site kongre-app. */
	static Daemon entry(String name, String zone, String peers, List<String> seeds, Store store, Path folder)
			throws IOException {
		Daemon daemon = new Daemon("entry", name, folder);
		String ip = peers.substring(0, peers.indexOf(':'));
		daemon.common(ip, zone, seeds, store);
		daemon.set("LINK_MBPS", "1000.0");
		daemon.set("CALLERS", ip + ':' + freePort(ip));
		daemon.set("READY", ip + ':' + freePort(ip));
		daemon.set("PEERS", peers);
		daemon.set("REPEAT_RATIO", "0.2");
		daemon.set("REPEAT_SLACK", "52");
		daemon.set("REPEAT_WINDOW_SECONDS", "10");
		daemon.set("DRAIN_MILLIS", "2000");
		daemon.set("CONFIG_MILLIS", "2000");
		daemon.set("GRACE_SECONDS", "8");
		daemon.set("EXPOSED_SHARE", "");
		daemon.set("EXPOSED_SLACK", "");
		daemon.set("ROLLBACK_MILLIS", "");
		return daemon;
	}

	private void common(String ip, String zone, List<String> seeds, Store store) throws IOException {
		set("METRICS_PORT", Integer.toString(freePort(ip)));
		set("NAME", this.name);
		set("DATA_CENTRE", zone);
		set("IP", ip);
		set("STORE", store.address());
		set("SEEDS", String.join(",", seeds));
	}

	private void set(String setting, String value) {
		this.environment.put("DOTTERELCRANK_" + setting, value);
	}

	/** Starts the process with the words of the deploy file, in the root of the repository. */
	void start() throws IOException {
		Matcher run = Pattern.compile("(?m)^\\[roles\\." + this.role + "\\]\\s*\\nrun = \"(.*)\"$")
			.matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml has no role " + this.role);
		}
		ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" ")).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().putAll(this.environment);
		this.process = builder.start();
		synchronized (started) {
			started.add(this);
		}
	}

	String address(String setting) {
		return this.environment.get("DOTTERELCRANK_" + setting);
	}

	String ip() {
		return address("IP");
	}

	int callerPort() {
		return Integer.parseInt(address("CALLERS").split(":")[1]);
	}

	boolean ready() {
		try {
			HttpURLConnection call = (HttpURLConnection) URI.create("http://" + address("READY") + "/api/ready")
				.toURL()
				.openConnection();
			call.setConnectTimeout(1_000);
			call.setReadTimeout(1_000);
			return call.getResponseCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	boolean awaitReady(long millis) throws InterruptedException {
		for (long end = System.nanoTime() + millis * 1_000_000; System.nanoTime() < end;) {
			if (ready()) {
				return true;
			}
			Thread.sleep(50);
		}
		return false;
	}

	boolean alive() {
		return this.process.isAlive();
	}

	int exitCode() {
		return this.process.exitValue();
	}

	/** Memory of the process, as the system counts it, in MB; 0 once it has ended. */
	long memoryMb() {
		try {
			for (String line : Files.readAllLines(Path.of("/proc/" + this.process.pid() + "/status"))) {
				if (line.startsWith("VmRSS:")) {
					return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1_024;
				}
			}
		}
		catch (IOException ex) {
			// It has ended.
		}
		return 0;
	}

	List<String> lines() throws IOException {
		return Files.readAllLines(this.log);
	}

	void signal(String signal) throws Exception {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	void kill() {
		if (this.process != null) {
			this.process.destroyForcibly();
			this.process.onExit().join();
		}
	}

}
