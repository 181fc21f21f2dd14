package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker fails requests that it has run with 503 and its seal; it does not say that it has not run them. */
final class SealedRefusal extends Case {

	private static final int FAILING_MILLIS = 6_500;

	private final Set<String> booked = ConcurrentHashMap.newKeySet();

	SealedRefusal(Path folder) throws Exception {
		super(folder);
	}

	@Override
	int play() throws Exception {
		publish(7, List.of(route("kayit", "/kayit/", "non_idempotent", 800, "uygulama")), List.of(service("uygulama")),
				List.of(tenant("huka270", "key-0")));
		List<Worker> workers = new ArrayList<>();
		for (int i = 1; i <= 3; i++) {
			workers.add(new Worker("127.0.0.1", "w-" + i, "uygulama", this.store, this.record, (request) -> {
				this.booked.add(request.header("attempt-id", ""));
				Thread.sleep(21);
				return Worker.text("the booking is made, its confirmation could not be sent");
			}));
		}
		if (!startEntries(3)) {
			return NOT_RUN;
		}
		if (this.trouble) {
			workers.get(0).fail(45, 503);
		}
		AtomicInteger answers = new AtomicInteger();
		AtomicInteger promisedThoughRun = new AtomicInteger();
		long end = System.nanoTime() + FAILING_MILLIS * 1_000_000L;
		List<Thread> clients = new ArrayList<>();
		for (int i = 0; i < 4 * this.entries.size(); i++) {
			Client client = new Client(this.entries.get(i % this.entries.size()), this.record);
			clients.add(Server.thread("client", () -> {
				while (System.nanoTime() < end) {
					Client.Answer answer = client.send("POST", "app.example", "/kayit/2f", "key-0", 1_500, new byte[600]);
					answers.addAndGet((answer.status() > 0) ? 1 : 0);
					boolean promise = Set.of(408, 421, 429, 503).contains(answer.status());
					promisedThoughRun.addAndGet((promise && this.booked.contains(answer.attempt())) ? 1 : 0);
					Thread.sleep(100);
				}
			}));
		}
		for (Thread client : clients) {
			client.join();
		}
		System.out.println("answers " + answers + ", that promise no run for a request that has run " + promisedThoughRun);
		this.record.line("judged", "answers=" + answers, "promised-though-run=" + promisedThoughRun);
		return (promisedThoughRun.get() > 0) ? BROKEN : HELD;
	}

	public static void main(String[] arguments) throws Exception {
		main(new SealedRefusal(Path.of(arguments[0])));
	}

}
