package review3;

import java.nio.file.Path;
import java.util.List;

/** The operator goes on with versions that are the milliseconds of the day they are made. */
final class LargeVersion extends Case {

	LargeVersion(Path folder) throws Exception {
		super(folder);
	}

	@Override
	int play() throws Exception {
		List<String> services = List.of(service("uygulama"), service("yeni"));
		List<String> tenants = List.of(tenant("huka270", "kept-key", "dropped-key"));
		publish(7, List.of(route("kayit", "/kayit/", "non_idempotent", 800, "uygulama")), services, tenants);
		for (String service : List.of("uygulama", "yeni")) {
			for (int i = 1; i <= 2; i++) {
				new Worker("127.0.0.1", service + '-' + i, service, this.store, this.record, (request) -> {
					Thread.sleep(15);
					return Worker.text(service);
				});
			}
		}
		if (!startEntries(3)) {
			return NOT_RUN;
		}
		int tries = 0;
		while (run("kept-key", "uygulama") != this.entries.size() || run("dropped-key", "uygulama") != this.entries.size()) {
			if (++tries == 10) {
				return NOT_RUN;
			}
		}
		long version = this.trouble ? System.currentTimeMillis() : 12;
		publish(version, List.of(route("kayit", "/kayit/", "non_idempotent", 800, "yeni")), services,
				List.of(tenant("huka270", "kept-key")));
		Thread.sleep(10_000);
		int old = run("kept-key", "uygulama");
		int dropped = run("dropped-key", "uygulama") + run("dropped-key", "yeni");
		System.out.println("10 s after the acknowledgement of version " + version + ": run by the old service " + old
				+ ", run with the dropped key " + dropped);
		this.record.line("judged", "old-service=" + old, "dropped-key=" + dropped);
		return (old + dropped > 0) ? BROKEN : HELD;
	}

	/** Sends one request to each entry host and returns how many the service has run. */
	private int run(String key, String service) {
		int served = 0;
		for (Daemon entry : this.entries) {
			try (Client client = new Client(entry, this.record)) {
				Client.Answer answer = client.send("POST", "app.example", "/kayit/2f", key, 1_500, new byte[600]);
				served += (answer.success() && new String(answer.body()).equals(service)) ? 1 : 0;
			}
		}
		return served;
	}

	public static void main(String[] arguments) throws Exception {
		main(new LargeVersion(Path.of(arguments[0])));
	}

}
