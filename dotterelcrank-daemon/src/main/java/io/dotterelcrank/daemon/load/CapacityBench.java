package io.dotterelcrank.daemon.load;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntToDoubleFunction;
import java.util.function.LongFunction;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.daemon.command.Table;
import io.dotterelcrank.daemon.embedded.Pause;
import io.dotterelcrank.process.admission.AdmissionController;
import io.dotterelcrank.process.admission.AdmissionPolicy;
import io.dotterelcrank.process.admission.AdmissionState;
import io.dotterelcrank.process.admission.LengthEstimator;
import io.dotterelcrank.process.admission.Limits;
import io.dotterelcrank.process.admission.PendingRequest;
import io.dotterelcrank.process.claim.ClaimKey;
import io.dotterelcrank.process.claim.ClaimLedger;
import io.dotterelcrank.process.claim.ClaimRecord;
import io.dotterelcrank.process.claim.Claims;
import io.dotterelcrank.process.claim.LogBackedClaims;
import io.dotterelcrank.process.entry.EntryProcess;
import io.dotterelcrank.process.entry.GenerationListener;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.process.platform.SharedJsonMapper;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.standin.fleet.VirtualFleet;
import io.dotterelcrank.standin.platform.StandinLog;
import io.dotterelcrank.version.Change;
import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.ExceptionRule;
import io.dotterelcrank.version.Setting;
import io.dotterelcrank.version.Subject;

/**
 * Measures how messages, processor time and memory grow with the size of the fleet. Each
 * slope is fitted through at least four sizes. Belongs to one thread.
 */
public final class CapacityBench {

	/** Time over which idle traffic is measured, in milliseconds of the manual clock. */
	private static final long IDLE_MILLIS = 60_000;

	/** Time for links to open, in milliseconds of the manual clock. */
	private static final long SETTLE_MILLIS = 8_000;

	/** Milliseconds in a second. */
	private static final double MILLIS_PER_SECOND = 1_000;

	/** Nanoseconds in a microsecond. */
	private static final double NANOS_PER_MICRO = 1_000;

	/** Bytes in a kilobyte. */
	private static final double BYTES_PER_KB = 1_024;

	/** Numbers of links. */
	private static final long[] LINKS = { 10, 20, 40, 80 };

	/** Number of data centres over which a change spreads. */
	private static final int DATA_CENTRES = 9;

	/** Numbers of processes in all data centres. */
	private static final long[] PROCESSES = { 36, 72, 144, 288 };

	/** Runs of which the best one counts. */
	private static final int REPETITIONS = 4;

	/** Numbers of running generations. */
	private static final long[] RUNNING = { 25, 50, 100, 200 };

	/** Times that the load is told while its processor time is measured. */
	private static final int TELLINGS = 2_000;

	/** Numbers of remembered claims. */
	private static final long[] CLAIMS = { 20_000, 40_000, 80_000, 160_000 };

	/** Numbers of claims in a group. */
	private static final long[] GROUPS = { 1, 10, 100, 500 };

	/** Numbers of streams on one link. */
	private static final long[] STREAMS = { 1, 5, 20, 40 };

	/** Numbers of exceptions. */
	private static final long[] EXCEPTIONS = { 50, 100, 150, 200 };

	/** Time with streams before and after a link breaks, in milliseconds. */
	private static final long STREAMING_MILLIS = 10_000;

	/** Numbers of workspaces. */
	private static final long[] WORKSPACES = { 500, 1_000, 2_000, 4_000 };

	/** Numbers of known targets. */
	private static final long[] TARGETS = { 100, 200, 400, 800 };

	/** Numbers of real connections. */
	private static final long[] CONNECTIONS = { 50, 100, 200, 400 };

	/** Claims per second. */
	private static final long[] CLAIM_RATES = { 5, 20, 80, 320 };

	/** Numbers of generations. */
	private static final long[] GENERATIONS = { 100, 200, 400, 800 };

	/** Tokens of each generation while the slope per request is measured. */
	private static final int TOKENS = 50;

	/** Tokens of generations that outlast every measurement. */
	private static final int OUTAGE_TOKENS = 10_000;

	/** Slopes so far. */
	private final List<Slope> slopes = new ArrayList<>();

	/** Where progress is printed. */
	private final PrintStream out;

