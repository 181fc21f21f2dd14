package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker starts while the clock of its machine is ahead, crashes, starts again under its id when the clock is
 * right again, and drains.
 */
final class BornBack extends Case {

	private static final int STEP_MILLIS = 2_400;

	private static final int DRAIN_MILLIS = 2_000;

	private volatile long lastRunMillis;

	BornBack(Path folder) throws Exception {
		super(folder);
	}

	@Override
	int play() throws Exception {
		publish(7, List.of(route("kayit", "/kayit/", "non_idempotent", 800, "uygulama")), List.of(service("uygulama")),
				List.of(tenant("huka270", "key-0")));
		for (int i = 1; i <= 2; i++) {
			new Worker("127.0.0.1", "w-" + i, "uygulama", this.store, this.record, (request) -> {
				Thread.sleep(15);
				return Worker.text("booked");
			});
		}
		if (!startEntries(3)) {
			return NOT_RUN;
		}
		long ahead = this.trouble ? STEP_MILLIS : 0;
		Worker worker = new Worker("127.0.0.1", "w-3", "uygulama", this.store, this.record, (request) -> {
			this.lastRunMillis = this.record.millis();
			Thread.sleep(15);
			return Worker.text("booked");
		}, System.currentTimeMillis() + ahead);
		Thread.sleep(1_500);
		worker.crash();
		Thread.sleep(300);
		worker.restart(System.currentTimeMillis());
		List<Thread> clients = new ArrayList<>();
		long end = System.nanoTime() + 14_000_000_000L;
		for (int i = 0; i < 9; i++) {
			Client client = new Client(this.entries.get(i % 3), this.record);
			clients.add(Server.thread("client", () -> {
				while (System.nanoTime() < end) {
					client.send("POST", "app.example", "/kayit/2f", "key-0", 1_500, new byte[600]);
					Thread.sleep(150);
				}
			}));
		}
		Thread.sleep(4_000);
		worker.drain();
		long acknowledged = this.record.millis();
		for (Thread client : clients) {
			client.join();
		}
		long late = this.lastRunMillis - acknowledged;
		System.out.println("last request at the draining worker " + late + " ms after the acknowledgement");
		this.record.line("judged", "last-run-after-ack=" + late + "ms", "bound=" + DRAIN_MILLIS + "ms");
		return (late > DRAIN_MILLIS) ? BROKEN : HELD;
	}

	public static void main(String[] arguments) throws Exception {
		main(new BornBack(Path.of(arguments[0])));
	}

}
