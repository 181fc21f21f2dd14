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
import io.dotterelcrank.daemon.load.ReceivedResponse;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.standin.engine.EngineSettings;
import io.dotterelcrank.version.Change;
import io.dotterelcrank.version.ConfigurationPublisher;

/**
 * Demonstration that sends requests to an embedded fleet and checks its guarantees
 * against what the callers received. Not thread-safe.
 */
public final class Demo {

	private static final String REMOVED_DATA_CENTRE = "dc-a";

	private static final String REMAINING_DATA_CENTRE = "dc-b";

	private static final String MODEL = "bench-model";

	private static final String SERVICE = "desk-ledger";

	/**
	 * Time within which a data centre taken out of service stops getting new requests, in
	 * milliseconds.
	 */
	private static final long REROUTING_LIMIT_MILLIS = 3_000;

	/** Maximum wait in each step, in milliseconds. */
	private static final long TIMEOUT_MILLIS = 60_000;

	/** Streams started at a time. */
	private static final int STREAM_COUNT = 8;

	private final PrintStream out;

	private final EmbeddedFleet fleet;

	private final CallerClient client = CallerClient.create();

	private final List<Check> checks = new ArrayList<>();

	private Demo(PrintStream out, EmbeddedFleet fleet) {
		this.out = out;
		this.fleet = fleet;
	}

	/**
	 * Starts the fleet of the demonstration, and waits until it is ready.
	 * @param port port of the first entry daemon, or 0 for a free one
	 * @return a fleet of two data centres, to be closed by the caller of this method
	 * @throws IOException if a port cannot be bound or the fleet does not become ready
	 */
	public static EmbeddedFleet startFleet(int port) throws IOException {
		EmbeddedFleet fleet = EmbeddedFleet.start(EmbeddedFleet.FleetPolicies.defaults());
		EngineSettings settings = EngineSettings.defaults().startingWarm();
		fleet.addEngine("engine-a1", REMOVED_DATA_CENTRE, MODEL, settings);
		fleet.addEngine("engine-a2", REMOVED_DATA_CENTRE, MODEL, settings);
		fleet.addEngine("engine-b1", REMAINING_DATA_CENTRE, MODEL, settings);
		fleet.addEngine("engine-b2", REMAINING_DATA_CENTRE, MODEL, settings);
		fleet.addService("desk-b1", REMAINING_DATA_CENTRE, SERVICE);
		fleet.addEntry("entry-a", REMOVED_DATA_CENTRE, port);
		fleet.addEntry("entry-b", REMAINING_DATA_CENTRE, 0);
		if (!fleet.awaitReady(TIMEOUT_MILLIS)) {
			fleet.close();
			throw new IOException("the fleet did not become ready in time");
		}
		return fleet;
	}

	/**
	 * Runs the demonstration.
	 * @param out destination of progress messages
	 * @param fleet the fleet
	 * @return results of all checks
	 * @throws RequestException if a configuration change is rejected
	 */
	public static List<Check> run(PrintStream out, EmbeddedFleet fleet) throws RequestException {
		Demo demo = new Demo(out, fleet);
		demo.checkCompletions();
		demo.checkServiceCalls();
		demo.checkDataCentreRemoval();
		return demo.checks;
	}

	private void checkCompletions() {
		this.out.println("requesting streamed and buffered completions from both entry daemons");
		List<ReceivedResponse> streams = startStreams(STREAM_COUNT, 40);
		List<ReceivedResponse> buffered = new ArrayList<>();
		for (String address : this.fleet.callerAddresses()) {
			buffered.add(this.client.complete(address, completionSpec(30)));
		}
		awaitAll(streams);
		awaitAll(buffered);
		checkStreams("streamed completions", streams, 40);
		addCheck("buffered completions are complete", buffered.stream()
			.allMatch((response) -> response.completed() && response.body().contains("\"completion_tokens\":30")),
				describe(buffered));
	}

	private void checkServiceCalls() {
		this.out.println("calling the plain service: lookups, bookings, and bookings with a key at two entry daemons");
		List<String> addresses = this.fleet.callerAddresses();
		ReceivedResponse lookup = this.client.call(addresses.get(0), SERVICE + "/parts/tuba", "GET", "", "");
		ReceivedResponse booking = this.client.call(addresses.get(0), SERVICE + "/orders", "POST", "", "bell-brass-1");
		ReceivedResponse first = this.client.call(addresses.get(0), SERVICE + "/orders", "POST", "key-1",
				"bell-brass-2");
		ReceivedResponse second = this.client.call(addresses.get(1), SERVICE + "/orders", "POST", "key-1",
				"bell-brass-2");
		List<ReceivedResponse> responses = List.of(lookup, booking, first, second);
		awaitAll(responses);
		ReceivedResponse repeated = this.client.call(addresses.get(1), SERVICE + "/orders", "POST", "key-1",
				"bell-brass-2");
		awaitAll(List.of(repeated));
		addCheck("service calls succeed",
				responses.stream().allMatch(ReceivedResponse::completed) && repeated.completed(), describe(responses));
		int runsWithoutKey = runCount("bell-brass-1");
		int runsWithKey = runCount("bell-brass-2");
		addCheck("each booking was executed once", runsWithoutKey == 1 && runsWithKey == 1,
				"executions: " + runsWithoutKey + " and " + runsWithKey);
		boolean same = first.body().equals(second.body()) && first.body().equals(repeated.body());
		addCheck("calls with the same key get the same response", same,
				first.body() + " " + second.body() + " " + repeated.body());
	}

