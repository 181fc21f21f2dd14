package io.dotterelcrank.daemon.client;

import java.io.IOException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.standin.engine.EngineFault;
import io.dotterelcrank.standin.engine.EngineSettings;
import io.dotterelcrank.standin.engine.StandinEngine;
import io.dotterelcrank.standin.http.EngineServer;

/**
 * Runs the contract against {@link HttpEngineClient}.
 */
class HttpEngineClientTests extends EngineClientContract {

	private final Scheduler scheduler = Scheduler.singleThread("engine");

	private final StandinEngine engine = StandinEngine.start(
			EngineSettings.defaults().withStepTimes(2_000, 0).startingWarm(), "s", "m", Clock.system(), this.scheduler);

	private EngineServer server;

	private HttpEngineClient client;

	@BeforeEach
	void start() throws IOException {
		this.server = EngineServer.start(this.engine, 0);
		this.client = HttpEngineClient.at("http://127.0.0.1:" + this.server.port());
	}

	@AfterEach
	void stop() {
		this.server.close();
		this.scheduler.close();
	}

	@Override
	EngineClient client() {
		return this.client;
	}

	@Override
	void injectFault(EngineFault fault, long value) {
		this.engine.injectFault(fault, value);
	}

}
