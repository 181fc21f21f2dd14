package io.dotterelcrank.daemon.load;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.claim.ClaimKey;
import io.dotterelcrank.process.claim.ClaimLedger;
import io.dotterelcrank.process.claim.ClaimRecord;
import io.dotterelcrank.process.claim.Claims;
import io.dotterelcrank.process.claim.LogBackedClaims;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.standin.fleet.VirtualFleet;
import io.dotterelcrank.standin.platform.StandinLog;
import io.dotterelcrank.version.Setting;

/**
 * Measures the writer of one partition of the claim log. Stateless; must be called by one
 * thread, whose CPU time is measured.
 */
final class ClaimMeasurement {

	private static final double MILLIS_PER_SECOND = 1_000;

	private ClaimMeasurement() {
	}

	static ClaimFigures measureClaims(long rate) {
		Clock.Manual clock = Clock.manual(0);
		Scheduler.Manual scheduler = Scheduler.manual(clock);
		StandinLog log = StandinLog.withRetention(clock, VirtualFleet.RETENTION_MILLIS);
		LogBackedClaims claims = LogBackedClaims.of("target", 1, log, clock, scheduler, scheduler,
				Setting.KEY_MEMORY_MILLIS::defaultValue);
		int seconds = 20;
		long[] latencySumAndCount = new long[2];
		CpuTime cpuTime = CpuTime.start();
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
		double cpuMicros = cpuTime.micros() / seconds;
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

	static double bytesOfEncodedClaims(long count) {
		List<ClaimRecord> batch = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			batch.add(claimRecord(i));
		}
		return ClaimRecord.encode(batch).length;
	}

	static ClaimRecord claimRecord(int number) {
		return new ClaimRecord.Claim(new ClaimKey(number * 0x9E3779B97F4A7C15L, ~number), "entry-1-mx85auq8-" + number,
				"0123456789abcdef0123456789abcdef", "desk-1", 1);
	}

	/**
	 * Figures of claims in one partition. Immutable.
	 *
	 * @param appendsPerSecond appends to the log
	 * @param meanLatencyMillis mean latency of a claim, in milliseconds
	 * @param cpuMicrosPerSecond CPU time in microseconds per second
	 */
	record ClaimFigures(double appendsPerSecond, double meanLatencyMillis, double cpuMicrosPerSecond) {
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

}
