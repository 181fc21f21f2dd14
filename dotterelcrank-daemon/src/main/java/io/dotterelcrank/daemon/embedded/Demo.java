package io.dotterelcrank.daemon.embedded;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.daemon.client.HttpLogClient;
import io.dotterelcrank.daemon.load.CallerClient;
import io.dotterelcrank.daemon.load.Received;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.standin.engine.EngineSettings;
import io.dotterelcrank.version.Change;
import io.dotterelcrank.version.ConfigurationPublisher;

/**
 * Shows the system at work, and checks the promises on what callers received. Belongs to
 * one thread.
 */
public final class Demo {

	/** Data centre that is taken out. */
	private static final String LEAVING = "dc-a";

	/** Data centre that stays. */
	private static final String STAYING = "dc-b";

	/** Model served. */
	private static final String MODEL = "bench-model";

	/** Name of the plain service. */
	private static final String SERVICE = "desk-ledger";

	/** Time within which a data centre taken out gets no new work, in milliseconds. */
	private static final long REMOVAL_MILLIS = 3_000;

	/** Longest wait for any part of the demonstration, in milliseconds. */
	private static final long LIMIT_MILLIS = 60_000;

	/** Number of streams that run while the data centre leaves. */
	private static final int STREAMS = 8;

	/** Where progress is printed. */
	private final PrintStream out;

	/** The fleet. */
	private final Fleet fleet;

	/** The callers. */
	private final CallerClient callers = CallerClient.create();

	/** Promises checked. */
	private final List<Check> checks = new ArrayList<>();

	private Demo(PrintStream out, Fleet fleet) {
		this.out = out;
		this.fleet = fleet;
	}

	/**
	 * Starts the fleet of the demonstration.
	 * @param port port of the first entry daemon, or 0 for a free one
	 * @return a fleet of two data centres
	 * @throws IOException if a port cannot be bound
	 */
	public static Fleet fleet(int port) throws IOException {
		Fleet fleet = Fleet.start(Fleet.Plan.standard());
		EngineSettings settings = EngineSettings.defaults().startingWarm();
		fleet.addEngine("engine-a1", LEAVING, MODEL, settings);
		fleet.addEngine("engine-a2", LEAVING, MODEL, settings);
		fleet.addEngine("engine-b1", STAYING, MODEL, settings);
		fleet.addEngine("engine-b2", STAYING, MODEL, settings);
		fleet.addService("desk-b1", STAYING, SERVICE);
		fleet.addEntry("entry-a", LEAVING, port);
		fleet.addEntry("entry-b", STAYING, 0);
		if (!fleet.awaitReady(LIMIT_MILLIS)) {
			fleet.close();
			throw new IOException("the fleet did not become ready");
		}
		return fleet;
	}

	/**
	 * Runs the demonstration.
	 * @param out where progress is printed
	 * @param fleet the fleet
	 * @return promises checked
	 * @throws RequestException if a change of the configuration is refused
	 */
	public static List<Check> run(PrintStream out, Fleet fleet) throws RequestException {
		Demo demo = new Demo(out, fleet);
		demo.answers();
		demo.calls();
		demo.dataCentreLeavesAndReturns();
		return demo.checks;
	}

	private void answers() {
		this.out.println("asking for streamed and buffered answers at both entry daemons");
		List<Received> streams = streams(STREAMS, 40);
		List<Received> buffered = new ArrayList<>();
		for (String address : this.fleet.callerAddresses()) {
			buffered.add(this.callers.buffered(address, wish(30)));
		}
		await(streams);
		await(buffered);
		checkStreams("streamed answers", streams, 40);
		check("buffered answers whole",
				buffered.stream()
					.allMatch((answer) -> answer.whole() && answer.body().contains("\"completion_tokens\":30")),
				describe(buffered));
	}

