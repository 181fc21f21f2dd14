package io.dotterelcrank.daemon.client;

import org.junit.jupiter.api.AfterEach;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.standin.engine.EngineFault;
import io.dotterelcrank.standin.engine.EngineSettings;
import io.dotterelcrank.standin.engine.StandinEngine;

/**
 * Runs the contract against {@link StandinEngine}.
 */
class StandinEngineTests extends EngineClientContract {

	private final Scheduler scheduler = Scheduler.singleThread("engine");

	private final StandinEngine engine = StandinEngine.start(
			EngineSettings.defaults().withStepTimes(2_000, 0).startingWarm(), "s", "m", Clock.system(), this.scheduler);

	@AfterEach
	void stop() {
		this.scheduler.close();
	}

	@Override
	EngineClient client() {
		return this.engine;
	}

	@Override
	void injectFault(EngineFault fault, long value) {
		this.engine.injectFault(fault, value);
	}

}
