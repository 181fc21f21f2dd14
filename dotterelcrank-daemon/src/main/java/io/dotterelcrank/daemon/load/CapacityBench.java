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
import io.dotterelcrank.daemon.command.TablePrinter;
import io.dotterelcrank.daemon.embedded.Sleeper;
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
 * Measures how control traffic, CPU time and heap grow with the size of the fleet. Each
 * slope is fitted to at least four sizes. Must be used by one thread, whose CPU time is
 * measured.
 */
public final class CapacityBench {

	/**
	 * Duration of a measurement of an idle fleet, in milliseconds of the manual clock.
	 */
	private static final long IDLE_PERIOD_MILLIS = 60_000;

	/** Time for links to open, in milliseconds of the manual clock. */
	private static final long SETTLE_MILLIS = 8_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final double NANOS_PER_MICRO = 1_000;

	private static final double BYTES_PER_KB = 1_024;

	private static final long[] LINK_COUNTS = { 10, 20, 40, 80 };

	/** Number of data centres to which a configuration change propagates. */
	private static final int DATA_CENTRE_COUNT = 9;

	/** Numbers of entry and sidecar processes in all data centres together. */
	private static final long[] PROCESS_COUNTS = { 36, 72, 144, 288 };

	/** Repetitions, of which the lowest CPU time or the median heap counts. */
	private static final int REPETITIONS = 4;

	private static final long[] RUNNING_GENERATION_COUNTS = { 25, 50, 100, 200 };

	/** Number of load reports that are computed while their CPU time is measured. */
	private static final int LOAD_COMPUTATIONS = 2_000;

	/** Numbers of retained claims. */
	private static final long[] CLAIM_COUNTS = { 20_000, 40_000, 80_000, 160_000 };

	/** Numbers of claims that are appended to the log at once. */
	private static final long[] CLAIM_BATCH_SIZES = { 1, 10, 100, 500 };

	/** Numbers of streams on one link. */
	private static final long[] STREAM_COUNTS = { 1, 5, 20, 40 };

	private static final long[] EXCEPTION_COUNTS = { 50, 100, 150, 200 };

	/** Duration of streaming before and after a link breaks, in milliseconds. */
	private static final long STREAMING_MILLIS = 10_000;

	private static final long[] WORKSPACE_COUNTS = { 500, 1_000, 2_000, 4_000 };

	private static final long[] TARGET_COUNTS = { 100, 200, 400, 800 };

	/** Numbers of TCP connections. */
	private static final long[] CONNECTION_COUNTS = { 50, 100, 200, 400 };

	/** Claims per second. */
	private static final long[] CLAIM_RATES = { 5, 20, 80, 320 };

	private static final long[] GENERATION_COUNTS = { 100, 200, 400, 800 };

	/** Output tokens of each generation in the slopes per request and per stream. */
	private static final int OUTPUT_TOKENS = 50;

	/** Output of generations that outlast a measurement, and limit of all, in tokens. */
	private static final int LONG_OUTPUT_TOKENS = 10_000;

	private final List<Slope> slopes = new ArrayList<>();

	private final PrintStream out;

	private CapacityBench(PrintStream out) {
		this.out = out;
	}

