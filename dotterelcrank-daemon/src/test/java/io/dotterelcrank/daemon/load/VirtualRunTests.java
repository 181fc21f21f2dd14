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
	void sameSeedGivesTheSameFigures() throws RequestException {
		assertThat(VirtualRun.run(setup())).isEqualTo(VirtualRun.run(setup()));
	}

	@Test
	void noColdEngineIsGivenMoreThanItBears() throws RequestException {
		VirtualFleet.Options cold = VirtualFleet.Options.defaults().withEngine(PolicyBench.engine());
		VirtualRun.Setup setup = new VirtualRun.Setup(Preset.named("single"), cold, 3, 10, 20_000, Scenario.TURNS_COLD);
		assertThat(VirtualRun.run(setup.withPolicies("forecast", "affinity")).fallOvers()).isZero();
		assertThat(VirtualRun.run(setup.withPolicies("forecast-without-ramp", "affinity")).fallOvers()).isPositive();
	}

	@Test
	void aFloodingWorkspaceDoesNotMoveAnothersTail() throws RequestException {
		VirtualRun.Setup flood = setup().withScenario(Scenario.FLOOD).withRate(4);
		assertThat(VirtualRun.tail(flood, "workspace-0")).isPositive()
			.isLessThanOrEqualTo(Measurement.TOKEN_TARGET_MILLIS);
	}

}