	private CapacityBench(PrintStream out) {
		this.out = out;
	}

	/**
	 * Measures and prints all slopes.
	 * @param out where to
	 * @param folder where the slopes are written as JSON
	 * @throws IOException if a file cannot be written
	 */
	public static void run(PrintStream out, Path folder) throws IOException {
		CapacityBench bench = new CapacityBench(out);
		bench.measure();
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("WHAT", "SLOPE", "AT 0", "RESIDUAL", "SIZE:VALUE"));
		bench.slopes.forEach((slope) -> rows.add(slope.row()));
		Table.print(out, rows);
		Files.createDirectories(folder);
		Files.write(folder.resolve("capacity.json"),
				SharedJsonMapper.mapper().writerWithDefaultPrettyPrinter().writeValueAsBytes(bench.slopes));
		out.println("written to " + folder.resolve("capacity.json"));
	}

	private void measure() throws IOException {
		List<Idle> idle = new ArrayList<>();
		for (long links : LINKS) {
			idle.add(bestIdle(links));
		}
		List<Idle> wide = new ArrayList<>();
		for (long links : LINKS) {
			wide.add(idle(1, links));
		}
		add("entry: control bytes sent and received", "B/s", "link", LINKS, (i) -> idle.get(i).entryBytes());
		add("sidecar: control bytes sent and received", "B/s", "link", LINKS, (i) -> wide.get(i).sidecarBytes());
		add("processor time of control, both ends", "us/s", "link", LINKS, (i) -> idle.get(i).micros());
		add("control bytes of a change, both ends", "B", "link", LINKS, (i) -> idle.get(i).changeBytes());
		add("processor time of a change, both ends", "us", "link", LINKS, (i) -> idle.get(i).changeMicros());
		add("time until a change is in force in nine data centres", "ms", "process", PROCESSES,
				(i) -> spreadMillis(PROCESSES[i] / (2 * DATA_CENTRES)));
		add("sidecar: processor time of telling the load", "us", "running", RUNNING, (i) -> loadMicros(RUNNING[i]));
		requests();
		claims();
		add("log bytes of a group of claims", "B", "claim", GROUPS, (i) -> claimBytes(GROUPS[i]));
		add("longest time without tokens when a link is cut", "ms", "stream", STREAMS,
				(i) -> outageMillis(STREAMS[i], false));
		add("longest time without tokens when a link stalls", "ms", "stream", STREAMS,
				(i) -> outageMillis(STREAMS[i], true));
		add("both roles: heap of a configuration", "KB", "exception", EXCEPTIONS,
				(i) -> configurationHeap(EXCEPTIONS[i]));
		add("entry: heap of known targets", "KB", "target", TARGETS, (i) -> targetHeap(TARGETS[i]));
		add("both ends: heap of a connection", "KB", "connection", CONNECTIONS, (i) -> connectionHeap(CONNECTIONS[i]));
		add("sidecar: heap of length distributions", "KB", "workspace", WORKSPACES,
				(i) -> workspaceHeap(WORKSPACES[i]));
		add("sidecar: heap of remembered claims", "KB", "claim", CLAIMS, (i) -> claimHeap(CLAIMS[i]));
		add("both ends: heap of open streams of 50 tokens", "KB", "stream", GENERATIONS,
				(i) -> streamHeap(GENERATIONS[i]));
	}

	private void add(String name, String unit, String per, long[] sizes, IntToDoubleFunction value) {
		List<Slope.Point> points = new ArrayList<>();
		for (int i = 0; i < sizes.length; i++) {
			points.add(new Slope.Point(sizes[i], value.applyAsDouble(i)));
		}
		this.slopes.add(Slope.fit(name, unit, per, points));
		this.out.println("done: " + name);
	}

	/**
	 * Measures a fleet without requests several times, and keeps the run with the least
	 * processor time, since compilation by the virtual machine falls into the others.
	 * @param links number of sidecars at one entry process
	 * @return the figures
	 */
	private static Idle bestIdle(long links) {
		Idle best = idle(links, 1);
		for (int i = 1; i < REPETITIONS; i++) {
			Idle next = idle(links, 1);
			double change = Math.min(best.changeMicros(), next.changeMicros());
			best = ((next.micros() < best.micros()) ? next : best).withChangeMicros(change);
		}
		return best;
	}

	/**
	 * Measures the time until a change is in force in nine data centres.
	 * @param perDataCentre entry processes, and sidecars, in each data centre
	 * @return time in milliseconds
	 */
	private static double spreadMillis(long perDataCentre) {
		VirtualFleet fleet = VirtualFleet.of(VirtualFleet.Options.defaults());
		for (int place = 0; place < DATA_CENTRES; place++) {
			for (int i = 0; i < perDataCentre; i++) {
				fleet.addEngine("engine-" + place + "-" + i, "dc-" + place);
				fleet.addEntry("entry-" + place + "-" + i, "dc-" + place);
			}
		}
		fleet.advance(SETTLE_MILLIS);
		return change(fleet, 0, 0, 0).changeMillis();
	}

	/**
	 * Measures a fleet without requests: its heartbeats, and one change.
	 * @param sidecars number of sidecars
	 * @param entries number of entry processes
	 * @return the figures
	 */
	private static Idle idle(long sidecars, long entries) {
		VirtualFleet fleet = VirtualFleet.of(VirtualFleet.Options.defaults());
		for (int i = 0; i < sidecars; i++) {
			fleet.addEngine("engine-" + i, "dc");
		}
		for (int i = 0; i < entries; i++) {
			fleet.addEntry("entry-" + i, "dc");
		}
		fleet.advance(SETTLE_MILLIS);
		long bytesBefore = control(firstEntry(fleet));
		long sidecarBefore = control(fleet.sidecars().values().iterator().next().process());
		long nanosBefore = cpuNanos();
		fleet.advance(IDLE_MILLIS);
		double seconds = IDLE_MILLIS / MILLIS_PER_SECOND;
		double micros = (cpuNanos() - nanosBefore) / NANOS_PER_MICRO / seconds;
		double entryBytes = (control(firstEntry(fleet)) - bytesBefore) / seconds;
		double sidecarBytes = (control(fleet.sidecars().values().iterator().next().process()) - sidecarBefore)
				/ seconds;
		return change(fleet, entryBytes, sidecarBytes, micros);
	}

	private static Idle change(VirtualFleet fleet, double entryBytes, double sidecarBytes, double micros) {
		long bytesBefore = control(firstEntry(fleet));
		long nanosBefore = cpuNanos();
		long startMillis = fleet.clock().millis();
		fleet.publish(new Change.SetDefault(Setting.TOKEN_TARGET_MILLIS, 40));
		while (!fleet.configurationHolders().stream().allMatch((holder) -> holder.current().version() == 1)) {
			fleet.advance(1);
		}
		long millis = fleet.clock().millis() - startMillis;
		double idleBytes = entryBytes * millis / MILLIS_PER_SECOND;
		double bytes = control(firstEntry(fleet)) - bytesBefore - idleBytes;
		double changeMicros = (cpuNanos() - nanosBefore) / NANOS_PER_MICRO - micros * millis / MILLIS_PER_SECOND;
		return new Idle(entryBytes, sidecarBytes, micros, bytes, Math.max(0, changeMicros), millis);
	}

	private static Transport firstEntry(VirtualFleet fleet) {
		return fleet.entries().values().iterator().next().process();
	}

	private static long control(Transport transport) {
		Transport.Traffic traffic = transport.traffic();
		return traffic.controlBytesSent() + traffic.controlBytesReceived();
	}

	private static long cpuNanos() {
		return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
	}

	private static double loadMicros(long running) {
		AdmissionState state = AdmissionState.cold(2);
		state.recordMemory(Long.MAX_VALUE / 2, 0, 0);
		Limits limits = Limits.of(Configuration.INITIAL, Subject.FLEET);
		AdmissionController controller = AdmissionController.of(AdmissionPolicy.forEngines(), state, () -> limits,
				Clock.manual(0));
		for (int i = 0; i < running; i++) {
			state.recordAdmission(new PendingRequest("g" + i, "w", Priority.NORMAL, 100, 4_096, 0));
		}
		double best = Double.MAX_VALUE;
		for (int round = 0; round < REPETITIONS; round++) {
			long nanosBefore = cpuNanos();
			for (int i = 0; i < TELLINGS; i++) {
				controller.load(false);
			}
			best = Math.min(best, (cpuNanos() - nanosBefore) / NANOS_PER_MICRO / TELLINGS);
		}
		return best;
	}

	private void requests() {
		for (int round = 0; round < REPETITIONS; round++) {
			requestMicros(GENERATIONS[GENERATIONS.length - 1], TOKENS);
		}
		add("processor time of a request of 50 tokens, both ends", "us", "request", GENERATIONS,
				(i) -> requestMicros(GENERATIONS[i], TOKENS));
		long[] lengths = { 25, 50, 100, 200 };
		add("processor time of a request by its tokens, both ends", "us", "token", lengths,
				(i) -> requestMicros(GENERATIONS[1], (int) lengths[i]) / GENERATIONS[1]);
	}

	private static double requestMicros(long count, int tokens) {
		VirtualFleet fleet = streamingFleet();
		long nanosBefore = cpuNanos();
		for (int i = 0; i < count; i++) {
			send(fleet, tokens);
			fleet.advance(20);
		}
		fleet.advance(IDLE_MILLIS / 2);
		return (cpuNanos() - nanosBefore) / NANOS_PER_MICRO;
	}

	private static VirtualFleet streamingFleet() {
		VirtualFleet fleet = VirtualFleet.of(VirtualFleet.Options.defaults());
		for (int i = 0; i < 4; i++) {
			fleet.addEngine("engine-" + i, "dc");
		}
		fleet.addEntry("entry-0", "dc");
		fleet.advance(SETTLE_MILLIS);
		return fleet;
	}

	private static SilentCaller send(VirtualFleet fleet, int tokens) {
		Generation request = new Generation("", "workspace", VirtualFleet.MODEL, Priority.NORMAL,
				"[tokens=" + tokens + "]", 20, OUTAGE_TOKENS, 3_600_000);
		SilentCaller caller = new SilentCaller(fleet.clock());
		caller.handle = fleet.entries().get("entry-0").entry().generate(request, caller);
		return caller;
	}

	private void claims() {
		List<ClaimRun> runs = new ArrayList<>();
		for (long rate : CLAIM_RATES) {
			runs.add(claimRun(rate));
		}
		add("log appends of one partition's writer", "1/s", "claim/s", CLAIM_RATES, (i) -> runs.get(i).appends());
		add("claim latency, mean", "ms", "claim/s", CLAIM_RATES, (i) -> runs.get(i).meanMillis());
		add("processor time of claims", "us/s", "claim/s", CLAIM_RATES, (i) -> runs.get(i).micros());
	}

	private static ClaimRun claimRun(long rate) {
		Clock.Manual clock = Clock.manual(0);
		Scheduler.Manual scheduler = Scheduler.manual(clock);
		StandinLog log = StandinLog.withRetention(clock, VirtualFleet.RETENTION_MILLIS);
		LogBackedClaims claims = LogBackedClaims.of("target", 1, log, clock, scheduler, scheduler,
				Setting.KEY_MEMORY_MILLIS::defaultValue);
		int seconds = 20;
		long[] latency = new long[2];
		long nanosBefore = cpuNanos();
		for (int i = 0; i < rate * seconds; i++) {
			ServiceCall call = claimOf(0, i);
			long sentMillis = clock.millis();
			claims.claim(call, new CountingListener(() -> {
				latency[0] += clock.millis() - sentMillis;
				latency[1]++;
			}));
			scheduler.advance((i % rate == rate - 1) ? (long) MILLIS_PER_SECOND % rate : 0);
			scheduler.advance((long) MILLIS_PER_SECOND / rate);
		}
		double micros = (cpuNanos() - nanosBefore) / NANOS_PER_MICRO / seconds;
		return new ClaimRun((double) claims.appends() / seconds, (double) latency[0] / Math.max(1, latency[1]), micros);
	}

	/**
	 * Returns a call whose key lies in a given partition.
	 * @param partition number of the partition
	 * @param number number of the call
	 * @return the call
	 */
	private static ServiceCall claimOf(int partition, int number) {
		int salt = 0;
		while (true) {
			ServiceCall call = new ServiceCall("attempt-" + number, "workspace", "service", Priority.NORMAL,
					number + "-" + salt, "POST", "/orders", List.of(), "body".getBytes(StandardCharsets.UTF_8), 60_000);
			if (ClaimKey.of(call.claimKey()).partition() == partition) {
				return call;
			}
			salt++;
		}
	}

	private static double heapKb(LongFunction<Object> maker, long size) {
		double[] values = new double[REPETITIONS];
		for (int i = 0; i < REPETITIONS; i++) {
			values[i] = heapOnceKb(maker, size);
		}
		Arrays.sort(values);
		return values[REPETITIONS / 2];
	}

	private static double heapOnceKb(LongFunction<Object> maker, long size) {
		long before = usedHeap();
		Object held = maker.apply(size);
		long after = usedHeap();
		double kb = (after - before) / BYTES_PER_KB;
		if (held.hashCode() == 0) {
			throw new IllegalStateException("keeps the object alive until here");
		}
		return kb;
	}

	private static long usedHeap() {
		Runtime runtime = Runtime.getRuntime();
		for (int i = 0; i < 3; i++) {
			System.gc();
			Pause.millis(20);
		}
		return runtime.totalMemory() - runtime.freeMemory();
	}

	private static double targetHeap(long count) {
		return heapKb((size) -> {
			VirtualFleet fleet = VirtualFleet.of(VirtualFleet.Options.defaults());
			for (int i = 0; i < size; i++) {
				fleet.hostList()
					.put(new HostList.Host("engine-" + i, HostList.Role.ENGINE, "far", "s", "m", "127.0.0.1", 1, 2,
							false));
			}
			fleet.addEntry("entry-0", "dc");
			fleet.advance(SETTLE_MILLIS);
			return fleet;
		}, count);
	}

	private static double connectionHeap(long count) {
		return heapKb((size) -> {
			Transport accepting = Transport.overTcp(() -> 1);
			Transport opening = Transport.overTcp(() -> 1);
			List<Object> held = new ArrayList<>(List.of(accepting, opening));
			try {
				InetSocketAddress address = accepting.listen(new InetSocketAddress("127.0.0.1", 0),
						new SilentListener());
				for (int i = 0; i < size; i++) {
					Link link = opening.open(address, new SilentListener());
					link.send(new Message.ConfigurationRequest());
					held.add(link);
				}
			}
			catch (IOException ex) {
				throw new IllegalStateException("loopback ports are free", ex);
			}
			Pause.millis(500);
			return held;
		}, count);
	}

	private static double claimBytes(long count) {
		List<ClaimRecord> group = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			group.add(claimRecord(i));
		}
		return ClaimRecord.encode(group).length;
	}

	private static ClaimRecord claimRecord(int number) {
		return new ClaimRecord.Claim(new ClaimKey(number * 0x9E3779B97F4A7C15L, ~number), "entry-1-mx85auq8-" + number,
				"0123456789abcdef0123456789abcdef", "desk-1", 1);
	}

	/**
	 * Measures how long callers wait for their next token when the link of their
	 * generations breaks.
	 * @param streams number of generations on the link
	 * @param stalls whether the link stalls; otherwise it is cut
	 * @return longest time between two tokens, in milliseconds
	 */
	private static double outageMillis(long streams, boolean stalls) {
		VirtualFleet.Options options = VirtualFleet.Options.defaults();
		VirtualFleet fleet = VirtualFleet.of(options.withEngine(options.engine().withMemory(Long.MAX_VALUE / 2)));
		fleet.addEngine("engine", "dc");
		fleet.addEntry("entry-0", "dc");
		fleet.advance(SETTLE_MILLIS);
		List<SilentCaller> callers = new ArrayList<>();
		for (int i = 0; i < streams; i++) {
			callers.add(send(fleet, OUTAGE_TOKENS));
			fleet.advance(500);
		}
		fleet.advance(STREAMING_MILLIS);
		callers.forEach((caller) -> caller.longestGapMillis = 0);
		int port = fleet.sidecars().get("engine").port();
		if (stalls) {
			fleet.network().stallOpenConnections(port);
		}
		else {
			fleet.network().breakConnections(port);
		}
		fleet.advance(STREAMING_MILLIS);
		return callers.stream().mapToLong((caller) -> caller.longestGapMillis).max().orElse(0);
	}

	private static double configurationHeap(long count) {
		return heapKb((size) -> {
			Configuration configuration = Configuration.INITIAL;
			for (int i = 0; i < size; i++) {
				ExceptionRule rule = new ExceptionRule("id-" + i, ExceptionRule.Scope.WORKSPACE, "workspace-" + i,
						Setting.SHARE_WEIGHT, i, "a written reason of some length " + i);
				configuration = new Change.AddException(rule).apply(configuration, i);
			}
			return configuration;
		}, count);
	}

	private static double workspaceHeap(long count) {
		return heapKb((size) -> {
			LengthEstimator lengths = LengthEstimator.create();
			for (int i = 0; i < size; i++) {
				lengths.recordLength("workspace-" + i, 100);
			}
			return lengths;
		}, count);
	}

	private static double claimHeap(long count) {
		return heapKb((size) -> {
			ClaimLedger ledger = ClaimLedger.create(VirtualFleet.RETENTION_MILLIS);
			for (int i = 0; i < size; i++) {
				ledger.applyLogRecord(i + 1, i, ClaimRecord.decode(ClaimRecord.encode(List.of(claimRecord(i)))));
			}
			return ledger;
		}, count);
	}

	private static double streamHeap(long count) {
		return heapKb((size) -> {
			VirtualFleet fleet = streamingFleet();
			for (int i = 0; i < size; i++) {
				send(fleet, TOKENS);
				fleet.advance(20);
			}
			return fleet;
		}, count);
	}

	/**
	 * Figures of a fleet without requests. Immutable.
	 *
	 * @param entryBytes control bytes at the entry process, per second
	 * @param sidecarBytes control bytes at a sidecar, per second
	 * @param micros processor time of all processes, in microseconds per second
	 * @param changeBytes control bytes of a change at the entry process
	 * @param changeMicros processor time of a change at all processes, in microseconds
	 * @param changeMillis time until the change was in force everywhere, in milliseconds
	 */
	private record Idle(double entryBytes, double sidecarBytes, double micros, double changeBytes, double changeMicros,
			double changeMillis) {

		private Idle withChangeMicros(double value) {
			return new Idle(this.entryBytes, this.sidecarBytes, this.micros, this.changeBytes, value,
					this.changeMillis);
		}

	}

	/**
	 * Figures of claims at one partition. Immutable.
	 *
	 * @param appends appends per second
	 * @param meanMillis mean latency of a claim, in milliseconds
	 * @param micros processor time in microseconds per second
	 */
	private record ClaimRun(double appends, double meanMillis, double micros) {
	}

	/**
	 * Hears claims that always win.
	 *
	 * @param whenWon what to do then
	 */
	private record CountingListener(Runnable whenWon) implements Claims.Listener {

		@Override
		public void won() {
			this.whenWon.run();
		}

		@Override
		public void lost(ClaimLedger.Holder holder) {
			throw new IllegalStateException("every key is claimed once");
		}

		@Override
		public void unconfirmed() {
			throw new IllegalStateException("the log works");
		}

	}

	/**
	 * A caller that reads at once, and keeps only how long it waited.
	 */
	private static final class SilentCaller implements GenerationListener {

		/** Clock of the fleet. */
		private final Clock clock;

		/** Handle of the request. */
		private EntryProcess.GenerationHandle handle;

		/** When tokens last came, in milliseconds. */
		private long lastMillis;

		/** Longest time between tokens, in milliseconds. */
		private long longestGapMillis;

		SilentCaller(Clock clock) {
			this.clock = clock;
		}

		@Override
		public boolean streaming() {
			return true;
		}

		@Override
		public void tokens(String target, String generation, int firstIndex, List<String> tokens) {
			long nowMillis = this.clock.millis();
			this.longestGapMillis = Math.max(this.longestGapMillis, nowMillis - this.lastMillis);
			this.lastMillis = nowMillis;
			this.handle.acknowledge(firstIndex + tokens.size());
		}

		@Override
		public void finished(int count, String reason) {
			this.handle = null;
		}

		@Override
		public void failed(Failure failure) {
			this.handle = null;
		}

		@Override
		public void restarted() {
			// Nothing is kept.
		}

	}

	/**
	 * A listener that does nothing.
	 */
	private static final class SilentListener implements Link.Listener {

		@Override
		public void opened(Link link) {
			// Nothing to do.
		}

		@Override
		public void received(Link link, long version, Message message) {
			// Nothing to do.
		}

		@Override
		public void writable(Link link) {
			// Nothing to do.
		}

		@Override
		public void closed(Link link) {
			// Nothing to do.
		}

	}

}
