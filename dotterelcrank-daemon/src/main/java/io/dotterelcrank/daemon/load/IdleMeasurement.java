package io.dotterelcrank.daemon.load;

import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.standin.fleet.VirtualFleet;
import io.dotterelcrank.version.Change;
import io.dotterelcrank.version.Setting;

/**
 * Measures the control traffic and CPU time of an idle fleet, and of a configuration
 * change. Stateless; must be called by one thread, whose CPU time is measured.
 */
final class IdleMeasurement {

	/**
	 * Duration of a measurement of an idle fleet, in milliseconds of the manual clock.
	 */
	private static final long IDLE_PERIOD_MILLIS = 60_000;

	/** Time for links to open, in milliseconds of the manual clock. */
	static final long SETTLE_MILLIS = 8_000;

	/** Number of data centres to which a configuration change propagates. */
	static final int DATA_CENTRE_COUNT = 9;

	private static final double MILLIS_PER_SECOND = 1_000;

	/** Repetitions, of which the lowest CPU time or the median heap counts. */
	private static final int REPETITIONS = 4;

	private IdleMeasurement() {
	}

	/**
	 * Measures an idle fleet several times and returns the run with the lowest CPU time,
	 * since the others include JIT compilation.
	 * @param sidecars number of sidecars linked to the only entry process
	 * @return the figures, with the lowest CPU time of a change in any run
	 */
	static IdleFigures bestIdleFigures(long sidecars) {
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
	static double propagationMillis(long perDataCentre) {
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
	static IdleFigures measureIdle(long sidecars, long entries) {
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
		CpuTime cpuTime = CpuTime.start();
		fleet.advance(IDLE_PERIOD_MILLIS);
		double seconds = IDLE_PERIOD_MILLIS / MILLIS_PER_SECOND;
		double cpuMicros = cpuTime.micros() / seconds;
		double entryBytes = (controlBytes(firstEntry(fleet)) - entryBytesBefore) / seconds;
		double sidecarBytes = (controlBytes(fleet.sidecars().values().iterator().next().process()) - sidecarBytesBefore)
				/ seconds;
		return measureChange(fleet, entryBytes, sidecarBytes, cpuMicros);
	}

	private static IdleFigures measureChange(VirtualFleet fleet, double entryBytes, double sidecarBytes,
			double cpuMicros) {
		long bytesBefore = controlBytes(firstEntry(fleet));
		CpuTime cpuTime = CpuTime.start();
		long startMillis = fleet.clock().millis();
		fleet.publish(new Change.SetDefault(Setting.TOKEN_TARGET_MILLIS, 40));
		while (!fleet.configurationHolders().stream().allMatch((holder) -> holder.current().version() == 1)) {
			fleet.advance(1);
		}
		long millis = fleet.clock().millis() - startMillis;
		double idleBytes = entryBytes * millis / MILLIS_PER_SECOND;
		double changeBytes = controlBytes(firstEntry(fleet)) - bytesBefore - idleBytes;
		double changeMicros = cpuTime.micros() - cpuMicros * millis / MILLIS_PER_SECOND;
		return new IdleFigures(entryBytes, sidecarBytes, cpuMicros, changeBytes, Math.max(0, changeMicros), millis);
	}

	private static Transport firstEntry(VirtualFleet fleet) {
		return fleet.entries().values().iterator().next().process();
	}

	private static long controlBytes(Transport transport) {
		Transport.Traffic traffic = transport.traffic();
		return traffic.controlBytesSent() + traffic.controlBytesReceived();
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
	record IdleFigures(double entryBytesPerSecond, double sidecarBytesPerSecond, double cpuMicrosPerSecond,
			double changeBytes, double changeCpuMicros, double changeMillis) {

		private IdleFigures withChangeCpuMicros(double value) {
			return new IdleFigures(this.entryBytesPerSecond, this.sidecarBytesPerSecond, this.cpuMicrosPerSecond,
					this.changeBytes, value, this.changeMillis);
		}

	}

}
