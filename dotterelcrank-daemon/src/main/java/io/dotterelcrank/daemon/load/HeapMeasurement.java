package io.dotterelcrank.daemon.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.LongFunction;

import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.daemon.embedded.Sleeper;
import io.dotterelcrank.process.admission.LengthEstimator;
import io.dotterelcrank.process.claim.ClaimLedger;
import io.dotterelcrank.process.claim.ClaimRecord;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.standin.fleet.VirtualFleet;
import io.dotterelcrank.version.Change;
import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.ExceptionRule;
import io.dotterelcrank.version.Setting;

/**
 * Measures the heap of connections, targets, streams and other state. Stateless.
 */
final class HeapMeasurement {

	/** Repetitions, of which the median counts. */
	private static final int REPETITIONS = 4;

	private static final double BYTES_PER_KB = 1_024;

	private HeapMeasurement() {
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

	static double heapKbOfTargets(long count) {
		return medianHeapKb((size) -> {
			VirtualFleet fleet = VirtualFleet.of(VirtualFleet.Options.defaults());
			for (int i = 0; i < size; i++) {
				fleet.hostList()
					.put(new HostList.Host("engine-" + i, HostList.Role.ENGINE, "far", "s", "m", "127.0.0.1", 1, 2,
							false));
			}
			fleet.addEntry("entry-0", "dc");
			fleet.advance(IdleMeasurement.SETTLE_MILLIS);
			return fleet;
		}, count);
	}

	static double heapKbOfConnections(long count) {
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

	static double heapKbOfExceptions(long count) {
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

	static double heapKbOfWorkspaces(long count) {
		return medianHeapKb((size) -> {
			LengthEstimator lengths = LengthEstimator.create();
			for (int i = 0; i < size; i++) {
				lengths.recordLength("workspace-" + i, 100);
			}
			return lengths;
		}, count);
	}

	static double heapKbOfClaims(long count) {
		return medianHeapKb((size) -> {
			ClaimLedger ledger = ClaimLedger.create(VirtualFleet.RETENTION_MILLIS);
			for (int i = 0; i < size; i++) {
				ledger.applyLogRecord(i + 1, i,
						ClaimRecord.decode(ClaimRecord.encode(List.of(ClaimMeasurement.claimRecord(i)))));
			}
			return ledger;
		}, count);
	}

	static double heapKbOfStreams(long count) {
		return medianHeapKb((size) -> {
			VirtualFleet fleet = StreamMeasurement.streamingFleet();
			for (int i = 0; i < size; i++) {
				StreamMeasurement.send(fleet, CapacityBench.OUTPUT_TOKENS);
				fleet.advance(20);
			}
			return fleet;
		}, count);
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