	/**
	 * Measures all slopes, prints them and writes them to {@code capacity.json}.
	 * @param out receives progress lines and the table of slopes
	 * @param folder folder of the file, created if missing
	 * @throws IOException if the file cannot be written
	 */
	public static void run(PrintStream out, Path folder) throws IOException {
		CapacityBench bench = new CapacityBench(out);
		bench.measureSlopes();
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("WHAT", "SLOPE", "AT 0", "RESIDUAL", "SIZE:VALUE"));
		bench.slopes.forEach((slope) -> rows.add(slope.row()));
		TablePrinter.print(out, rows);
		Files.createDirectories(folder);
		Files.write(folder.resolve("capacity.json"),
				SharedJsonMapper.mapper().writerWithDefaultPrettyPrinter().writeValueAsBytes(bench.slopes));
		out.println("written to " + folder.resolve("capacity.json"));
	}

	private void measureSlopes() throws IOException {
		List<IdleFigures> manySidecars = new ArrayList<>();
		for (long links : LINK_COUNTS) {
			manySidecars.add(bestIdleFigures(links));
		}
		List<IdleFigures> manyEntries = new ArrayList<>();
		for (long links : LINK_COUNTS) {
			manyEntries.add(measureIdle(1, links));
		}
		addSlope("entry: control bytes sent and received", "B/s", "link", LINK_COUNTS,
				(i) -> manySidecars.get(i).entryBytesPerSecond());
		addSlope("sidecar: control bytes sent and received", "B/s", "link", LINK_COUNTS,
				(i) -> manyEntries.get(i).sidecarBytesPerSecond());
		addSlope("processor time of control, both ends", "us/s", "link", LINK_COUNTS,
				(i) -> manySidecars.get(i).cpuMicrosPerSecond());
		addSlope("control bytes of a change, both ends", "B", "link", LINK_COUNTS,
				(i) -> manySidecars.get(i).changeBytes());
		addSlope("processor time of a change, both ends", "us", "link", LINK_COUNTS,
				(i) -> manySidecars.get(i).changeCpuMicros());
		addSlope("time until a change is in force in nine data centres", "ms", "process", PROCESS_COUNTS,
				(i) -> propagationMillis(PROCESS_COUNTS[i] / (2 * DATA_CENTRE_COUNT)));
		addSlope("sidecar: processor time of telling the load", "us", "running", RUNNING_GENERATION_COUNTS,
				(i) -> loadReportCpuMicros(RUNNING_GENERATION_COUNTS[i]));
		addRequestSlopes();
		addClaimSlopes();
		addSlope("log bytes of a group of claims", "B", "claim", CLAIM_BATCH_SIZES,
				(i) -> bytesOfEncodedClaims(CLAIM_BATCH_SIZES[i]));
		addSlope("longest time without tokens when a link is cut", "ms", "stream", STREAM_COUNTS,
				(i) -> longestTokenGapMillis(STREAM_COUNTS[i], false));
		addSlope("longest time without tokens when a link stalls", "ms", "stream", STREAM_COUNTS,
				(i) -> longestTokenGapMillis(STREAM_COUNTS[i], true));
		addSlope("both roles: heap of a configuration", "KB", "exception", EXCEPTION_COUNTS,
				(i) -> heapKbOfExceptions(EXCEPTION_COUNTS[i]));
		addSlope("entry: heap of known targets", "KB", "target", TARGET_COUNTS,
				(i) -> heapKbOfTargets(TARGET_COUNTS[i]));
		addSlope("both ends: heap of a connection", "KB", "connection", CONNECTION_COUNTS,
				(i) -> heapKbOfConnections(CONNECTION_COUNTS[i]));
		addSlope("sidecar: heap of length distributions", "KB", "workspace", WORKSPACE_COUNTS,
				(i) -> heapKbOfWorkspaces(WORKSPACE_COUNTS[i]));
		addSlope("sidecar: heap of remembered claims", "KB", "claim", CLAIM_COUNTS,
				(i) -> heapKbOfClaims(CLAIM_COUNTS[i]));
		addSlope("both ends: heap of open streams of 50 tokens", "KB", "stream", GENERATION_COUNTS,
				(i) -> heapKbOfStreams(GENERATION_COUNTS[i]));
	}

	private void addSlope(String name, String unit, String per, long[] sizes, IntToDoubleFunction value) {
		List<Slope.Point> points = new ArrayList<>();
		for (int i = 0; i < sizes.length; i++) {
			points.add(new Slope.Point(sizes[i], value.applyAsDouble(i)));
		}
		this.slopes.add(Slope.fit(name, unit, per, points));
		this.out.println("done: " + name);
	}

	/**
	 * Measures an idle fleet several times and returns the run with the lowest CPU time,
	 * since the others include JIT compilation.
	 * @param sidecars number of sidecars linked to the only entry process
	 * @return the figures, with the lowest CPU time of a change in any run
	 */
	private static IdleFigures bestIdleFigures(long sidecars) {
		IdleFigures best = measureIdle(sidecars, 1);
		for (int i = 1; i < REPETITIONS; i++) {
			IdleFigures next = measureIdle(sidecars, 1);
			double changeMicros = Math.min(best.changeCpuMicros(), next.changeCpuMicros());
			best = ((next.cpuMicrosPerSecond() < best.cpuMicrosPerSecond()) ? next : best)
				.withChangeCpuMicros(changeMicros);
		}
		return best;
	}

	/**
	 * Measures the time until a configuration change is in force in nine data centres.
	 * @param perDataCentre number of entry processes, and of sidecars, in each data
	 * centre
	 * @return time in milliseconds
	 */
	private static double propagationMillis(long perDataCentre) {
		VirtualFleet fleet = VirtualFleet.of(VirtualFleet.Options.defaults());
		for (int dataCentre = 0; dataCentre < DATA_CENTRE_COUNT; dataCentre++) {
			for (int i = 0; i < perDataCentre; i++) {
				fleet.addEngine("engine-" + dataCentre + "-" + i, "dc-" + dataCentre);
				fleet.addEntry("entry-" + dataCentre + "-" + i, "dc-" + dataCentre);
			}
		}
		fleet.advance(SETTLE_MILLIS);
		return measureChange(fleet, 0, 0, 0).changeMillis();
	}

	/**
	 * Measures the heartbeats of an idle fleet, and one configuration change.
	 * @param sidecars number of sidecars
	 * @param entries number of entry processes
	 * @return traffic of the first entry process and the first sidecar, and CPU time of
	 * all
	 */
	private static IdleFigures measureIdle(long sidecars, long entries) {
		VirtualFleet fleet = VirtualFleet.of(VirtualFleet.Options.defaults());
		for (int i = 0; i < sidecars; i++) {
			fleet.addEngine("engine-" + i, "dc");
		}
		for (int i = 0; i < entries; i++) {
			fleet.addEntry("entry-" + i, "dc");
		}
		fleet.advance(SETTLE_MILLIS);
		long entryBytesBefore = controlBytes(firstEntry(fleet));
		long sidecarBytesBefore = controlBytes(fleet.sidecars().values().iterator().next().process());
		long cpuNanosBefore = cpuNanos();
		fleet.advance(IDLE_PERIOD_MILLIS);
		double seconds = IDLE_PERIOD_MILLIS / MILLIS_PER_SECOND;
		double cpuMicros = (cpuNanos() - cpuNanosBefore) / NANOS_PER_MICRO / seconds;
		double entryBytes = (controlBytes(firstEntry(fleet)) - entryBytesBefore) / seconds;
		double sidecarBytes = (controlBytes(fleet.sidecars().values().iterator().next().process()) - sidecarBytesBefore)
				/ seconds;
		return measureChange(fleet, entryBytes, sidecarBytes, cpuMicros);
	}

	private static IdleFigures measureChange(VirtualFleet fleet, double entryBytes, double sidecarBytes,
			double cpuMicros) {
		long bytesBefore = controlBytes(firstEntry(fleet));
		long cpuNanosBefore = cpuNanos();
		long startMillis = fleet.clock().millis();
		fleet.publish(new Change.SetDefault(Setting.TOKEN_TARGET_MILLIS, 40));
		while (!fleet.configurationHolders().stream().allMatch((holder) -> holder.current().version() == 1)) {
			fleet.advance(1);
		}
		long millis = fleet.clock().millis() - startMillis;
		double idleBytes = entryBytes * millis / MILLIS_PER_SECOND;
		double changeBytes = controlBytes(firstEntry(fleet)) - bytesBefore - idleBytes;
		double changeMicros = (cpuNanos() - cpuNanosBefore) / NANOS_PER_MICRO - cpuMicros * millis / MILLIS_PER_SECOND;
		return new IdleFigures(entryBytes, sidecarBytes, cpuMicros, changeBytes, Math.max(0, changeMicros), millis);
	}

	private static Transport firstEntry(VirtualFleet fleet) {
		return fleet.entries().values().iterator().next().process();
	}

	private static long controlBytes(Transport transport) {
		Transport.Traffic traffic = transport.traffic();
		return traffic.controlBytesSent() + traffic.controlBytesReceived();
	}

	private static long cpuNanos() {
		return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
	}

	private static double loadReportCpuMicros(long runningGenerations) {
		AdmissionState state = AdmissionState.cold(2);
		state.recordMemory(Long.MAX_VALUE / 2, 0, 0);
		Limits limits = Limits.of(Configuration.INITIAL, Subject.FLEET);
		AdmissionController controller = AdmissionController.of(AdmissionPolicy.forEngines(), state, () -> limits,
				Clock.manual(0));
		for (int i = 0; i < runningGenerations; i++) {
			state.recordAdmission(new PendingRequest("g" + i, "w", Priority.NORMAL, 100, 4_096, 0));
		}
		double best = Double.MAX_VALUE;
		for (int round = 0; round < REPETITIONS; round++) {
			long cpuNanosBefore = cpuNanos();
			for (int i = 0; i < LOAD_COMPUTATIONS; i++) {
				controller.load(false);
			}
			best = Math.min(best, (cpuNanos() - cpuNanosBefore) / NANOS_PER_MICRO / LOAD_COMPUTATIONS);
		}
		return best;
	}

	private void addRequestSlopes() {
		for (int round = 0; round < REPETITIONS; round++) {
			cpuMicrosOfRequests(GENERATION_COUNTS[GENERATION_COUNTS.length - 1], OUTPUT_TOKENS);
		}
		addSlope("processor time of a request of 50 tokens, both ends", "us", "request", GENERATION_COUNTS,
				(i) -> cpuMicrosOfRequests(GENERATION_COUNTS[i], OUTPUT_TOKENS));
		long[] outputLengths = { 25, 50, 100, 200 };
		addSlope("processor time of a request by its tokens, both ends", "us", "token", outputLengths,
				(i) -> cpuMicrosOfRequests(GENERATION_COUNTS[1], (int) outputLengths[i]) / GENERATION_COUNTS[1]);
	}

	private static double cpuMicrosOfRequests(long requests, int tokensPerRequest) {
		VirtualFleet fleet = streamingFleet();
		long cpuNanosBefore = cpuNanos();
		for (int i = 0; i < requests; i++) {
			send(fleet, tokensPerRequest);
			fleet.advance(20);
		}
		fleet.advance(IDLE_PERIOD_MILLIS / 2);
		return (cpuNanos() - cpuNanosBefore) / NANOS_PER_MICRO;
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

	private static GapRecordingCaller send(VirtualFleet fleet, int tokens) {
		Generation request = new Generation("", "workspace", VirtualFleet.MODEL, Priority.NORMAL,
				"[tokens=" + tokens + "]", 20, LONG_OUTPUT_TOKENS, 3_600_000);
		GapRecordingCaller caller = new GapRecordingCaller(fleet.clock());
		caller.handle = fleet.entries().get("entry-0").entry().generate(request, caller);
		return caller;
	}

	private void addClaimSlopes() {
		List<ClaimFigures> figures = new ArrayList<>();
		for (long rate : CLAIM_RATES) {
			figures.add(measureClaims(rate));
		}
		addSlope("log appends of one partition's writer", "1/s", "claim/s", CLAIM_RATES,
				(i) -> figures.get(i).appendsPerSecond());
		addSlope("claim latency, mean", "ms", "claim/s", CLAIM_RATES, (i) -> figures.get(i).meanLatencyMillis());
		addSlope("processor time of claims", "us/s", "claim/s", CLAIM_RATES,
				(i) -> figures.get(i).cpuMicrosPerSecond());
	}

	private static ClaimFigures measureClaims(long rate) {
		Clock.Manual clock = Clock.manual(0);
		Scheduler.Manual scheduler = Scheduler.manual(clock);
		StandinLog log = StandinLog.withRetention(clock, VirtualFleet.RETENTION_MILLIS);
		LogBackedClaims claims = LogBackedClaims.of("target", 1, log, clock, scheduler, scheduler,
				Setting.KEY_MEMORY_MILLIS::defaultValue);
		int seconds = 20;
		long[] latencySumAndCount = new long[2];
		long cpuNanosBefore = cpuNanos();
		for (int i = 0; i < rate * seconds; i++) {
			ServiceCall call = callInPartition(0, i);
			long sentMillis = clock.millis();
			claims.claim(call, new WonClaimListener(() -> {
				latencySumAndCount[0] += clock.millis() - sentMillis;
				latencySumAndCount[1]++;
			}));
			scheduler.advance((i % rate == rate - 1) ? (long) MILLIS_PER_SECOND % rate : 0);
			scheduler.advance((long) MILLIS_PER_SECOND / rate);
		}
		double cpuMicros = (cpuNanos() - cpuNanosBefore) / NANOS_PER_MICRO / seconds;
		return new ClaimFigures((double) claims.appends() / seconds,
				(double) latencySumAndCount[0] / Math.max(1, latencySumAndCount[1]), cpuMicros);
	}

	/**
	 * Returns a call whose claim key belongs to a given partition.
	 * @param partition the partition, from 0
	 * @param number number of the call, part of its attempt id and key
	 * @return a call whose key no other number has
	 */
	private static ServiceCall callInPartition(int partition, int number) {
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

	private static double medianHeapKb(LongFunction<Object> factory, long size) {
		double[] values = new double[REPETITIONS];
		for (int i = 0; i < REPETITIONS; i++) {
			values[i] = heapKb(factory, size);
		}
		Arrays.sort(values);
		return values[REPETITIONS / 2];
	}

	private static double heapKb(LongFunction<Object> factory, long size) {
		long before = usedHeapBytes();
		Object measured = factory.apply(size);
		long after = usedHeapBytes();
		double kb = (after - before) / BYTES_PER_KB;
		if (measured.hashCode() == 0) {
			throw new IllegalStateException("unreachable: only keeps the measured object alive until here");
		}
		return kb;
	}

	private static long usedHeapBytes() {
		Runtime runtime = Runtime.getRuntime();
		for (int i = 0; i < 3; i++) {
			System.gc();
			Sleeper.sleepMillis(20);
		}
		return runtime.totalMemory() - runtime.freeMemory();
	}

	private static double heapKbOfTargets(long count) {
		return medianHeapKb((size) -> {
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

	private static double heapKbOfConnections(long count) {
		return medianHeapKb((size) -> {
			Transport accepting = Transport.overTcp(() -> 1);
			Transport opening = Transport.overTcp(() -> 1);
			List<Object> retained = new ArrayList<>(List.of(accepting, opening));
			try {
				InetSocketAddress address = accepting.listen(new InetSocketAddress("127.0.0.1", 0),
						new NoOpLinkListener());
				for (int i = 0; i < size; i++) {
					Link link = opening.open(address, new NoOpLinkListener());
					link.send(new Message.ConfigurationRequest());
					retained.add(link);
				}
			}
			catch (IOException ex) {
				throw new IllegalStateException("cannot open a connection over loopback", ex);
			}
			Sleeper.sleepMillis(500);
			return retained;
		}, count);
	}

	private static double bytesOfEncodedClaims(long count) {
		List<ClaimRecord> batch = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			batch.add(claimRecord(i));
		}
		return ClaimRecord.encode(batch).length;
	}

	private static ClaimRecord claimRecord(int number) {
		return new ClaimRecord.Claim(new ClaimKey(number * 0x9E3779B97F4A7C15L, ~number), "entry-1-mx85auq8-" + number,
				"0123456789abcdef0123456789abcdef", "desk-1", 1);
	}

	/**
	 * Measures the longest time between two tokens of a caller when the link that carries
	 * its generation breaks.
	 * @param streams number of generations on the link
	 * @param stall {@code true} to stall the link, {@code false} to cut it
	 * @return time in milliseconds
	 */
	private static double longestTokenGapMillis(long streams, boolean stall) {
		VirtualFleet.Options options = VirtualFleet.Options.defaults();
		VirtualFleet fleet = VirtualFleet.of(options.withEngine(options.engine().withMemory(Long.MAX_VALUE / 2)));
		fleet.addEngine("engine", "dc");
		fleet.addEntry("entry-0", "dc");
		fleet.advance(SETTLE_MILLIS);
		List<GapRecordingCaller> callers = new ArrayList<>();
		for (int i = 0; i < streams; i++) {
			callers.add(send(fleet, LONG_OUTPUT_TOKENS));
			fleet.advance(500);
		}
		fleet.advance(STREAMING_MILLIS);
		callers.forEach((caller) -> caller.longestGapMillis = 0);
		int port = fleet.sidecars().get("engine").port();
		if (stall) {
			fleet.network().stallOpenConnections(port);
		}
		else {
			fleet.network().breakConnections(port);
		}
		fleet.advance(STREAMING_MILLIS);
		return callers.stream().mapToLong((caller) -> caller.longestGapMillis).max().orElse(0);
	}

	private static double heapKbOfExceptions(long count) {
		return medianHeapKb((size) -> {
			Configuration configuration = Configuration.INITIAL;
			for (int i = 0; i < size; i++) {
				ExceptionRule rule = new ExceptionRule("id-" + i, ExceptionRule.Scope.WORKSPACE, "workspace-" + i,
						Setting.SHARE_WEIGHT, i, "a written reason of some length " + i);
				configuration = new Change.AddException(rule).apply(configuration, i);
			}
			return configuration;
		}, count);
	}

	private static double heapKbOfWorkspaces(long count) {
		return medianHeapKb((size) -> {
			LengthEstimator lengths = LengthEstimator.create();
			for (int i = 0; i < size; i++) {
				lengths.recordLength("workspace-" + i, 100);
			}
			return lengths;
		}, count);
	}

	private static double heapKbOfClaims(long count) {
		return medianHeapKb((size) -> {
			ClaimLedger ledger = ClaimLedger.create(VirtualFleet.RETENTION_MILLIS);
			for (int i = 0; i < size; i++) {
				ledger.applyLogRecord(i + 1, i, ClaimRecord.decode(ClaimRecord.encode(List.of(claimRecord(i)))));
			}
			return ledger;
		}, count);
	}

	private static double heapKbOfStreams(long count) {
		return medianHeapKb((size) -> {
			VirtualFleet fleet = streamingFleet();
			for (int i = 0; i < size; i++) {
				send(fleet, OUTPUT_TOKENS);
				fleet.advance(20);
			}
			return fleet;
		}, count);
	}

	/**
	 * Figures of an idle fleet. Immutable.
	 *
	 * @param entryBytesPerSecond control bytes sent and received by the entry process
	 * @param sidecarBytesPerSecond control bytes sent and received by a sidecar
	 * @param cpuMicrosPerSecond CPU time of all processes, in microseconds per second
	 * @param changeBytes control bytes of a configuration change at the entry process
	 * @param changeCpuMicros CPU time of the change in all processes, in microseconds
	 * @param changeMillis time until the change was in force everywhere, in milliseconds
	 */
	private record IdleFigures(double entryBytesPerSecond, double sidecarBytesPerSecond, double cpuMicrosPerSecond,
			double changeBytes, double changeCpuMicros, double changeMillis) {

		private IdleFigures withChangeCpuMicros(double value) {
			return new IdleFigures(this.entryBytesPerSecond, this.sidecarBytesPerSecond, this.cpuMicrosPerSecond,
					this.changeBytes, value, this.changeMillis);
		}

	}

	/**
	 * Figures of claims in one partition. Immutable.
	 *
	 * @param appendsPerSecond appends to the log
	 * @param meanLatencyMillis mean latency of a claim, in milliseconds
	 * @param cpuMicrosPerSecond CPU time in microseconds per second
	 */
	private record ClaimFigures(double appendsPerSecond, double meanLatencyMillis, double cpuMicrosPerSecond) {
	}

	/**
	 * Listener of a claim that must be won.
	 *
	 * @param onWon runs when the claim is won
	 */
	private record WonClaimListener(Runnable onWon) implements Claims.Listener {

		@Override
		public void won() {
			this.onWon.run();
		}

		@Override
		public void lost(ClaimLedger.Holder holder) {
			throw new IllegalStateException("claim lost, although each key is claimed only once");
		}

		@Override
		public void unconfirmed() {
			throw new IllegalStateException("claim not confirmed, although the log is available");
		}

	}

	/** Acknowledges tokens at once and records only the longest gap between them. */
	private static final class GapRecordingCaller implements GenerationListener {

		private final Clock clock;

		private EntryProcess.GenerationHandle handle;

		/** Time of the last token, in milliseconds; 0 before the first. */
		private long lastTokenMillis;

		/** Longest time between tokens since it was last reset, in milliseconds. */
		private long longestGapMillis;

		GapRecordingCaller(Clock clock) {
			this.clock = clock;
		}

		@Override
		public boolean streaming() {
			return true;
		}

		@Override
		public void tokens(String target, String generation, int firstIndex, List<String> tokens) {
			long nowMillis = this.clock.millis();
			this.longestGapMillis = Math.max(this.longestGapMillis, nowMillis - this.lastTokenMillis);
			this.lastTokenMillis = nowMillis;
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
			// No tokens are kept.
		}

	}

	/**
	 * A listener that does nothing.
	 */
	private static final class NoOpLinkListener implements Link.Listener {

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
