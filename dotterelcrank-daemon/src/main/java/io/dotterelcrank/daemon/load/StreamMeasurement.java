package io.dotterelcrank.daemon.load;

import java.util.ArrayList;
import java.util.List;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.process.entry.EntryProcess;
import io.dotterelcrank.process.entry.GenerationListener;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.standin.fleet.VirtualFleet;

/**
 * Measures the CPU time of requests, and how long callers wait for tokens when a link
 * breaks. Stateless; must be called by one thread, whose CPU time is measured.
 */
final class StreamMeasurement {

	/** Output of generations that outlast a measurement, and limit of all, in tokens. */
	private static final int LONG_OUTPUT_TOKENS = 10_000;

	/** Duration of streaming before and after a link breaks, in milliseconds. */
	private static final long STREAMING_MILLIS = 10_000;

	/** Time for all generations to end, in milliseconds of the manual clock. */
	private static final long END_MILLIS = 30_000;

	private StreamMeasurement() {
	}

	static double cpuMicrosOfRequests(long requests, int tokensPerRequest) {
		VirtualFleet fleet = streamingFleet();
		CpuTime cpuTime = CpuTime.start();
		for (int i = 0; i < requests; i++) {
			send(fleet, tokensPerRequest);
			fleet.advance(20);
		}
		fleet.advance(END_MILLIS);
		return cpuTime.micros();
	}

	static VirtualFleet streamingFleet() {
		VirtualFleet fleet = VirtualFleet.of(VirtualFleet.Options.defaults());
		for (int i = 0; i < 4; i++) {
			fleet.addEngine("engine-" + i, "dc");
		}
		fleet.addEntry("entry-0", "dc");
		fleet.advance(IdleMeasurement.SETTLE_MILLIS);
		return fleet;
	}

	static GapRecordingCaller send(VirtualFleet fleet, int tokens) {
		Generation request = new Generation("", "workspace", VirtualFleet.MODEL, Priority.NORMAL,
				"[tokens=" + tokens + "]", 20, LONG_OUTPUT_TOKENS, 3_600_000);
		GapRecordingCaller caller = new GapRecordingCaller(fleet.clock());
		caller.handle = fleet.entries().get("entry-0").entry().generate(request, caller);
		return caller;
	}

	/**
	 * Measures the longest time between two tokens of a caller when the link that carries
	 * its generation breaks.
	 * @param streams number of generations on the link
	 * @param stall {@code true} to stall the link, {@code false} to cut it
	 * @return time in milliseconds
	 */
	static double longestTokenGapMillis(long streams, boolean stall) {
		VirtualFleet.Options options = VirtualFleet.Options.defaults();
		VirtualFleet fleet = VirtualFleet.of(options.withEngine(options.engine().withMemory(Long.MAX_VALUE / 2)));
		fleet.addEngine("engine", "dc");
		fleet.addEntry("entry-0", "dc");
		fleet.advance(IdleMeasurement.SETTLE_MILLIS);
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

	/** Acknowledges tokens at once and records only the longest gap between them. */
	static final class GapRecordingCaller implements GenerationListener {

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

}
