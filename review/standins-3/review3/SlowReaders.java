package review3;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients of one entry host read large answers slowly, while others send small requests. */
final class SlowReaders extends Case {

	/** As many as the site has clients in its largest zone. */
	private static final int READERS = 21;

	/** Less than the 8 MiB that the entry host itself allows for an answer. */
	private static final int LARGE_BYTES = 7_500_000;

	private static final int LARGE_TIMEOUT_MILLIS = 39_000;

	private static final int SMALL_TIMEOUT_MILLIS = 800;

	/** More than that many connections closed without an answer break the rule LOST. */
	private static final int LOST_ALLOWED = 3;

	private final Set<String> run = ConcurrentHashMap.newKeySet();

	private final AtomicInteger closed = new AtomicInteger();

	private final AtomicInteger whole = new AtomicInteger();

	private final AtomicInteger smallUnanswered = new AtomicInteger();

	private final AtomicInteger smallServed = new AtomicInteger();

	SlowReaders(Path folder) throws Exception {
		super(folder);
	}

	@Override
	int play() throws Exception {
		publish(7, List.of(route("rapor", "/rapor/", "non_idempotent", LARGE_TIMEOUT_MILLIS, "uygulama"),
				route("kayit", "/kayit/", "non_idempotent", SMALL_TIMEOUT_MILLIS, "uygulama")), List.of(service("uygulama")),
				List.of(tenant("huka270", "key-0")));
		for (int i = 1; i <= 3; i++) {
			new Worker("127.0.0.1", "w-" + i, "uygulama", this.store, this.record, (request) -> {
				this.run.add(request.header("attempt-id", ""));
				Thread.sleep(15);
				return new byte[request.path().startsWith("/rapor/") ? LARGE_BYTES : 800];
			});
		}
		if (!startEntries(2)) {
			return NOT_RUN;
		}
		Daemon entry = this.entries.get(0);
		for (int i = 0; i < READERS; i++) {
			int number = i;
			Server.thread("reader", () -> {
				Thread.sleep(500L * number);
				readLarge(entry, number);
			});
		}
		List<Thread> others = new ArrayList<>();
		long end = System.nanoTime() + 20_000_000_000L;
		for (int i = 0; i < 10; i++) {
			Client client = new Client(entry, this.record);
			others.add(Server.thread("client", () -> {
				while (System.nanoTime() < end) {
					Client.Answer answer = client.send("POST", "app.example", "/kayit/2f", "key-0", 1_500, new byte[600]);
					(answer.status() == 0 ? this.smallUnanswered : this.smallServed).incrementAndGet();
					Thread.sleep(100);
				}
			}));
		}
		for (Thread other : others) {
			other.join();
		}
		System.out.println("large answers: " + this.whole + " whole, " + this.closed
				+ " connections closed without a whole answer though the request was run; small requests: " + this.smallServed
				+ " answered, " + this.smallUnanswered + " never answered");
		this.record.line("judged", "closed-without-answer=" + this.closed, "allowed=" + LOST_ALLOWED,
				"small-never-answered=" + this.smallUnanswered);
		return (this.closed.get() > LOST_ALLOWED) ? BROKEN : HELD;
	}

	private void readLarge(Daemon entry, int number) throws Exception {
		String attempt = String.format("%016x", 0x770000L + number);
		try (Socket socket = new Socket()) {
			if (this.trouble) {
				socket.setReceiveBufferSize(16 * 1024);
			}
			socket.connect(new InetSocketAddress(entry.ip(), entry.callerPort()), 1_000);
			this.record.line("sent", attempt, "to=" + entry.name, "POST /rapor/2f", "key=key-0");
			socket.getOutputStream()
				.write(Http.message("POST /rapor/2f HTTP/1.1", Map.of("Host", "app.example", "Attempt-Id", attempt,
						"Deadline-Ms", Integer.toString(LARGE_TIMEOUT_MILLIS), "Authorization", "Bearer key-0"), new byte[600]));
			InputStream in = socket.getInputStream();
			byte[] buffer = new byte[this.trouble ? 8_000 : 64_000];
			String head = "";
			long read = 0;
			String ended = "";
			try {
				for (int n = in.read(buffer); n > 0; n = in.read(buffer)) {
					if (read == 0) {
						head = new String(buffer, 0, n, StandardCharsets.ISO_8859_1);
					}
					read += n;
					int headLength = head.indexOf("\r\n\r\n") + 4;
					if (head.startsWith("HTTP/1.1 200") && read - headLength >= LARGE_BYTES) {
						ended = "whole";
						break;
					}
					if (!head.startsWith("HTTP/1.1 200")) {
						ended = "answered with a failure";
						break;
					}
					Thread.sleep(this.trouble ? 50 : 0);
				}
			}
			catch (java.io.IOException ex) {
				ended = "";
			}
			if (ended.equals("whole")) {
				this.whole.incrementAndGet();
			}
			else if (ended.isEmpty() && this.run.contains(attempt)) {
				this.closed.incrementAndGet();
				ended = "closed without a whole answer";
			}
			this.record.line("answered", attempt, (head.length() > 12) ? head.substring(9, 12) : "-", "read=" + read, ended);
		}
	}

	public static void main(String[] arguments) throws Exception {
		main(new SlowReaders(Path.of(arguments[0])));
	}

}
