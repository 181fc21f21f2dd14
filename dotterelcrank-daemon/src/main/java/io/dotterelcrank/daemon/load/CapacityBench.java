package io.dotterelcrank.daemon.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntToDoubleFunction;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.SharedJsonMapper;
import io.dotterelcrank.daemon.command.TablePrinter;
import io.dotterelcrank.process.admission.AdmissionController;
import io.dotterelcrank.process.admission.AdmissionPolicy;
import io.dotterelcrank.process.admission.AdmissionState;
import io.dotterelcrank.process.admission.Limits;
import io.dotterelcrank.process.admission.PendingRequest;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.Subject;

/**
 * Measures how control traffic, CPU time and heap grow with the size of the fleet. Each
 * slope is fitted to at least four sizes. Must be used by one thread, whose CPU time is
 * measured.
 */
public final class CapacityBench {

	private static final long[] LINK_COUNTS = { 10, 20, 40, 80 };

	/** Repetitions, of which the lowest CPU time or the median heap counts. */
	private static final int REPETITIONS = 4;

	/** Number of load reports that are computed while their CPU time is measured. */
	private static final int LOAD_COMPUTATIONS = 2_000;

	/** Numbers of entry and sidecar processes in all data centres together. */
	private static final long[] PROCESS_COUNTS = { 36, 72, 144, 288 };

	private static final long[] RUNNING_GENERATION_COUNTS = { 25, 50, 100, 200 };

	/** Numbers of retained claims. */
	private static final long[] CLAIM_COUNTS = { 20_000, 40_000, 80_000, 160_000 };

	/** Numbers of claims that are appended to the log at once. */
	private static final long[] CLAIM_BATCH_SIZES = { 1, 10, 100, 500 };

	/** Numbers of streams on one link. */
	private static final long[] STREAM_COUNTS = { 1, 5, 20, 40 };

	private static final long[] EXCEPTION_COUNTS = { 50, 100, 150, 200 };

	private static final long[] WORKSPACE_COUNTS = { 500, 1_000, 2_000, 4_000 };

	private static final long[] TARGET_COUNTS = { 100, 200, 400, 800 };

	/** Numbers of TCP connections. */
	private static final long[] CONNECTION_COUNTS = { 50, 100, 200, 400 };

	/** Claims per second. */
	private static final long[] CLAIM_RATES = { 5, 20, 80, 320 };

	private static final long[] GENERATION_COUNTS = { 100, 200, 400, 800 };

	/** Output tokens of each generation in the slopes per request and per stream. */
	static final int OUTPUT_TOKENS = 50;

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
		List<IdleMeasurement.IdleFigures> manySidecars = new ArrayList<>();
		for (long links : LINK_COUNTS) {
			manySidecars.add(IdleMeasurement.bestIdleFigures(links));
		}
		List<IdleMeasurement.IdleFigures> manyEntries = new ArrayList<>();
		for (long links : LINK_COUNTS) {
			manyEntries.add(IdleMeasurement.measureIdle(1, links));
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
				(i) -> IdleMeasurement.propagationMillis(PROCESS_COUNTS[i] / (2 * IdleMeasurement.DATA_CENTRE_COUNT)));
		addSlope("sidecar: processor time of telling the load", "us", "running", RUNNING_GENERATION_COUNTS,
				(i) -> loadReportCpuMicros(RUNNING_GENERATION_COUNTS[i]));
		addRequestSlopes();
		addClaimSlopes();
		addSlope("log bytes of a group of claims", "B", "claim", CLAIM_BATCH_SIZES,
				(i) -> ClaimMeasurement.bytesOfEncodedClaims(CLAIM_BATCH_SIZES[i]));
		addSlope("longest time without tokens when a link is cut", "ms", "stream", STREAM_COUNTS,
				(i) -> StreamMeasurement.longestTokenGapMillis(STREAM_COUNTS[i], false));
		addSlope("longest time without tokens when a link stalls", "ms", "stream", STREAM_COUNTS,
				(i) -> StreamMeasurement.longestTokenGapMillis(STREAM_COUNTS[i], true));
		addSlope("both roles: heap of a configuration", "KB", "exception", EXCEPTION_COUNTS,
				(i) -> HeapMeasurement.heapKbOfExceptions(EXCEPTION_COUNTS[i]));
		addSlope("entry: heap of known targets", "KB", "target", TARGET_COUNTS,
				(i) -> HeapMeasurement.heapKbOfTargets(TARGET_COUNTS[i]));
		addSlope("both ends: heap of a connection", "KB", "connection", CONNECTION_COUNTS,
				(i) -> HeapMeasurement.heapKbOfConnections(CONNECTION_COUNTS[i]));
		addSlope("sidecar: heap of length distributions", "KB", "workspace", WORKSPACE_COUNTS,
				(i) -> HeapMeasurement.heapKbOfWorkspaces(WORKSPACE_COUNTS[i]));
		addSlope("sidecar: heap of remembered claims", "KB", "claim", CLAIM_COUNTS,
				(i) -> HeapMeasurement.heapKbOfClaims(CLAIM_COUNTS[i]));
		addSlope("both ends: heap of open streams of 50 tokens", "KB", "stream", GENERATION_COUNTS,
				(i) -> HeapMeasurement.heapKbOfStreams(GENERATION_COUNTS[i]));
	}

	private void addSlope(String name, String unit, String per, long[] sizes, IntToDoubleFunction value) {
		List<Slope.Point> points = new ArrayList<>();
		for (int i = 0; i < sizes.length; i++) {
			points.add(new Slope.Point(sizes[i], value.applyAsDouble(i)));
		}
		this.slopes.add(Slope.fit(name, unit, per, points));
		this.out.println("done: " + name);
	}

	private void addRequestSlopes() {
		for (int round = 0; round < REPETITIONS; round++) {
			StreamMeasurement.cpuMicrosOfRequests(GENERATION_COUNTS[GENERATION_COUNTS.length - 1], OUTPUT_TOKENS);
		}
		addSlope("processor time of a request of 50 tokens, both ends", "us", "request", GENERATION_COUNTS,
				(i) -> StreamMeasurement.cpuMicrosOfRequests(GENERATION_COUNTS[i], OUTPUT_TOKENS));
		long[] outputLengths = { 25, 50, 100, 200 };
		addSlope("processor time of a request by its tokens, both ends", "us", "token", outputLengths,
				(i) -> StreamMeasurement.cpuMicrosOfRequests(GENERATION_COUNTS[1], (int) outputLengths[i])
						/ GENERATION_COUNTS[1]);
	}

	private void addClaimSlopes() {
		List<ClaimMeasurement.ClaimFigures> figures = new ArrayList<>();
		for (long rate : CLAIM_RATES) {
			figures.add(ClaimMeasurement.measureClaims(rate));
		}
		addSlope("log appends of one partition's writer", "1/s", "claim/s", CLAIM_RATES,
				(i) -> figures.get(i).appendsPerSecond());
		addSlope("claim latency, mean", "ms", "claim/s", CLAIM_RATES, (i) -> figures.get(i).meanLatencyMillis());
		addSlope("processor time of claims", "us/s", "claim/s", CLAIM_RATES,
				(i) -> figures.get(i).cpuMicrosPerSecond());
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
			CpuTime cpuTime = CpuTime.start();
			for (int i = 0; i < LOAD_COMPUTATIONS; i++) {
				controller.load(false);
			}
			best = Math.min(best, cpuTime.micros() / LOAD_COMPUTATIONS);
		}
		return best;
	}

}
