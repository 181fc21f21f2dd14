package io.dotterelcrank.daemon.load;

import java.util.Locale;

import io.dotterelcrank.standin.engine.EngineFault;
import io.dotterelcrank.standin.platform.LogFault;
import io.dotterelcrank.version.Change;

/**
 * Event during the measured period of a run. Immutable.
 */
public enum Scenario {

	/** No event. */
	STEADY {
		@Override
		void schedule(VirtualRun run, long delayMillis, long durationMillis) {
			// No event.
		}
	},

	/** The arrival rate doubles for a quarter of the period. */
	BURST {
		@Override
		void schedule(VirtualRun run, long delayMillis, long durationMillis) {
			run.scheduleBurst(delayMillis + durationMillis / 4, durationMillis / 4, 1);
		}
	},

	/** A data centre is out of service from a quarter to half of the period. */
	DATA_CENTRE {
		@Override
		void schedule(VirtualRun run, long delayMillis, long durationMillis) {
			run.publishAfter(delayMillis + durationMillis / 4,
					new Change.DataCentreOut(run.firstDataCentre(), "measured departure"));
			run.publishAfter(delayMillis + durationMillis / 2, new Change.DataCentreBack(run.firstDataCentre()));
		}
	},

	/** An engine crashes after a quarter of the period, and restarts cold. */
	ENGINE_DIES {
		@Override
		void schedule(VirtualRun run, long delayMillis, long durationMillis) {
			run.injectFaultAfter(delayMillis + durationMillis / 4, EngineFault.DIE, 5_000);
		}
	},

	/** A warm engine turns cold after a quarter of the period, without reporting it. */
	TURNS_COLD {
		@Override
		void schedule(VirtualRun run, long delayMillis, long durationMillis) {
			run.injectFaultAfter(delayMillis + durationMillis / 4, EngineFault.TURN_COLD, 0);
		}
	},

	/** An engine's steps take three times as long for a quarter of the period. */
	SLOW {
		@Override
		void schedule(VirtualRun run, long delayMillis, long durationMillis) {
			run.injectFaultAfter(delayMillis + durationMillis / 4, EngineFault.SLOW, 300);
			run.injectFaultAfter(delayMillis + durationMillis / 2, EngineFault.SLOW, 100);
		}
	},

	/** One workspace additionally sends as many requests as all workspaces together. */
	FLOOD {
		@Override
		void schedule(VirtualRun run, long delayMillis, long durationMillis) {
			run.scheduleFlood("workspace-8", delayMillis / 2, durationMillis + delayMillis / 2, 1);
		}
	},

	/** The log is unavailable for half of the period. */
	LOG_OUTAGE {
		@Override
		void schedule(VirtualRun run, long delayMillis, long durationMillis) {
			run.injectLogFaultAfter(delayMillis + durationMillis / 4, LogFault.DOWN);
			run.injectLogFaultAfter(delayMillis + durationMillis * 3 / 4, LogFault.NONE);
		}
	};

	/**
	 * Schedules the events of the scenario.
	 * @param run the run
	 * @param delayMillis time from now until the measured period, in milliseconds
	 * @param durationMillis length of the measured period, in milliseconds
	 */
	abstract void schedule(VirtualRun run, long delayMillis, long durationMillis);

	/**
	 * Returns the name on the command line.
	 * @return lower-case words joined by hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
