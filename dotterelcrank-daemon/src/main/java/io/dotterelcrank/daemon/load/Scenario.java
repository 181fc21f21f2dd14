package io.dotterelcrank.daemon.load;

import java.util.Locale;

import io.dotterelcrank.standin.engine.EngineFault;
import io.dotterelcrank.standin.platform.LogFault;
import io.dotterelcrank.version.Change;

/**
 * What happens while a run is measured. Immutable.
 */
public enum Scenario {

	/** Nothing happens. */
	STEADY {
		@Override
		void schedule(VirtualRun run, long fromMillis, long lengthMillis) {
			// Nothing happens.
		}
	},

	/** Twice the usual rate for a quarter of the time. */
	BURST {
		@Override
		void schedule(VirtualRun run, long fromMillis, long lengthMillis) {
			run.burst(fromMillis + lengthMillis / 4, lengthMillis / 4, 1);
		}
	},

	/** A data centre leaves after a quarter of the time, and returns after half. */
	DATA_CENTRE {
		@Override
		void schedule(VirtualRun run, long fromMillis, long lengthMillis) {
			run.publishAfter(fromMillis + lengthMillis / 4,
					new Change.DataCentreOut(run.firstDataCentre(), "measured departure"));
			run.publishAfter(fromMillis + lengthMillis / 2, new Change.DataCentreBack(run.firstDataCentre()));
		}
	},

	/** An engine dies and starts again cold. */
	ENGINE_DIES {
		@Override
		void schedule(VirtualRun run, long fromMillis, long lengthMillis) {
			run.faultAfter(fromMillis + lengthMillis / 4, EngineFault.DIE, 5_000);
		}
	},

	/** A warm engine turns cold without notice. */
	TURNS_COLD {
		@Override
		void schedule(VirtualRun run, long fromMillis, long lengthMillis) {
			run.faultAfter(fromMillis + lengthMillis / 4, EngineFault.TURN_COLD, 0);
		}
	},

	/** An engine's steps take three times as long for a quarter of the time. */
	SLOW {
		@Override
		void schedule(VirtualRun run, long fromMillis, long lengthMillis) {
			run.faultAfter(fromMillis + lengthMillis / 4, EngineFault.SLOW, 300);
			run.faultAfter(fromMillis + lengthMillis / 2, EngineFault.SLOW, 100);
		}
	},

	/** One workspace sends as much as all others together. */
	FLOOD {
		@Override
		void schedule(VirtualRun run, long fromMillis, long lengthMillis) {
			run.flood("workspace-8", fromMillis / 2, lengthMillis + fromMillis / 2, 1);
		}
	},

	/** The log is down for half of the time. */
	LOG_OUTAGE {
		@Override
		void schedule(VirtualRun run, long fromMillis, long lengthMillis) {
			run.logFaultAfter(fromMillis + lengthMillis / 4, LogFault.DOWN);
			run.logFaultAfter(fromMillis + lengthMillis * 3 / 4, LogFault.NONE);
		}
	};

	/**
	 * Schedules what happens.
	 * @param run the run
	 * @param fromMillis when measuring begins, from now, in milliseconds
	 * @param lengthMillis how long is measured, in milliseconds
	 */
	abstract void schedule(VirtualRun run, long fromMillis, long lengthMillis);

	/**
	 * Returns the name on the command line.
	 * @return lower-case words joined by hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
