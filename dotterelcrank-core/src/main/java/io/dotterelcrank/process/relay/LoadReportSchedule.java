package io.dotterelcrank.process.relay;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;

/**
 * Decides when a sidecar reports the load of its engine. Addresses two load patterns:
 * many entry hosts that get each report, so that small changes wait; and engines that
 * start while the store is away, which entry hosts can use only once they are told the
 * id. Invariant: two reports are at most {@link #MAX_INTERVAL_MILLIS} apart if the engine
 * responds. Confined to the control thread; only {@link #lastReport()} may be called by
 * others.
 */
public final class LoadReportSchedule {

	/** Maximum interval between reports, in milliseconds. */
	static final long MAX_INTERVAL_MILLIS = 1_000;

	/**
	 * Minimum interval between reports of changed figures, in milliseconds. What the
	 * engine is, and whether it is draining, is reported at once.
	 */
	static final long MIN_INTERVAL_MILLIS = 100;

	/**
	 * Change in memory use, as a fraction of the total, that is reported before the
	 * maximum interval.
	 */
	static final double MEMORY_CHANGE_FRACTION = 0.03;

	/**
	 * Change in prompt tokens not yet prefilled, as a fraction of a typical prompt, that
	 * is reported before the maximum interval.
	 */
	static final double PREFILL_CHANGE_FRACTION = 1.0 / 3;

	/**
	 * Change in the engine's speed, as a fraction, that is reported before the maximum
	 * interval.
	 */
	static final double SPEED_CHANGE_FRACTION = 1.0 / 3;

	private final Clock clock;

	private volatile EngineLoad lastReport;

	private long lastReportMillis;

	private LoadReportSchedule(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Creates a schedule whose first report is due at once.
	 * @param clock clock of the process
	 * @return a new schedule
	 */
	public static LoadReportSchedule of(Clock clock) {
		return new LoadReportSchedule(clock);
	}

	/**
	 * Returns whether the load is to be reported now.
	 * @param load present load
	 * @param typicalPromptTokens tokens of a typical prompt
	 * @return {@code false} if hosts know it well enough
	 */
	public boolean isDue(EngineLoad load, double typicalPromptTokens) {
		EngineLoad last = this.lastReport;
		long elapsedMillis = this.clock.millis() - this.lastReportMillis;
		if (last == null || elapsedMillis >= MAX_INTERVAL_MILLIS || load.leaving() != last.leaving()
				|| load.bornMillis() != last.bornMillis() || !load.id().equals(last.id())) {
			return true;
		}
		boolean changed = Math.abs(load.memoryUsed() - last.memoryUsed()) > load.memoryTotal() * MEMORY_CHANGE_FRACTION
				|| load.waiting() != last.waiting()
				|| Math.abs(load.unreadTokens() - last.unreadTokens()) > typicalPromptTokens * PREFILL_CHANGE_FRACTION
				|| load.speed().differs(last.speed(), SPEED_CHANGE_FRACTION);
		return changed && elapsedMillis >= MIN_INTERVAL_MILLIS;
	}

	/**
	 * Records that a load is reported now.
	 * @param load reported load
	 */
	public void recordReport(EngineLoad load) {
		this.lastReport = load;
		this.lastReportMillis = this.clock.millis();
	}

	/**
	 * Returns the last reported load.
	 * @return the load, or {@code null} before the first report
	 */
	public EngineLoad lastReport() {
		return this.lastReport;
	}

}