	private int runCount(String booking) {
		return this.fleet.services().values().stream().mapToInt((service) -> service.runCount(booking)).sum();
	}

	private void checkDataCentreRemoval() throws RequestException {
		ConfigurationPublisher publisher = ConfigurationPublisher.of(HttpLogClient.at(this.fleet.platformAddress()),
				Clock.system(), TIMEOUT_MILLIS);
		List<ReceivedResponse> running = startStreams(STREAM_COUNT, 300);
		Sleeper.sleepMillis(500);
		this.out.println(
				"taking data centre " + REMOVED_DATA_CENTRE + " out of service while " + STREAM_COUNT + " streams run");
		publisher.publish("demo", List.of(new Change.DataCentreOut(REMOVED_DATA_CENTRE, "demonstration")));
		Sleeper.sleepMillis(REROUTING_LIMIT_MILLIS);
		long arrivalsBefore = arrivalCount(REMOVED_DATA_CENTRE);
		List<ReceivedResponse> whileOut = startStreams(STREAM_COUNT, 60);
		awaitAll(whileOut);
		long arrivalsAfter = arrivalCount(REMOVED_DATA_CENTRE);
		addCheck("no new generations in " + REMOVED_DATA_CENTRE + " while it is out of service",
				arrivalsBefore == arrivalsAfter, (arrivalsAfter - arrivalsBefore) + " arrivals");
		checkStreams("streams started while it is out of service", whileOut, 60);
		awaitAll(running);
		checkStreams("streams running when it was taken out of service", running, 300);
		this.out.println("returning data centre " + REMOVED_DATA_CENTRE + " to service");
		publisher.publish("demo", List.of(new Change.DataCentreBack(REMOVED_DATA_CENTRE)));
		Sleeper.sleepMillis(REROUTING_LIMIT_MILLIS);
		List<ReceivedResponse> afterReturn = startStreams(STREAM_COUNT, 60);
		awaitAll(afterReturn);
		checkStreams("streams started after its return", afterReturn, 60);
		addCheck("new generations in " + REMOVED_DATA_CENTRE + " after its return",
				arrivalCount(REMOVED_DATA_CENTRE) > arrivalsAfter, "no arrivals");
	}

	private long arrivalCount(String dataCentre) {
		return this.fleet.engines()
			.entrySet()
			.stream()
			.filter((entry) -> this.fleet.dataCentreOf(entry.getKey()).equals(dataCentre))
			.mapToLong((entry) -> entry.getValue().arrivalCount())
			.sum();
	}

	private List<ReceivedResponse> startStreams(int count, int tokens) {
		List<ReceivedResponse> streams = new ArrayList<>();
		List<String> addresses = this.fleet.callerAddresses();
		for (int i = 0; i < count; i++) {
			streams.add(this.client.stream(addresses.get(i % addresses.size()), completionSpec(tokens)));
		}
		return streams;
	}

	private CallerClient.CompletionSpec completionSpec(int tokens) {
		int number = this.checks.size();
		return new CallerClient.CompletionSpec("demo-" + number, MODEL,
				"[tokens=" + tokens + "] restoration note " + number, 1_000, "normal");
	}

	private void checkStreams(String name, List<ReceivedResponse> streams, int tokens) {
		List<String> violations = new ArrayList<>();
		for (ReceivedResponse stream : streams) {
			stream.findSequenceError(0).ifPresent(violations::add);
			if (!stream.completed() || stream.tokenCount() != tokens) {
				violations.add(stream.describe());
			}
		}
		addCheck(name + ": each token once, in order, from one generation", violations.isEmpty(),
				String.join("; ", violations));
	}

	private void addCheck(String guarantee, boolean held, String violation) {
		this.checks.add(new Check(guarantee, held, held ? "" : violation));
	}

	private static String describe(List<ReceivedResponse> responses) {
		return responses.stream().map(ReceivedResponse::describe).toList().toString();
	}

	private static void awaitAll(List<ReceivedResponse> responses) {
		CompletableFuture<?>[] ends = responses.stream().map(ReceivedResponse::end).toArray(CompletableFuture[]::new);
		try {
			CompletableFuture.allOf(ends).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			// The checks report the responses that are missing or incomplete.
		}
	}

	/**
	 * Result of checking one guarantee. Immutable.
	 *
	 * @param guarantee description of the guarantee
	 * @param held whether it held
	 * @param violation what was observed instead; empty if the guarantee held
	 */
	public record Check(String guarantee, boolean held, String violation) {
	}

}
