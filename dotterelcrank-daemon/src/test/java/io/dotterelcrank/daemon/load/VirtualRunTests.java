package io.dotterelcrank.daemon.load;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.standin.fleet.VirtualFleet;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link VirtualRun}.
 */
class VirtualRunTests {

	private static VirtualRun.Setup setup() throws RequestException {
		return new VirtualRun.Setup(Preset.named("single"), VirtualFleet.Options.defaults(), 3, 2, 10_000,
				Scenario.STEADY);
	}

	@Test
	void sameSeedGivesSameFigures() throws RequestException {
		assertThat(VirtualRun.run(setup())).isEqualTo(VirtualRun.run(setup()));
	}

	@Test
	void rampKeepsColdEngineFromOverload() throws RequestException {
		VirtualFleet.Options coldEngines = VirtualFleet.Options.defaults().withEngine(PolicyBench.engineSettings());
		VirtualRun.Setup setup = new VirtualRun.Setup(Preset.named("single"), coldEngines, 3, 10, 20_000,
				Scenario.TURNS_COLD);
		assertThat(VirtualRun.run(setup.withPolicies("forecast", "affinity")).fallOvers()).isZero();
		assertThat(VirtualRun.run(setup.withPolicies("forecast-without-ramp", "affinity")).fallOvers()).isPositive();
	}

	@Test
	void floodingWorkspaceLeavesOtherWorkspacesTokenGapsOnTime() throws RequestException {
		VirtualRun.Setup flood = setup().withScenario(Scenario.FLOOD).withRate(4);
		assertThat(VirtualRun.tokenGapP99(flood, "workspace-0")).isPositive()
			.isLessThanOrEqualTo(Measurement.TOKEN_GAP_GOAL_MILLIS);
	}

}
