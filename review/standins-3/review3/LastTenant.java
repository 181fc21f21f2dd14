package review3;

import java.nio.file.Path;
import java.util.List;

/** A new version takes away the last tenant. */
final class LastTenant extends Case {

	LastTenant(Path folder) throws Exception {
		super(folder);
	}

	@Override
	int play() throws Exception {
		List<String> routes = List.of(route("kayit", "/kayit/", "non_idempotent", 800, "uygulama"));
		List<String> services = List.of(service("uygulama"));
		publish(7, routes, services, List.of(tenant("huka270", "key-of-huka270")));
		for (int i = 1; i <= 3; i++) {
			new Worker("127.0.0.1", "w-" + i, "uygulama", this.store, this.record, (request) -> {
				Thread.sleep(15);
				return Worker.text("booked");
			});
		}
		if (!startEntries(3)) {
			return NOT_RUN;
		}
		int tries = 0;
		while (run("key-of-huka270") != this.entries.size()) {
			if (++tries == 10) {
				return NOT_RUN;
			}
		}
		if (run("never-held") != 0 || run("") != 0) {
			return NOT_RUN;
		}
		// Without trouble another tenant stays.
		publish(12, routes, services, this.trouble ? List.of() : List.of(tenant("tena911", "key-of-tena911")));
		Thread.sleep(5_000);
		int held = run("key-of-huka270");
		int never = run("never-held");
		int none = run("");
		System.out.println("runs 5 s after the acknowledgement: dropped key " + held + ", key never held " + never
				+ ", no key " + none);
		this.record.line("judged", "dropped=" + held, "never-held=" + never, "none=" + none);
		return (held + never + none > 0) ? BROKEN : HELD;
	}

	/** Sends one request to each entry host and returns how many were run. */
	private int run(String key) {
		int served = 0;
		for (Daemon entry : this.entries) {
			try (Client client = new Client(entry, this.record)) {
				served += client.send("POST", "app.example", "/kayit/2f", key, 1_500, new byte[600]).success() ? 1 : 0;
			}
		}
		return served;
	}

	public static void main(String[] arguments) throws Exception {
		main(new LastTenant(Path.of(arguments[0])));
	}

}
