import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Clients connect to an entry host that has just been started again, keep their
 * connections and, seconds later, send requests with large heads that the configuration
 * allows.
 */
final class HeadCase {

	private static final int MAX_HEADER_BYTES = 32_768;

	private static final int HEAD_BYTES = 20_000;

	private static final int CLIENTS = 12;

	private static final String CONFIG = "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"shop.example\",\"PathPrefix\":\"/a/\","
			+ "\"Kind\":\"non_idempotent\",\"TimeoutMs\":1500,\"GoalMs\":300,\"Priority\":1,\"Service\":\"desk\","
			+ "\"MaxAttempts\":1,\"Public\":false}],\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/health\",\"MaxConns\":96,"
			+ "\"Protocol\":\"h1\",\"Tls\":false,\"ColdS\":0.0,\"ColdPerS\":0.0}],\"Limits\":{\"MaxHeaderBytes\":"
			+ MAX_HEADER_BYTES + ",\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";

	private static final List<String> refused = new CopyOnWriteArrayList<>();

	private static final List<String> served = new CopyOnWriteArrayList<>();

	public static void main(String[] args) throws Exception {
		Lab.main(args[0], () -> {
			Lab lab = new Lab();
			lab.store.put("op", "config", CONFIG);
			for (int i = 0; i < 3; i++) {
				new Worker("w-" + i, "desk", "zone-" + i, 20).register(lab.store);
			}
			List<Lab.Entry> entries = new ArrayList<>();
			for (int i = 0; i < 3; i++) {
				entries.add(lab.entry("edge-" + i, "zone-" + i));
			}
			for (Lab.Entry entry : entries) {
				entry.start();
			}
			for (Lab.Entry entry : entries) {
				entry.awaitReady();
			}
			Lab.sleep(5_000);
			Lab.Entry entry = entries.get(0);
			if (Lab.TROUBLE) {
				entry.signal("KILL");
				entry.process.onExit().join();
				Lab.sleep(300);
				entry.start();
			}
			List<Client> clients = new ArrayList<>();
			while (clients.size() < CLIENTS) {
				try {
					clients.add(new Client(entry.front(), 3_000));
				}
				catch (IOException ex) {
					Lab.sleep(5);
				}
			}
			Lab.note("open    %d connections to %s", CLIENTS, entry.name);
			List<Thread> threads = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				String name = "client-" + i;
				Client client = clients.get(i);
				threads.add(Lab.daemon(name, () -> talk(name, client)));
			}
			for (Thread thread : threads) {
				thread.join();
			}
			Lab.end(refused.size() > 5, refused.size() + " proper requests got a 4xx from the entry host, " + served.size()
					+ " were served");
		});
	}

	/** A small request at once, then four large ones, on one connection as long as it is kept. */
	private static void talk(String name, Client client) throws IOException {
		request(name + "-0", client, 0);
		// Longer than ContactMs after the start.
		Lab.sleep(6_000);
		for (int i = 1; i <= 4; i++) {
			if (!request(name + "-" + i, client, HEAD_BYTES)) {
				return;
			}
			Lab.sleep(500);
		}
	}

	private static boolean request(String id, Client client, int padding) throws IOException {
		String cookie = (padding > 0) ? "Cookie: " + "c".repeat(padding) + "\r\n" : "";
		String head = Client.head("POST", "/a/x", id, 1_500, cookie, 20);
		client.send(head, new byte[20]);
		Http answer = client.receive();
		Lab.note("answer  %s, head of %d bytes: %s", id, head.length(),
				(answer == null) ? "closed" : answer.status() + " " + answer.header("Response-Seal"));
		if (answer == null) {
			return false;
		}
		boolean own = answer.header("Response-Seal").isEmpty();
		if (own && answer.status() >= 400 && answer.status() < 500 && answer.status() != 429) {
			refused.add(id);
		}
		if (answer.status() == 200) {
			served.add(id);
		}
		return !answer.header("Connection").equalsIgnoreCase("close");
	}

}
