package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.Map;

/** A new version adds two tenants whose names have letters that ASCII lacks. */
final class TenantNames extends Case {

	private final Map<String, String> tenantOfRun = new ConcurrentHashMap<>();

	TenantNames(Path folder) throws Exception {
		super(folder);
	}

	@Override
	int play() throws Exception {
		List<String> routes = List.of(route("kayit", "/kayit/", "non_idempotent", 800, "uygulama"));
		List<String> services = List.of(service("uygulama"));
		List<String> names = this.trouble ? List.of("\u015fi\u015fli", "\u011fi\u011fli") : List.of("sisli", "gigli");
		publish(7, routes, services, List.of(tenant("huka270", "key-0")));
		for (int i = 1; i <= 3; i++) {
			new Worker("127.0.0.1", "w-" + i, "uygulama", this.store, this.record, (request) -> {
				this.tenantOfRun.put(request.header("attempt-id", ""), request.header("tenant", ""));
				Thread.sleep(15);
				return Worker.text("booked");
			});
		}
		if (!startEntries(3)) {
			return NOT_RUN;
		}
		publish(12, routes, services, List.of(tenant("huka270", "key-0"), tenant(names.get(0), "key-1"),
				tenant(names.get(1), "key-2")));
		Thread.sleep(5_000);
		int runs = 0;
		int foreign = 0;
		List<String> seen = new ArrayList<>();
		for (Daemon entry : this.entries) {
			for (int i = 0; i < 2; i++) {
				try (Client client = new Client(entry, this.record)) {
					Client.Answer answer = client.send("POST", "app.example", "/kayit/2f", "key-" + (i + 1), 1_500, new byte[600]);
					String got = this.tenantOfRun.get(answer.attempt());
					if (got != null) {
						runs++;
						// Either encoding of the name counts as the name.
						boolean own = got.equals(names.get(i)) || Worker.utf8(got).equals(names.get(i));
						foreign += own ? 0 : 1;
						seen.add(names.get(i) + "->" + got);
					}
				}
			}
		}
		System.out.println("runs " + runs + ", with a Tenant that is not the key's " + foreign + ": " + seen);
		this.record.line("judged", "runs=" + runs, "foreign=" + foreign, seen.toString());
		return (foreign > 0) ? BROKEN : (runs > 0) ? HELD : NOT_RUN;
	}

	public static void main(String[] arguments) throws Exception {
		main(new TenantNames(Path.of(arguments[0])));
	}

}