	private void calls() {
		this.out.println("calling the plain service: lookups, bookings, and bookings with a key at two entry daemons");
		List<String> addresses = this.fleet.callerAddresses();
		Received lookup = this.callers.call(addresses.get(0), SERVICE + "/parts/tuba", "GET", "", "");
		Received booking = this.callers.call(addresses.get(0), SERVICE + "/orders", "POST", "", "bell-brass-1");
		Received first = this.callers.call(addresses.get(0), SERVICE + "/orders", "POST", "key-1", "bell-brass-2");
		Received second = this.callers.call(addresses.get(1), SERVICE + "/orders", "POST", "key-1", "bell-brass-2");
		List<Received> all = List.of(lookup, booking, first, second);
		await(all);
		Received late = this.callers.call(addresses.get(1), SERVICE + "/orders", "POST", "key-1", "bell-brass-2");
		await(List.of(late));
		check("calls answered", all.stream().allMatch(Received::whole) && late.whole(), describe(all));
		int plain = runs("bell-brass-1");
		int keyed = runs("bell-brass-2");
		check("each booking ran once", plain == 1 && keyed == 1, "runs " + plain + " and " + keyed);
		boolean same = first.body().equals(second.body()) && first.body().equals(late.body());
		check("same answer to the same key", same, first.body() + " " + second.body() + " " + late.body());
	}

	private int runs(String booking) {
		return this.fleet.services().values().stream().mapToInt((service) -> service.runCount(booking)).sum();
	}

	private void dataCentreLeavesAndReturns() throws RequestException {
		ConfigurationPublisher publisher = ConfigurationPublisher.of(HttpLogClient.at(this.fleet.platformAddress()),
				Clock.system(), LIMIT_MILLIS);
		List<Received> running = streams(STREAMS, 300);
		Pause.millis(500);
		this.out.println("taking data centre " + LEAVING + " out while " + STREAMS + " streams run");
		publisher.publish("demo", List.of(new Change.DataCentreOut(LEAVING, "demonstration")));
		Pause.millis(REMOVAL_MILLIS);
		long before = arrivals(LEAVING);
		List<Received> during = streams(STREAMS, 60);
		await(during);
		long after = arrivals(LEAVING);
		check("no new work in " + LEAVING + " while out", before == after, (after - before) + " arrivals");
		checkStreams("answers while out", during, 60);
		await(running);
		checkStreams("streams that ran on", running, 300);
		this.out.println("bringing data centre " + LEAVING + " back");
		publisher.publish("demo", List.of(new Change.DataCentreBack(LEAVING)));
		Pause.millis(REMOVAL_MILLIS);
		List<Received> back = streams(STREAMS, 60);
		await(back);
		checkStreams("answers after the return", back, 60);
		check("work in " + LEAVING + " again", arrivals(LEAVING) > after, "no arrivals");
	}

	private long arrivals(String dataCentre) {
		return this.fleet.engines()
			.entrySet()
			.stream()
			.filter((entry) -> this.fleet.dataCentreOf(entry.getKey()).equals(dataCentre))
			.mapToLong((entry) -> entry.getValue().arrivalCount())
			.sum();
	}

	private List<Received> streams(int count, int tokens) {
		List<Received> streams = new ArrayList<>();
		List<String> addresses = this.fleet.callerAddresses();
		for (int i = 0; i < count; i++) {
			streams.add(this.callers.stream(addresses.get(i % addresses.size()), wish(tokens)));
		}
		return streams;
	}

	private CallerClient.Wish wish(int tokens) {
		int number = this.checks.size();
		return new CallerClient.Wish("demo-" + number, MODEL, "[tokens=" + tokens + "] restoration note " + number,
				1_000, "normal");
	}

	private void checkStreams(String name, List<Received> streams, int tokens) {
		List<String> faults = new ArrayList<>();
		for (Received stream : streams) {
			stream.sequenceFault(0).ifPresent(faults::add);
			if (!stream.whole() || stream.count() != tokens) {
				faults.add(stream.describe());
			}
		}
		check(name + ": each token once, in order, from one generation", faults.isEmpty(), String.join("; ", faults));
	}

	private void check(String promise, boolean kept, String fault) {
		this.checks.add(new Check(promise, kept, kept ? "" : fault));
	}

	private static String describe(List<Received> answers) {
		return answers.stream().map(Received::describe).toList().toString();
	}

	private static void await(List<Received> answers) {
		CompletableFuture<?>[] ends = answers.stream().map(Received::end).toArray(CompletableFuture[]::new);
		try {
			CompletableFuture.allOf(ends).get(LIMIT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			// The checks on the answers tell what is missing.
		}
	}

	/**
	 * A promise that was checked. Immutable.
	 *
	 * @param promise what was promised
	 * @param kept whether it was kept
	 * @param fault what was broken, or an empty string
	 */
	public record Check(String promise, boolean kept, String fault) {
	}

}
